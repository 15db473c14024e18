"""Records of ended rollouts, as ``outcome/<rollout>`` in the table."""

import dataclasses

from apricotpost import model
from apricotpost.platform import store as stores
from apricotpost.platform import table

__all__ = ["Outcome", "outcome_write", "read_outcomes"]

PARTITION = "outcome"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Outcome:
    """How a rollout ended.

    Parameters
    ----------
    rollout, service, old, new : str
        Identifier, service and its versions.
    state : str
        ``done`` or ``withdrawn``.
    reason : str
        Why, for a withdrawn version.
    share : int
        Share of the new version before the end, in thousandths.
    started_at, finish_by, ended_at : float
        Unix time in seconds.
    evidence : str
        Calls and levels by route.
    """

    rollout: str
    service: str
    old: str
    new: str
    state: str
    reason: str
    share: int
    started_at: float
    finish_by: float
    ended_at: float
    evidence: str


def outcome_write(
    before: model.Rollout, after: model.Rollout, *, evidence: str
) -> table.Put:
    """Make the write that belongs into the transaction of the end.

    It needs no condition: the change that it is part of is based on a
    configuration in which the rollout is open.

    Parameters
    ----------
    before, after : apricotpost.model.Rollout
        The open rollout and the ended one.
    evidence : str
        Summary for the owner.
    """
    attributes: dict[str, table.Value] = {
        "service": after.service,
        "old": after.old,
        "new": after.new,
        "state": after.state.value,
        "reason": after.reason,
        "share": before.share,
        "started_ms": int(after.started_at * 1000),
        "finish_by_ms": int(after.finish_by * 1000),
        "ended_ms": int(after.changed_at * 1000),
        "evidence": evidence,
    }
    key = table.Key(pk=PARTITION, sk=after.identifier)
    return table.Put(item=table.Item(key=key, attributes=attributes))


def read_outcomes(store: stores.Store) -> tuple[Outcome, ...]:
    """Read the outcomes of all rollouts, sorted by identifier.

    Raises
    ------
    apricotpost.errors.PlatformError
        The table did not answer.
    """
    found: list[Outcome] = []
    after = ""
    while True:
        items = table.query(store.table, pk=PARTITION, after=after)
        if not items:
            return tuple(found)
        found.extend(_decode(item) for item in items)
        after = items[-1].key.sk


def _decode(item: table.Item) -> Outcome:
    fields = item.attributes
    return Outcome(
        rollout=item.key.sk,
        service=str(fields["service"]),
        old=str(fields["old"]),
        new=str(fields["new"]),
        state=str(fields["state"]),
        reason=str(fields["reason"]),
        share=int(fields["share"]),
        started_at=int(fields["started_ms"]) / 1000,
        finish_by=int(fields["finish_by_ms"]) / 1000,
        ended_at=int(fields["ended_ms"]) / 1000,
        evidence=str(fields["evidence"]),
    )
