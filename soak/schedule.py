"""Faults of a run, drawn from its seed."""

import dataclasses
import enum
import random

__all__ = ["Fault", "Kind", "draw"]


class Kind(enum.StrEnum):
    """What happens."""

    # Processes.
    KILL = "kill"
    TERMINATE = "terminate"
    PAUSE = "pause"
    RELOAD = "reload"
    # Connections, by the proxies before nodes, backend servers and the store.
    LINK_DELAY = "link-delay"
    LINK_RESET = "link-reset"
    LINK_SILENT = "link-silent"
    LINK_ONE_WAY = "link-one-way"
    BACKEND_RESET = "backend-reset"
    BACKEND_SILENT = "backend-silent"
    STORE_PATH_SILENT = "store-path-silent"
    # The store itself.
    STORE_DOWN = "store-down"
    STORE_SLOW = "store-slow"
    STORE_LOSES_ANSWERS = "store-loses-answers"
    STORE_FORGETS = "store-forgets"
    # Backend servers.
    ANSWERS_LOST = "answers-lost"
    ANSWERS_WRONG = "answers-wrong"
    ANSWERS_CUT = "answers-cut"
    SERVER_SLOW = "server-slow"
    SERVER_SHEDS = "server-sheds"
    SERVER_REPLACED = "server-replaced"
    # Operators.
    CONFIGURATION = "configuration"
    EVACUATION = "evacuation"
    ROLLOUT_BAD = "rollout-bad"


# Kinds that concern one node or its backend server.
OF_NODES = frozenset(
    {
        Kind.KILL,
        Kind.TERMINATE,
        Kind.PAUSE,
        Kind.RELOAD,
        Kind.LINK_DELAY,
        Kind.LINK_RESET,
        Kind.LINK_SILENT,
        Kind.LINK_ONE_WAY,
        Kind.BACKEND_RESET,
        Kind.BACKEND_SILENT,
        Kind.STORE_PATH_SILENT,
        Kind.ANSWERS_LOST,
        Kind.ANSWERS_WRONG,
        Kind.ANSWERS_CUT,
        Kind.SERVER_SLOW,
        Kind.SERVER_SHEDS,
        Kind.SERVER_REPLACED,
    }
)
# Faults a second; at a mean of two seconds each some overlap.
FAULTS_PER_SECOND = 1.2
LONGEST_SECONDS = 4.0
SHORTEST_SECONDS = 0.3
# Part of the faults that are followed by the same one once more.
SERIES_PART = 0.25
# A rollout is judged within 12 to 20 s on the users' sites. At most one is
# under way in a run, begun early enough to be judged in a short one.
ROLLOUT_PART = 0.5
ROLLOUT_SECONDS = 8.0
LATEST_ROLLOUT_SECONDS = 2.0
# Without faults at the start and, to see the recovery, at the end.
LEAD_SECONDS = 1.0
RECOVERY_SECONDS = 6.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Fault:
    """One fault; times in seconds since the start of the load.

    Parameters
    ----------
    at, seconds : float
        When it begins and how long it lasts.
    kind : Kind
        What happens.
    node : int
        Index of the node concerned; -1 if it concerns none.
    """

    at: float
    seconds: float
    kind: Kind
    node: int = -1


def draw(*, seed: int, seconds: float, nodes: int) -> tuple[Fault, ...]:
    """Return the faults of a run, in the order of their times.

    Parameters
    ----------
    seed : int
        The same seed gives the same faults.
    seconds : float
        Length of the run.
    nodes : int
        Number of nodes.
    """
    rng = random.Random(seed)
    kinds = tuple(kind for kind in Kind if kind is not Kind.ROLLOUT_BAD)
    end = seconds - RECOVERY_SECONDS
    found = list(_draw_rollout(seed, end))
    at = LEAD_SECONDS
    while True:
        at += rng.expovariate(FAULTS_PER_SECOND)
        kind = rng.choice(kinds)
        lasts = rng.uniform(SHORTEST_SECONDS, LONGEST_SECONDS)
        node = rng.randrange(nodes) if kind in OF_NODES else -1
        if at + lasts > end:
            break
        found.append(Fault(at=at, seconds=lasts, kind=kind, node=node))
        again = at + lasts + rng.uniform(0.05, 1.0)
        if rng.random() < SERIES_PART and again + lasts <= end:
            found.append(Fault(at=again, seconds=lasts, kind=kind, node=node))
    return tuple(sorted(found, key=lambda fault: fault.at))


def _draw_rollout(seed: int, end: float) -> tuple[Fault, ...]:
    """Return the rollout of a run, if any, without changing its faults."""
    rng = random.Random(f"rollout {seed}")
    at = rng.uniform(0.0, LATEST_ROLLOUT_SECONDS)
    if rng.random() >= ROLLOUT_PART or at + ROLLOUT_SECONDS > end:
        return ()
    return (Fault(at=at, seconds=ROLLOUT_SECONDS, kind=Kind.ROLLOUT_BAD),)
