"""Commit a change on the newest configuration, once for each request."""

from collections.abc import Callable
import hashlib
import typing
import uuid

import msgspec

from apricotpost.admin import requests
from apricotpost.admin import submissions
from apricotpost.admin import tokens
from apricotpost import config
from apricotpost import errors
from apricotpost import model
from apricotpost import storage
from apricotpost.storage import table

__all__ = [
    "check",
    "make_identifier",
    "read_current",
    "submit",
]

# A change without a base version is tried on so many newer versions.
MAX_ATTEMPTS = 5

_RESULTS = "result"


def make_identifier(actor: tokens.Actor, key: str) -> str:
    """Return the request identifier of a client's key.

    It is scoped by author and leaves room for a suffix within the 36
    characters that the table takes.
    """
    text = f"{actor.team}\n{actor.author}\n{key}"
    return hashlib.sha256(text.encode()).hexdigest()[:24]


def read_current(store: storage.Store, held: model.Snapshot) -> model.Snapshot:
    """Read the newest configuration, starting from the one held.

    Raises
    ------
    apricotpost.errors.PlatformError
        The platform did not answer.
    """
    _, deltas, snapshot = storage.read_newer(store, held.version)
    if snapshot is not None:
        held = config.apply_snapshot(held, snapshot)
    for delta in deltas:
        held = config.apply_delta(held, delta)
    return held


def submit(
    store: storage.Store,
    submission: submissions.Submission,
    apply: Callable[[model.Snapshot], requests.Applied],
    *,
    announce: Callable[[model.Delta], None],
    held: model.Snapshot,
    now: float,
) -> submissions.Accepted:
    """Apply a change to the newest configuration and commit it.

    Parameters
    ----------
    store : apricotpost.storage.Store
        Where to read and write.
    submission : Submission
        Who asks, and as which request.
    apply : callable
        Returns the change applied to a snapshot.
    announce : callable
        Called with the change once it is committed.
    held : apricotpost.model.Snapshot
        Configuration of this node, from which reading starts.
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
    The result is put on condition that there is none, so a request takes
    effect once, however often and at however many nodes it is repeated. Each
    attempt has an identifier of its own, because one whose answer was lost
    may be given up for good.
    """
    for attempt in range(1, MAX_ATTEMPTS + 1):
        held = read_current(store, held)
        first = _find_first(store, submission)
        if first is not None:
            return first
        _check_base(store, submission, held)
        applied = apply(held)
        accepted = _describe(submission, held, applied)
        try:
            _write(store, submission, held, applied, accepted, now)
        except errors.ChangeConflict:
            # The next attempt finds a repetition that won, or the change
            # that a base version lost to.
            if attempt == MAX_ATTEMPTS:
                raise
            continue
        if applied.snapshot != held:
            announce(config.compute_delta(held, applied.snapshot))
        return accepted
    raise AssertionError("every attempt returns or raises")


def check(
    store: storage.Store,
    submission: submissions.Submission,
    apply: Callable[[model.Snapshot], requests.Applied],
    *,
    held: model.Snapshot,
) -> submissions.Accepted:
    """Return what `submit` would accept, without writing anything.

    Raises
    ------
    apricotpost.errors.ApricotpostError
        As in `submit`.
    """
    held = read_current(store, held)
    _check_base(store, submission, held)
    return _describe(submission, held, apply(held))


def _find_first(
    store: storage.Store, submission: submissions.Submission
) -> submissions.Accepted | None:
    """Return the result of an earlier submission of the same request."""
    item = table.get(
        store.table, table.Key(pk=_RESULTS, sk=submission.request)
    )
    if item is None:
        return None
    if item.attributes["digest"] != submission.digest:
        raise errors.RequestInvalid(
            f"request identifier {submission.request} belongs to another "
            f"change, accepted as version {item.attributes['version']!s}"
        )
    return msgspec.json.decode(
        str(item.attributes["result"]), type=submissions.Accepted
    )


def _check_base(
    store: storage.Store,
    submission: submissions.Submission,
    held: model.Snapshot,
) -> None:
    if submission.base is None or submission.base == held.version:
        return
    if submission.base > held.version:
        raise errors.ChangeConflict(
            f"base version {submission.base} does not exist; the newest is "
            f"{held.version}"
        )
    lost_to = submission.base + 1
    record = table.get(
        store.table, table.Key(pk="audit", sk=f"{lost_to:012d}")
    )
    who: typing.Any = record.attributes if record is not None else {}
    raise errors.ChangeConflict(
        f"version {lost_to} was accepted first, from "
        f"{who.get('author', 'unknown')}: {who.get('reason', '')}; "
        f"the newest version is {held.version}"
    )


def _describe(
    submission: submissions.Submission,
    before: model.Snapshot,
    applied: requests.Applied,
) -> submissions.Accepted:
    after = applied.snapshot
    known = {entry.identifier for entry in before.rollouts}
    started = [
        entry.identifier
        for entry in after.rollouts
        if entry.identifier not in known
    ]
    return submissions.Accepted(
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
    applied: requests.Applied,
    accepted: submissions.Accepted,
    now: float,
) -> None:
    result = table.Put(
        item=table.Item(
            key=table.Key(pk=_RESULTS, sk=submission.request),
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
        # The result is kept, so that a repetition does not act later.
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
