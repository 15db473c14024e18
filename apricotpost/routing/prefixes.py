"""Route lookup by host and path prefix."""

from collections.abc import Iterable
from collections.abc import Mapping

from apricotpost import model

__all__ = ["PrefixTable", "build_prefixes", "match_prefix"]

PrefixTable = Mapping[str, Mapping[str, model.TrafficRoute]]


def build_prefixes(routes: Iterable[model.TrafficRoute]) -> PrefixTable:
    """Index routes by host and prefix."""
    table: dict[str, dict[str, model.TrafficRoute]] = {}
    for route in routes:
        table.setdefault(route.host, {})[route.prefix] = route
    return table


def match_prefix(
    table: PrefixTable, host: str, path: str
) -> model.TrafficRoute | None:
    """Return the route with the longest prefix of a path, or None.

    Prefixes end with a slash, so there is one lookup for each slash of the
    path. The cost grows with the path's depth, not with the number of routes.
    """
    prefixes = table.get(host)
    if prefixes is None:
        return None
    end = path.rfind("/")
    while end >= 0:
        route = prefixes.get(path[: end + 1])
        if route is not None:
            return route
        end = path.rfind("/", 0, end)
    return None
