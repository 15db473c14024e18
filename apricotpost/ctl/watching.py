"""Follow moves until each is done or withdrawn."""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import typing

from apricotpost import errors

__all__ = ["UNKNOWN_SECONDS", "Watch", "follow"]

POLL_SECONDS = 1.0
# A node may learn of a new move only some seconds after it was accepted.
UNKNOWN_SECONDS = 15.0
# Without any answer for this time the nodes count as not reachable.
SILENT_SECONDS = 60.0

Json = dict[str, typing.Any]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Watch:
    """How moves are read and reported.

    Parameters
    ----------
    read : callable
        Returns how a move stands.
    report : callable
        Called with a move each time that it changed.
    warn : callable
        Called with a sentence about a failed read.
    clock, sleep : callable
        Monotonic time in seconds and a pause in seconds.
    """

    read: Callable[[str], Json]
    report: Callable[[Json], None]
    warn: Callable[[str], None]
    clock: Callable[[], float]
    sleep: Callable[[float], None]


def follow(watch: Watch, identifiers: Iterable[str]) -> tuple[Json, ...]:
    """Wait until all moves have ended.

    Returns
    -------
    tuple of dict
        Their last states.

    Raises
    ------
    apricotpost.errors.NodeRefused
        A move is unknown, or the token is not accepted.
    apricotpost.errors.NodeUnreachable
        No node answered for a longer time.
    """
    waiting = list(dict.fromkeys(identifiers))
    seen: dict[str, Json] = {}
    started = answered = watch.clock()
    while True:
        for identifier in tuple(waiting):
            try:
                move = watch.read(identifier)
            except errors.ApricotpostError as error:
                _judge_failure(
                    error, watch.clock(), started, answered, identifier in seen
                )
                watch.warn(f"{identifier}: {error.message}")
                continue
            answered = watch.clock()
            if seen.get(identifier) != move:
                watch.report(move)
            seen[identifier] = move
            if move["state"] not in ("running", "baking"):
                waiting.remove(identifier)
        if not waiting:
            return tuple(seen.values())
        watch.sleep(POLL_SECONDS)


def _judge_failure(
    error: errors.ApricotpostError,
    now: float,
    started: float,
    answered: float,
    known: bool,
) -> None:
    """Raise a failure that waiting does not mend."""
    if error.status == 404:
        if not known and now - started > UNKNOWN_SECONDS:
            raise error
    elif isinstance(error, errors.NodeRefused) and error.status < 500:
        raise error
    elif now - answered > SILENT_SECONDS:
        raise error
