"""Decisions of a rollout's holder: advance, hold, withdraw, bake, finish."""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses

from apricotpost import model
from apricotpost.rollout import judgements

__all__ = [
    "Advance",
    "BAKING_SHARE",
    "Decision",
    "Finish",
    "Hold",
    "SHARES",
    "ServerCounts",
    "StartBaking",
    "Times",
    "Withdraw",
    "count_servers",
    "decide",
    "shortest_seconds",
]

# Shares of the new version, step by step, in thousandths.
SHARES = (10, 50, 250, 500, model.TOTAL_SHARE)
# Share of the new version during the bake. The old version keeps the rest, so
# that the two can be compared.
BAKING_SHARE = 980
# Full share is due this long before ``finish_by``: a configuration reaches all
# nodes within 8 s, and their clocks differ by less than 2 s.
FINISH_MARGIN_SECONDS = 10.0
# Time allowed for the commit of the full share: if its answer is lost, the
# result must be read from the store.
COMMIT_SECONDS = 4.0
# The share does not rise on evidence that is older than this.
MAX_EVIDENCE_AGE_SECONDS = 5.0
# A share below this is skipped if it would give too few calls for a step: at
# 30 calls a second, a share of 1 % needs more than a minute for 20 calls.
SKIPPABLE_BELOW_SHARE = 50
# Longest planned interval between two steps, however much time is left.
MAX_SPACING_SECONDS = 30.0
# Fraction of the remaining time over which the steps are distributed. The rest
# is a reserve for steps that are held.
STEP_TIME_FRACTION = 0.5
# The slots of a server of the new version that came up less than this long
# ago are not counted, because the server is cold.
COLD_SECONDS = 5.0
# Slots needed for each call in progress, so that the others can carry the
# calls of a server that fails.
HEADROOM_FACTOR = 2.0
# From this share on, the new version needs two servers (if the old one has
# two), so that it does not depend on a single one.
TWO_SERVERS_SHARE = 250
# Longest bake, as a multiple of the bake time. If the evidence then still
# suggests that the new version is worse, it is withdrawn.
MAX_BAKE_RATIO = 3.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Times:
    """Shortest time between steps, and bake time, in seconds."""

    step_seconds: float = 5.0
    bake_seconds: float = 60.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ServerCounts:
    """Numbers of backend servers and slots of both versions.

    Parameters
    ----------
    old_servers, new_servers : int
        Servers that are up.
    old_slots, new_slots : int
        Their slots; those of cold servers are left out for the new version.
    withdrawal_reason : str
        Reason of a withdrawal that any node has decided, or empty.
    """

    old_servers: int
    new_servers: int
    old_slots: int
    new_slots: int
    withdrawal_reason: str = ""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Advance:
    """Raise the new version's share."""

    share: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StartBaking:
    """Give the new version the baking share and start the bake."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Hold:
    """Keep the present share."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Withdraw:
    """Return all calls to the old version."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Finish:
    """End the rollout; the new version gets all calls."""


Decision = Advance | StartBaking | Hold | Withdraw | Finish


def decide(
    rollout: model.Rollout,
    judgement: judgements.Judgement,
    server_counts: ServerCounts,
    now: float,
    times: Times,
) -> Decision:
    """Return the next decision on an open rollout.

    Parameters
    ----------
    rollout : apricotpost.model.Rollout
        Rollout from the configuration in force.
    judgement : apricotpost.rollout.judgements.Judgement
        Judgement from the evidence so far.
    server_counts : ServerCounts
        Numbers of backend servers and slots.
    now : float
        Unix time in seconds.
    times : Times
        Step and bake times from the settings.
    """
    if server_counts.withdrawal_reason:
        return Withdraw(reason=server_counts.withdrawal_reason)
    if judgement.withdraw_reason:
        return Withdraw(reason=judgement.withdraw_reason)
    if rollout.state is model.RolloutState.RUNNING:
        return _decide_running(rollout, judgement, server_counts, now, times)
    if rollout.state is model.RolloutState.BAKING:
        return _decide_baking(rollout, judgement, now, times)
    return Hold(reason="the rollout has ended")


def shortest_seconds(times: Times) -> float:
    """Return the shortest time from start to ``finish_by``, in seconds."""
    return (
        len(SHARES) * times.step_seconds
        + FINISH_MARGIN_SECONDS
        + COMMIT_SECONDS
    )


def count_servers(
    rollout: model.Rollout,
    instances: Iterable[model.InstanceRecord],
    up_since: Mapping[str, float],
    now: float,
    withdrawal_reason: str = "",
) -> ServerCounts:
    """Count the backend servers of both versions.

    Parameters
    ----------
    rollout : apricotpost.model.Rollout
        Names the service and the versions.
    instances : iterable of apricotpost.model.InstanceRecord
        All known instances.
    up_since : mapping
        Time at which this node first saw each instance up with its present
        version.
    now : float
        Present time, on the same clock as ``up_since``.
    withdrawal_reason : str
        Reason of a withdrawal, copied into the result.
    """
    up = [
        entry
        for entry in instances
        if entry.service == rollout.service
        and entry.state is model.InstanceState.UP
    ]
    old = [entry for entry in up if entry.version == rollout.old]
    new = [entry for entry in up if entry.version == rollout.new]
    warm = [
        entry
        for entry in new
        if now - up_since.get(entry.instance, now) >= COLD_SECONDS
    ]
    return ServerCounts(
        old_servers=len(old),
        new_servers=len(new),
        old_slots=sum(entry.slots for entry in old),
        new_slots=sum(entry.slots for entry in warm),
        withdrawal_reason=withdrawal_reason,
    )


def _decide_running(
    rollout: model.Rollout,
    judgement: judgements.Judgement,
    server_counts: ServerCounts,
    now: float,
    times: Times,
) -> Decision:
    seconds_left = (
        rollout.finish_by - FINISH_MARGIN_SECONDS - COMMIT_SECONDS - now
    )
    remaining_shares = [share for share in SHARES if share > rollout.share]
    elapsed = now - rollout.changed_at
    min_wait = max(times.step_seconds - elapsed, 0.0)
    if rollout.share == 0:
        # No earlier step has to be waited for.
        min_wait = 0.0
    if (
        seconds_left
        < min_wait + (len(remaining_shares) - 1) * times.step_seconds
    ):
        return Withdraw(
            reason="full share cannot be reached in time before finish_by "
            f"from a share of {rollout.share} of 1000: "
            f"{_explain_delay(judgement, server_counts, rollout)}"
        )
    spacing = _compute_spacing(
        seconds_left + elapsed, len(remaining_shares), times
    )
    share = _next_share(remaining_shares, judgement, spacing)
    obstacle = _find_obstacle(rollout, judgement, server_counts, now, share)
    if obstacle:
        return Hold(reason=obstacle)
    if rollout.share and elapsed < spacing:
        return Hold(reason="the interval since the last step is too short")
    if share >= model.TOTAL_SHARE:
        return StartBaking()
    return Advance(share=share)


def _next_share(
    remaining_shares: list[int],
    judgement: judgements.Judgement,
    spacing: float,
) -> int:
    """Return the next share that gives enough calls within the interval."""
    for share in remaining_shares:
        rate = judgement.calls_per_second * share / model.TOTAL_SHARE
        if share >= SKIPPABLE_BELOW_SHARE:
            return share
        if rate * spacing >= judgements.MIN_CALLS:
            return share
    return remaining_shares[-1]


def _explain_delay(
    judgement: judgements.Judgement,
    server_counts: ServerCounts,
    rollout: model.Rollout,
) -> str:
    if not server_counts.new_servers:
        return f"no server of {rollout.new} is up"
    return judgement.hold_reason or "too little time was left for the steps"


def _compute_spacing(
    seconds_left: float, steps_left: int, times: Times
) -> float:
    """Return the interval between steps, in seconds."""
    interval = STEP_TIME_FRACTION * seconds_left / steps_left
    return min(max(interval, times.step_seconds), MAX_SPACING_SECONDS)


def _find_obstacle(
    rollout: model.Rollout,
    judgement: judgements.Judgement,
    server_counts: ServerCounts,
    now: float,
    share: int,
) -> str:
    """Return why the share may not rise, or an empty string."""
    if not server_counts.new_servers:
        return f"no server of {rollout.new} is up"
    required = min(server_counts.old_servers, 2)
    if share >= TWO_SERVERS_SHARE and server_counts.new_servers < required:
        return (
            f"{server_counts.new_servers} servers of {rollout.new} are up, "
            f"{required} are needed"
        )
    if not _has_capacity(judgement, server_counts, share):
        return (
            f"{server_counts.new_slots} warm slots of {rollout.new} are "
            f"too few for a share of {share} of 1000"
        )
    if not rollout.share:
        return ""
    if judgement.hold_reason:
        return judgement.hold_reason
    if now - judgement.heard_at > MAX_EVIDENCE_AGE_SECONDS:
        return f"no recent evidence about {rollout.new}"
    return ""


def _has_capacity(
    judgement: judgements.Judgement, server_counts: ServerCounts, share: int
) -> bool:
    """Return whether the new version's warm slots suffice for a share.

    They suffice if they match that share of the old version's slots, or of
    the calls in progress with a reserve.
    """
    if not server_counts.new_slots:
        return False
    fraction = share / model.TOTAL_SHARE
    if server_counts.new_slots >= fraction * server_counts.old_slots:
        return True
    is_measured = judgement.busy_slots > 0
    needed = HEADROOM_FACTOR * judgement.busy_slots * fraction
    return is_measured and server_counts.new_slots >= needed


def _decide_baking(
    rollout: model.Rollout,
    judgement: judgements.Judgement,
    now: float,
    times: Times,
) -> Decision:
    elapsed = now - rollout.changed_at
    if elapsed < times.bake_seconds:
        return Hold(reason="baking")
    if elapsed >= MAX_BAKE_RATIO * times.bake_seconds:
        if judgement.may_be_worse:
            return Withdraw(reason=judgement.hold_reason)
        return Finish()
    if judgement.hold_reason:
        return Hold(reason=judgement.hold_reason)
    if now - judgement.heard_at > MAX_EVIDENCE_AGE_SECONDS:
        return Hold(reason=f"no recent evidence about {rollout.new}")
    return Finish()
