"""Records of ended rollouts, as ``outcome/<rollout>`` in the table."""

from apricotpost import model
from apricotpost.storage import table

__all__ = ["outcome_write"]


def outcome_write(
    before: model.Rollout,
    after: model.Rollout,
    *,
    evidence: str,
    author: str,
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
    author : str
        Who ended it.
    """
    attributes: dict[str, table.Value] = {
        "kind": "rollout",
        "service": after.service,
        "old": after.old,
        "new": after.new,
        "result": after.state.value,
        "reason": after.reason,
        "share": before.share,
        "started_at_ms": int(after.started_at * 1000),
        "finish_by_ms": int(after.finish_by * 1000),
        "at_ms": int(after.changed_at * 1000),
        "evidence": evidence,
        "author": author,
    }
    key = table.Key(pk="outcome", sk=after.identifier)
    return table.Put(item=table.Item(key=key, attributes=attributes))
