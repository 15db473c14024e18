"""JSON values for operators, read from the view and the platform's table."""

from collections.abc import Iterable
import typing

from apricotpost.admin import moves
from apricotpost import errors
from apricotpost import model
from apricotpost import storage
from apricotpost.storage import table

__all__ = [
    "DEFAULT_PAGE_ITEMS",
    "describe_rollout",
    "describe_status",
    "read_audit",
    "read_history",
    "read_move",
]

DEFAULT_PAGE_ITEMS = 200
# The history covers moves that started in this many newest configuration
# versions, about 3 days at the target size.
HISTORY_VERSIONS = 10_000
QUERY_PAGE_ITEMS = 1000

Json = dict[str, typing.Any]


def describe_status(view: model.View, *, now: float) -> Json:
    """Summarise a view: versions, shares, rollouts and instances."""
    snapshot = view.snapshot
    return {
        "ready": view.ready,
        "version": snapshot.version,
        "checksum": snapshot.checksum,
        "services": snapshot.services,
        "data_centres": [
            {
                "name": centre.name,
                "region": centre.region,
                "state": centre.state,
                "instances": _count_instances(view, centre.name),
            }
            for centre in snapshot.data_centres
        ],
        "rollouts": [
            describe_rollout(entry, view.withdrawals, now=now)
            for entry in snapshot.rollouts
        ],
        "withdrawals": view.withdrawals,
    }


def describe_rollout(
    rollout: model.Rollout,
    withdrawals: Iterable[model.Withdrawal],
    *,
    now: float,
) -> Json:
    """Describe a rollout as nodes treat it at this moment.

    A rollout is reported as withdrawn once a withdrawal is known, or once
    ``finish_by`` has passed while it is running, even before the withdrawal
    is stored.
    """
    state, reason = rollout.state, rollout.reason
    for entry in withdrawals:
        if entry.rollout == rollout.identifier:
            state, reason = model.RolloutState.WITHDRAWN, entry.reason
    if state is model.RolloutState.RUNNING and now > rollout.finish_by:
        state = model.RolloutState.WITHDRAWN
        reason = "full share was not reached by finish_by"
    return {
        "kind": "rollout",
        "identifier": rollout.identifier,
        "service": rollout.service,
        "old": rollout.old,
        "new": rollout.new,
        "state": state,
        "share": rollout.share,
        "started_at": rollout.started_at,
        "finish_by": rollout.finish_by,
        "changed_at": rollout.changed_at,
        "reason": reason,
    }


def read_history(
    store: storage.Store, view: model.View, *, service: str, limit: int
) -> Json:
    """Return the newest outcomes of moves and the running data centre moves.

    Parameters
    ----------
    store : apricotpost.storage.Store
        Connection to the platform.
    view : apricotpost.model.View
        Instances from which the progress of moves is counted.
    service : str
        Service whose rollouts are returned; empty for all moves.
    limit : int
        Largest number of outcomes.

    Raises
    ------
    apricotpost.errors.PlatformError
        The table did not answer.
    """
    ended = [
        _describe_outcome(item)
        for item in _read_outcomes(store, view.snapshot.version)
        if not service or item.attributes.get("service") == service
    ]
    ended.sort(key=lambda entry: int(entry.get("at_ms", 0)), reverse=True)
    pending = (
        () if service else table.query(store.table, pk=moves.PENDING_PARTITION)
    )
    return {
        "outcomes": ended[:limit],
        "pending": [_describe_pending(item, view) for item in pending],
    }


def read_move(
    store: storage.Store, view: model.View, identifier: str, *, now: float
) -> Json:
    """Return the state of one rollout or data centre move.

    Raises
    ------
    apricotpost.errors.PlatformError
        The table did not answer.
    apricotpost.errors.ResourceUnknown
        There is no such move.
    """
    for rollout in view.snapshot.rollouts:
        if rollout.identifier == identifier:
            return describe_rollout(rollout, view.withdrawals, now=now)
    key = table.Key(pk=moves.PENDING_PARTITION, sk=identifier)
    pending = table.get(store.table, key)
    if pending is not None:
        return _describe_pending(pending, view)
    ended = table.get(
        store.table, table.Key(pk=moves.OUTCOME_PARTITION, sk=identifier)
    )
    if ended is None:
        raise errors.ResourceUnknown(f"there is no move {identifier!r}")
    return _describe_outcome(ended)


def read_audit(store: storage.Store, *, before: int, limit: int) -> Json:
    """Return the audit records of versions below ``before``, newest first.

    Raises
    ------
    apricotpost.errors.PlatformError
        The table did not answer.
    """
    oldest = max(before - limit, 1)
    items = table.query(
        store.table, pk="audit", after=f"{oldest - 1:012d}", limit=limit
    )
    records = [
        dict(item.attributes)
        for item in reversed(items)
        if int(item.key.sk) < before
    ]
    return {"records": records, "next": oldest if oldest > 1 else 0}


def _read_outcomes(
    store: storage.Store, version: int
) -> typing.Iterator[table.Item]:
    """Yield the outcomes of moves that started in the newest versions.

    The identifier of a move starts with the configuration version that
    started it.
    """
    after = f"{max(version - HISTORY_VERSIONS, 0):012d}"
    while True:
        page = table.query(
            store.table,
            pk=moves.OUTCOME_PARTITION,
            after=after,
            limit=QUERY_PAGE_ITEMS,
        )
        yield from page
        if len(page) < QUERY_PAGE_ITEMS:
            return
        after = page[-1].key.sk


def _count_instances(view: model.View, data_centre: str) -> Json:
    records = [
        record
        for record in view.instances
        if record.data_centre == data_centre
    ]
    counts: dict[str, int] = {state.value: 0 for state in model.InstanceState}
    for record in records:
        counts[record.state.value] += 1
    counts["behind"] = sum(
        record.config_version < view.snapshot.version
        for record in records
        if record.state is not model.InstanceState.DOWN
    )
    return counts


def _describe_pending(item: table.Item, view: model.View) -> Json:
    move = moves.decode_pending(item)
    progress = moves.measure_progress(move, view.instances)
    return {
        "kind": "data-centre",
        "identifier": move.identifier,
        "data_centre": move.data_centre,
        "to": move.state,
        "version": move.version,
        "state": "running",
        "started_at": move.started_at,
        "finish_by": move.finish_by,
        "reported": progress.reported,
        "outstanding": progress.outstanding,
        "author": move.author,
        "reason": "",
    }


def _describe_outcome(item: table.Item) -> Json:
    """Describe an outcome.

    Binary attributes are omitted, as operators cannot read them.
    """
    values: Json = {
        name: value
        for name, value in item.attributes.items()
        if not isinstance(value, bytes)
    }
    if "state" in values and values.get("kind") == "data-centre":
        values["to"] = values.pop("state")
    state = str(values.get("result", values.get("state", "")))
    return {"identifier": item.key.sk, **values, "state": state}
