"""Weighted distribution of a route's requests among services."""

from apricotpost import model

__all__ = ["RoundRobinCredits", "choose_service"]


class RoundRobinCredits:
    """Round-robin credits by route and service."""

    def __init__(self) -> None:
        self.credits: dict[str, dict[str, float]] = {}


def choose_service(
    round_robin: RoundRobinCredits, route: model.TrafficRoute
) -> str:
    """Return the service that gets the next request of a route.

    Smooth weighted round robin: in each cycle, every service gets exactly
    its share. Services at capacity are not skipped, so that the shares also
    hold under overload.
    """
    if len(route.targets) == 1:
        return route.targets[0].service
    total = sum(target.weight for target in route.targets)
    previous_credits = round_robin.credits.setdefault(route.name, {})
    credits = {
        target.service: previous_credits.get(target.service, 0.0)
        + target.weight / total
        for target in route.targets
    }
    chosen = max(
        (t for t in route.targets if t.weight > 0),
        key=lambda target: credits[target.service],
        default=route.targets[0],
    )
    credits[chosen.service] -= 1.0
    round_robin.credits[route.name] = credits
    return chosen.service
