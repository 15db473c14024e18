"""Records of ended rollouts; the keys are ``outcome/<rollout>``."""

from apricotpost import model
from apricotpost.storage import table

__all__ = ["make_outcome_write"]


def make_outcome_write(
    before: model.Rollout,
    after: model.Rollout,
    *,
    evidence: str,
    author: str,
) -> table.Put:
    """Return the write of the record that a rollout ended with a result.

    It belongs to the transaction that ends the rollout. It needs no
    condition, because that change is based on a configuration in which the
    rollout is open.

    Parameters
    ----------
    before, after : apricotpost.model.Rollout
        The rollout before and after its end.
    evidence : str
        Summary of the evidence for the team that owns the service.
    author : str
        Who ended the rollout.
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
