"""Decisions of a rollout's holder: step, wait, withdraw, bake, finish."""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses

from apricotpost import model
from apricotpost.rollout import verdicts

__all__ = [
    "BAKING_SHARE",
    "Advance",
    "Decision",
    "Facts",
    "Finish",
    "Hold",
    "SHARES",
    "StartBaking",
    "Times",
    "Withdraw",
    "count_servers",
    "decide",
    "shortest_seconds",
]

SHARES = (10, 50, 250, 500, model.TOTAL_SHARE)
# While baking the old version keeps the rest to be compared with.
BAKING_SHARE = 980
# A version reaches everyone within 8 s; clocks differ by less than 2 s.
MARGIN_SECONDS = 10.0
# The commit of full share may take so long: a lost answer is read back.
COMMIT_SECONDS = 4.0
# Evidence older than this is no reason for a step forward.
FRESH_SECONDS = 5.0
# A first share below this is skipped when it would give too few calls for a
# step: at 30 calls a second, 1 % takes more than a minute for 20 calls.
QUIET_SHARE = 50
# With much time left a step still does not wait longer than this.
MAX_SPACING_SECONDS = 30.0
# Part of the remaining time that the steps are spread over; the rest is
# for steps that are held.
SPREAD = 0.5
# Slots of a server that came up less long ago are not counted: it is cold.
COLD_SECONDS = 5.0
# Slots needed for each call in work, so that a server's failure is borne.
HEADROOM = 2.0
# From this share on the new version may not depend on one server.
PAIR_SHARE = 250
# A bake ends at the latest after so many bake times. A version that is
# still suspect then is withdrawn.
MAX_BAKES = 3.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Times:
    """Shortest time between steps and bake time, in seconds."""

    step_seconds: float = 5.0
    bake_seconds: float = 60.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Facts:
    """Backend servers of both versions that take calls.

    Parameters
    ----------
    old_servers, new_servers : int
        Servers that are up.
    old_slots, new_slots : int
        Their slots; those of cold servers are left out for the new version.
    withdrawn : str
        Reason of a withdrawal that some node decided, or empty.
    """

    old_servers: int
    new_servers: int
    old_slots: int
    new_slots: int
    withdrawn: str = ""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Advance:
    """Raise the new version's share."""

    share: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StartBaking:
    """Give the new version the full share."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Hold:
    """Change nothing for now."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Withdraw:
    """Return all calls to the old version."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Finish:
    """End the old version's share."""


Decision = Advance | StartBaking | Hold | Withdraw | Finish


def decide(
    rollout: model.Rollout,
    judgement: verdicts.Judgement,
    facts: Facts,
    now: float,
    times: Times,
) -> Decision:
    """Decide what an open rollout needs.

    Parameters
    ----------
    rollout : apricotpost.model.Rollout
        As the configuration in force has it.
    judgement : apricotpost.rollout.verdicts.Judgement
        What the evidence allows.
    facts : Facts
        Backend servers.
    now : float
        Unix time in seconds.
    times : Times
        Settings.
    """
    if facts.withdrawn:
        return Withdraw(reason=facts.withdrawn)
    if judgement.bad:
        return Withdraw(reason=judgement.bad)
    if rollout.state is model.RolloutState.RUNNING:
        return _decide_running(rollout, judgement, facts, now, times)
    if rollout.state is model.RolloutState.BAKING:
        return _decide_baking(rollout, judgement, now, times)
    return Hold(reason="the rollout has ended")


def shortest_seconds(times: Times) -> float:
    """Return the least time from the start of a rollout to its end."""
    return len(SHARES) * times.step_seconds + MARGIN_SECONDS + COMMIT_SECONDS


def count_servers(
    rollout: model.Rollout,
    instances: Iterable[model.InstanceRecord],
    up_since: Mapping[str, float],
    now: float,
    withdrawn: str = "",
) -> Facts:
    """Count the backend servers of both versions.

    Parameters
    ----------
    rollout : apricotpost.model.Rollout
        Names the service and the versions.
    instances : iterable of apricotpost.model.InstanceRecord
        All known.
    up_since : mapping
        When this node first saw an instance up with its present version.
    now : float
        On the same clock as ``up_since``.
    withdrawn : str
        Passed on.
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
    return Facts(
        old_servers=len(old),
        new_servers=len(new),
        old_slots=sum(entry.slots for entry in old),
        new_slots=sum(entry.slots for entry in warm),
        withdrawn=withdrawn,
    )


def _decide_running(
    rollout: model.Rollout,
    judgement: verdicts.Judgement,
    facts: Facts,
    now: float,
    times: Times,
) -> Decision:
    left = rollout.finish_by - MARGIN_SECONDS - COMMIT_SECONDS - now
    ahead = [share for share in SHARES if share > rollout.share]
    waited = now - rollout.changed_at
    shortest = max(times.step_seconds - waited, 0.0)
    if rollout.share == 0:
        # The first step has no step before it.
        shortest = 0.0
    if left < shortest + (len(ahead) - 1) * times.step_seconds:
        return Withdraw(
            reason=f"full share cannot be reached by finish_by from "
            f"{rollout.share} of 1000: {_why_late(judgement, facts, rollout)}"
        )
    spacing = _spacing(left + waited, len(ahead), times)
    share = _next_share(ahead, judgement, spacing)
    obstacle = _find_obstacle(rollout, judgement, facts, now, share)
    if obstacle:
        return Hold(reason=obstacle)
    if rollout.share and waited < spacing:
        return Hold(reason="the last step is too recent")
    if share >= model.TOTAL_SHARE:
        return StartBaking()
    return Advance(share=share)


def _next_share(
    ahead: list[int], judgement: verdicts.Judgement, spacing: float
) -> int:
    """Skip a small share that would not give enough calls in time."""
    for share in ahead:
        rate = judgement.calls_per_second * share / model.TOTAL_SHARE
        if share >= QUIET_SHARE:
            return share
        if rate * spacing >= verdicts.MIN_CALLS:
            return share
    return ahead[-1]


def _why_late(
    judgement: verdicts.Judgement, facts: Facts, rollout: model.Rollout
) -> str:
    if not facts.new_servers:
        return f"no server of {rollout.new} is up"
    return judgement.doubt or "the time was too short"


def _spacing(time_left: float, steps_left: int, times: Times) -> float:
    """Spread the steps over part of the time left."""
    spread = SPREAD * time_left / steps_left
    return min(max(spread, times.step_seconds), MAX_SPACING_SECONDS)


def _find_obstacle(
    rollout: model.Rollout,
    judgement: verdicts.Judgement,
    facts: Facts,
    now: float,
    share: int,
) -> str:
    """Say why the share may not rise, or return an empty string."""
    if not facts.new_servers:
        return f"no server of {rollout.new} is up"
    pair = min(facts.old_servers, 2)
    if share >= PAIR_SHARE and facts.new_servers < pair:
        return f"{facts.new_servers} servers of {rollout.new}, {pair} needed"
    if not _has_room(judgement, facts, share):
        return (
            f"{facts.new_slots} warm slots of {rollout.new} are too few "
            f"for a share of {share}"
        )
    if not rollout.share:
        return ""
    if judgement.doubt:
        return judgement.doubt
    if now - judgement.heard_at > FRESH_SECONDS:
        return f"no recent evidence about {rollout.new}"
    return ""


def _has_room(judgement: verdicts.Judgement, facts: Facts, share: int) -> bool:
    """Compare slots with the old version's and with the calls in work."""
    if not facts.new_slots:
        return False
    part = share / model.TOTAL_SHARE
    if facts.new_slots >= part * facts.old_slots:
        return True
    measured = judgement.busy_slots > 0
    needed = HEADROOM * judgement.busy_slots * part
    return measured and facts.new_slots >= needed


def _decide_baking(
    rollout: model.Rollout,
    judgement: verdicts.Judgement,
    now: float,
    times: Times,
) -> Decision:
    waited = now - rollout.changed_at
    if waited < times.bake_seconds:
        return Hold(reason="baking")
    if waited >= MAX_BAKES * times.bake_seconds:
        if judgement.suspect:
            return Withdraw(reason=judgement.doubt)
        return Finish()
    if judgement.doubt:
        return Hold(reason=judgement.doubt)
    if now - judgement.heard_at > FRESH_SECONDS:
        return Hold(reason=f"no recent evidence about {rollout.new}")
    return Finish()
