"""Random schedule of the faults of a run, determined by its seed."""

import dataclasses
import enum
import random

__all__ = ["Fault", "Kind", "draw"]


class Kind(enum.StrEnum):
    """Kinds of faults."""

    # Processes.
    KILL = "kill"
    TERMINATE = "terminate"
    PAUSE = "pause"
    RELOAD = "reload"
    # Connections, by the proxies in front of nodes, backend servers and the
    # store.
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
    STORE_RETURNS_OLDER = "store-returns-older"
    # Backend servers.
    ANSWERS_LOST = "answers-lost"
    ANSWERS_WRONG = "answers-wrong"
    ANSWERS_CUT = "answers-cut"
    ANSWERS_CUT_IN_HEAD = "answers-cut-in-head"
    ANSWERS_WITHOUT_END = "answers-without-end"
    SERVER_SLOW = "server-slow"
    SERVER_SHEDS = "server-sheds"
    SERVER_REPLACED = "server-replaced"
    HEARTBEAT_FORGED = "heartbeat-forged"
    # Operators.
    CONFIGURATION = "configuration"
    EVACUATION = "evacuation"
    ROLLOUT_BAD = "rollout-bad"


# Kinds that affect one node or its backend server.
NODE_KINDS = frozenset(
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
        Kind.ANSWERS_CUT_IN_HEAD,
        Kind.ANSWERS_WITHOUT_END,
        Kind.HEARTBEAT_FORGED,
        Kind.SERVER_SLOW,
        Kind.SERVER_SHEDS,
        Kind.SERVER_REPLACED,
    }
)
# Kinds that occur at most once in a run, drawn from generators of their own.
_SINGLE_KINDS = frozenset({Kind.ROLLOUT_BAD, Kind.STORE_RETURNS_OLDER})
# A fault lasts 2.15 s on average, so some overlap.
FAULTS_PER_SECOND = 1.2
MAX_FAULT_SECONDS = 4.0
MIN_FAULT_SECONDS = 0.3
# Probability that a fault is injected a second time at the same node.
REPEAT_PROBABILITY = 0.25
# The users' sites judge a rollout within 12 to 20 s. A run has at most one,
# which starts early enough to be judged in a short run.
ROLLOUT_PROBABILITY = 0.5
ROLLOUT_SECONDS = 8.0
MAX_ROLLOUT_DELAY_SECONDS = 2.0
# In part of the runs, the store returns from an older copy once.
RETURN_PROBABILITY = 0.5
# Time after the loss in which the store is away and operators write again.
RETURN_SECONDS = 1.5
# Times without faults at the start of the run and, for the check of the
# recovery, at its end.
WARM_UP_SECONDS = 1.0
RECOVERY_SECONDS = 6.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Fault:
    """One scheduled fault.

    Parameters
    ----------
    starts_at : float
        Start of the fault, in seconds since the start of the load.
    duration_seconds : float
        Duration of the fault.
    kind : Kind
        Kind of the fault.
    node : int
        Index of the affected node; -1 if it affects none in particular.
    """

    starts_at: float
    duration_seconds: float
    kind: Kind
    node: int = -1


def draw(*, seed: int, seconds: float, nodes: int) -> tuple[Fault, ...]:
    """Return the faults of a run, ordered by their start.

    Parameters
    ----------
    seed : int
        Seed of the random numbers. The same seed gives the same faults.
    seconds : float
        Duration of the load.
    nodes : int
        Number of nodes.
    """
    rng = random.Random(seed)
    kinds = tuple(kind for kind in Kind if kind not in _SINGLE_KINDS)
    end = seconds - RECOVERY_SECONDS
    faults = [*_draw_rollout(seed, end), *_draw_return(seed, end)]
    at = WARM_UP_SECONDS
    while True:
        at += rng.expovariate(FAULTS_PER_SECOND)
        kind = rng.choice(kinds)
        duration = rng.uniform(MIN_FAULT_SECONDS, MAX_FAULT_SECONDS)
        node = rng.randrange(nodes) if kind in NODE_KINDS else -1
        if at + duration > end:
            break
        faults.append(
            Fault(
                starts_at=at, duration_seconds=duration, kind=kind, node=node
            )
        )
        repeat_at = at + duration + rng.uniform(0.05, 1.0)
        if rng.random() < REPEAT_PROBABILITY and repeat_at + duration <= end:
            faults.append(
                Fault(
                    starts_at=repeat_at,
                    duration_seconds=duration,
                    kind=kind,
                    node=node,
                )
            )
    return tuple(sorted(faults, key=lambda fault: fault.starts_at))


def _draw_rollout(seed: int, end: float) -> tuple[Fault, ...]:
    """Return the rollout of a run, if any.

    It is drawn from a separate random generator, so that the other faults of
    a seed do not depend on it.
    """
    rng = random.Random(f"rollout {seed}")
    at = rng.uniform(0.0, MAX_ROLLOUT_DELAY_SECONDS)
    if rng.random() >= ROLLOUT_PROBABILITY or at + ROLLOUT_SECONDS > end:
        return ()
    return (
        Fault(
            starts_at=at,
            duration_seconds=ROLLOUT_SECONDS,
            kind=Kind.ROLLOUT_BAD,
        ),
    )


def _draw_return(seed: int, end: float) -> tuple[Fault, ...]:
    """Return the return of the store from an older copy, if there is one.

    The duration of the fault is the age of the copy. It is drawn from a
    separate random generator, as the rollout is.
    """
    rng = random.Random(f"return {seed}")
    age = rng.uniform(MIN_FAULT_SECONDS, MAX_FAULT_SECONDS)
    latest = end - age - RETURN_SECONDS
    if rng.random() >= RETURN_PROBABILITY or latest < WARM_UP_SECONDS:
        return ()
    return (
        Fault(
            starts_at=rng.uniform(WARM_UP_SECONDS, latest),
            duration_seconds=age,
            kind=Kind.STORE_RETURNS_OLDER,
        ),
    )
