"""Follow moves until each is done or withdrawn."""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import typing

from apricotpost import errors

__all__ = ["UNKNOWN_MOVE_SECONDS", "Watch", "follow"]

POLL_INTERVAL_SECONDS = 1.0
# A node may receive a new move only some seconds after it was accepted; an
# unknown move counts as an error only after this time.
UNKNOWN_MOVE_SECONDS = 15.0
# After this time without any answer the nodes count as unreachable.
UNREACHABLE_SECONDS = 60.0

Json = dict[str, typing.Any]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Watch:
    """Functions with which moves are read and reported.

    Parameters
    ----------
    read : callable
        Returns the state of a move, given its identifier.
    report : callable
        Called with a move each time it has changed.
    warn : callable
        Called with a message about a failed read.
    clock, sleep : callable
        Return the monotonic time in seconds; wait for some seconds.
    """

    read: Callable[[str], Json]
    report: Callable[[Json], None]
    warn: Callable[[str], None]
    clock: Callable[[], float]
    sleep: Callable[[float], None]


def follow(watch: Watch, identifiers: Iterable[str]) -> tuple[Json, ...]:
    """Poll moves until all have ended.

    Returns
    -------
    tuple of dict
        Last answer about each move.

    Raises
    ------
    apricotpost.errors.NodeErrorResponse
        A move is unknown, or the token is not accepted.
    apricotpost.errors.NodeUnreachable
        No node answered for `UNREACHABLE_SECONDS`.
    """
    unfinished = list(dict.fromkeys(identifiers))
    latest: dict[str, Json] = {}
    started_at = answered_at = watch.clock()
    while True:
        for identifier in tuple(unfinished):
            try:
                move = watch.read(identifier)
            except errors.ApricotpostError as error:
                _raise_if_permanent(
                    error,
                    watch.clock(),
                    started_at,
                    answered_at,
                    identifier in latest,
                )
                watch.warn(f"{identifier}: {error.message}")
                continue
            answered_at = watch.clock()
            if latest.get(identifier) != move:
                watch.report(move)
            latest[identifier] = move
            if move["state"] not in ("running", "baking"):
                unfinished.remove(identifier)
        if not unfinished:
            return tuple(latest.values())
        watch.sleep(POLL_INTERVAL_SECONDS)


def _raise_if_permanent(
    error: errors.ApricotpostError,
    now: float,
    started_at: float,
    answered_at: float,
    known: bool,
) -> None:
    """Raise an error that further polling cannot resolve."""
    if error.status == 404:
        if not known and now - started_at > UNKNOWN_MOVE_SECONDS:
            raise error
    elif isinstance(error, errors.NodeErrorResponse) and error.status < 500:
        raise error
    elif now - answered_at > UNREACHABLE_SECONDS:
        raise error
