"""Commits of changes to the newest configuration, once for each request."""

from collections.abc import Callable
import hashlib
import typing
import uuid

import msgspec

from apricotpost.admin import requests
from apricotpost.admin import submissions
from apricotpost.admin import tokens
from apricotpost import config
from apricotpost import decoding
from apricotpost import errors
from apricotpost import model
from apricotpost import storage
from apricotpost.storage import table

__all__ = [
    "check_change",
    "make_request_identifier",
    "read_current",
    "submit",
]

# A change without a base version is retried on a newer version when another
# change is accepted first, with at most this many attempts.
MAX_ATTEMPTS = 5

_RESULT_PARTITION = "result"
_decode_accepted = decoding.json_decoder(
    "accepted change", submissions.AcceptedChange
)


def make_request_identifier(actor: tokens.Actor, key: str) -> str:
    """Return the request identifier for an idempotency key.

    It is scoped by team and author, and short enough for a suffix within the
    36 characters that the table accepts as a token.
    """
    text = f"{actor.team}\n{actor.author}\n{key}"
    return hashlib.sha256(text.encode()).hexdigest()[:24]


def read_current(
    store: storage.Store, snapshot: model.Snapshot
) -> model.Snapshot:
    """Return the newest configuration, reading only what is new.

    Parameters
    ----------
    store : apricotpost.storage.Store
        Connection to the platform.
    snapshot : apricotpost.model.Snapshot
        Configuration to start from; only newer versions are read.

    Raises
    ------
    apricotpost.errors.PlatformError
        The platform did not answer.
    """
    _, deltas, newer_snapshot = storage.read_updates(store, snapshot.version)
    if newer_snapshot is not None:
        snapshot = config.apply_snapshot(snapshot, newer_snapshot)
    for delta in deltas:
        snapshot = config.apply_delta(snapshot, delta)
    return snapshot


def submit(
    store: storage.Store,
    submission: submissions.Submission,
    apply: Callable[[model.Snapshot], requests.AppliedChange],
    *,
    notify_committed: Callable[[model.Delta], None],
    snapshot: model.Snapshot,
    now: float,
) -> submissions.AcceptedChange:
    """Apply a change to the newest configuration and commit it.

    Parameters
    ----------
    store : apricotpost.storage.Store
        Connection to the platform.
    submission : Submission
        Author and identifier of the request.
    apply : callable
        Returns the change applied to a snapshot.
    notify_committed : callable
        Called with the delta once it is committed.
    snapshot : apricotpost.model.Snapshot
        Configuration of this node; only newer versions are read.
    now : float
        Unix time in seconds.

    Raises
    ------
    apricotpost.errors.ChangeConflict
        Another change was accepted first; the message names it.
    apricotpost.errors.PlatformError
        The platform did not answer.
    apricotpost.errors.RequestInvalid
        The identifier belongs to a request with other content.

    Notes
    -----
    The result is written on condition that the request has none yet, so a
    request takes effect once, however often and at however many nodes it is
    repeated. Each attempt has an identifier of its own: if the answer to an
    attempt is lost, `storage.commit` may block that identifier permanently.
    """
    for attempt in range(1, MAX_ATTEMPTS + 1):
        snapshot = read_current(store, snapshot)
        previous = _find_previous_result(store, submission)
        if previous is not None:
            return previous
        _check_base(store, submission, snapshot)
        applied = apply(snapshot)
        accepted = _make_result(submission, snapshot, applied)
        try:
            _write(store, submission, snapshot, applied, accepted, now)
        except errors.ChangeConflict:
            # The next attempt returns the result of a repetition that was
            # accepted first, or applies the change to the newer version.
            # With a base version it raises an error that names the accepted
            # change instead.
            if attempt == MAX_ATTEMPTS:
                raise
            continue
        if applied.snapshot != snapshot:
            notify_committed(config.compute_delta(snapshot, applied.snapshot))
        return accepted
    raise AssertionError("every attempt returns or raises")


def check_change(
    store: storage.Store,
    submission: submissions.Submission,
    apply: Callable[[model.Snapshot], requests.AppliedChange],
    *,
    snapshot: model.Snapshot,
) -> submissions.AcceptedChange:
    """Return what `submit` would return, without writing anything.

    Raises
    ------
    apricotpost.errors.ApricotpostError
        As raised by `submit`.
    """
    snapshot = read_current(store, snapshot)
    _check_base(store, submission, snapshot)
    return _make_result(submission, snapshot, apply(snapshot))


def _find_previous_result(
    store: storage.Store, submission: submissions.Submission
) -> submissions.AcceptedChange | None:
    """Return the result of an earlier submission of the same request."""
    item = table.get(
        store.table, table.Key(pk=_RESULT_PARTITION, sk=submission.request)
    )
    if item is None:
        return None
    if item.attributes["digest"] != submission.digest:
        raise errors.RequestInvalid(
            f"request identifier {submission.request} belongs to another "
            f"change, accepted as version {item.attributes['version']!s}"
        )
    accepted: submissions.AcceptedChange = _decode_accepted(
        str(item.attributes["result"]).encode()
    )
    return accepted


def _check_base(
    store: storage.Store,
    submission: submissions.Submission,
    snapshot: model.Snapshot,
) -> None:
    if submission.base is None or submission.base == snapshot.version:
        return
    if submission.base > snapshot.version:
        raise errors.ChangeConflict(
            f"base version {submission.base} does not exist; the newest is "
            f"{snapshot.version}"
        )
    accepted_version = submission.base + 1
    record = table.get(
        store.table, table.Key(pk="audit", sk=f"{accepted_version:012d}")
    )
    accepted: typing.Any = record.attributes if record is not None else {}
    raise errors.ChangeConflict(
        f"version {accepted_version} was accepted first, from "
        f"{accepted.get('author', 'unknown')}: {accepted.get('reason', '')}; "
        f"the newest version is {snapshot.version}"
    )


def _make_result(
    submission: submissions.Submission,
    before: model.Snapshot,
    applied: requests.AppliedChange,
) -> submissions.AcceptedChange:
    after = applied.snapshot
    known_rollouts = {entry.identifier for entry in before.rollouts}
    started = [
        entry.identifier
        for entry in after.rollouts
        if entry.identifier not in known_rollouts
    ]
    return submissions.AcceptedChange(
        version=after.version,
        base=before.version,
        request=submission.request,
        changed=applied.changed,
        unchanged=applied.unchanged,
        rollouts=tuple(started),
        moves=tuple(
            submissions.move_identifier(after.version, move)
            for move in applied.moves
        ),
    )


def _write(
    store: storage.Store,
    submission: submissions.Submission,
    before: model.Snapshot,
    applied: requests.AppliedChange,
    accepted: submissions.AcceptedChange,
    now: float,
) -> None:
    result = table.Put(
        item=table.Item(
            key=table.Key(pk=_RESULT_PARTITION, sk=submission.request),
            attributes={
                "digest": submission.digest,
                "version": accepted.version,
                "result": msgspec.json.encode(accepted).decode(),
            },
        ),
        condition=table.absent(),
    )
    identifier = f"{submission.request}-{uuid.uuid4().hex[:8]}"
    if applied.snapshot == before:
        # Store the result, so that a later repetition of this request does
        # not apply the change to another configuration.
        _write_result(store, result, identifier)
        return
    storage.commit(
        store,
        storage.Change(
            before=before,
            after=applied.snapshot,
            author=submission.actor.author,
            reason=submission.reason,
            request=identifier,
            at=now,
            extra=(
                result,
                *submissions.extra_writes(submission, applied, now),
            ),
        ),
    )


def _write_result(
    store: storage.Store, result: table.Put, identifier: str
) -> None:
    try:
        table.transact(store.table, (result,), token=identifier)
    except errors.TransactionRejected as error:
        raise errors.ChangeConflict(
            "a repetition of this request was accepted first"
        ) from error
