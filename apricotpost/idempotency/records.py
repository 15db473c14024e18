"""Records of keyed calls, and the decision whether a call may run."""

import dataclasses
import enum

import msgspec

from apricotpost import decoding
from apricotpost import errors
from apricotpost.idempotency import keys
from apricotpost.storage import table

__all__ = [
    "KeyDecision",
    "LIFETIME_SECONDS",
    "Outcome",
    "Record",
    "decide",
    "decode",
    "decode_outcome",
    "encode",
    "encode_outcome",
    "make_record",
    "record_key",
]

LIFETIME_SECONDS = 24 * 3600


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Outcome:
    """Response to the first call with a key."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Record:
    """Record of a key in the table.

    Parameters
    ----------
    attempt : str
        Identifier of the call that owns the key.
    fingerprint : str
        Hash of that call's request.
    deadline : float
        Unix time in seconds at which that call ends.
    expires_at : int
        Unix time in seconds at which the key is free again.
    outcome : bytes, optional
        Encoded outcome of that call.
    outcome_object : str, optional
        Name of the stored object with the encoded outcome, if it is too
        large for the table.
    """

    attempt: str
    fingerprint: str
    deadline: float
    expires_at: int
    outcome: bytes | None = None
    outcome_object: str | None = None


_decode_outcome = decoding.msgpack_decoder("stored outcome", Outcome)


class KeyDecision(enum.StrEnum):
    """Decision on a call with a key."""

    RUN = "run"
    REPLAY = "replay"
    IN_PROGRESS = "in-progress"
    CONFLICT = "conflict"
    MISMATCH = "mismatch"
    UNAVAILABLE = "unavailable"


def decide(
    record: Record | None, claim: keys.Claim, now: float
) -> KeyDecision:
    """Decide what a call may do, given the record of its key.

    Parameters
    ----------
    record : Record, optional
        Record of the key in the table.
    claim : Claim
        Call that asks for the key.
    now : float
        Unix time in seconds.

    Returns
    -------
    KeyDecision
        ``RUN``: the key is free or belongs to this call. ``MISMATCH``: the
        key was used with another request. ``REPLAY``: the outcome of the
        first call is stored. ``IN_PROGRESS``: the first call has not ended.
        ``CONFLICT``: the first call has ended without a stored outcome, so
        it may have run.
    """
    if record is None or record.expires_at <= now:
        return KeyDecision.RUN
    if record.fingerprint != claim.fingerprint:
        return KeyDecision.MISMATCH
    if record.outcome is not None or record.outcome_object is not None:
        return KeyDecision.REPLAY
    if record.attempt == claim.attempt:
        return KeyDecision.RUN
    if now < record.deadline:
        return KeyDecision.IN_PROGRESS
    return KeyDecision.CONFLICT


def make_record(claim: keys.Claim) -> Record:
    """Return the record of a call that is about to run."""
    return Record(
        attempt=claim.attempt,
        fingerprint=claim.fingerprint,
        deadline=claim.deadline,
        expires_at=int(claim.started_at) + LIFETIME_SECONDS,
    )


def record_key(claim: keys.Claim) -> table.Key:
    """Return the key of a record in the table."""
    return table.Key(pk=f"call#{claim.route}", sk=claim.key)


def encode(claim: keys.Claim, record: Record) -> table.Item:
    """Return the table item of a record.

    The table's time to live reads ``expires_at``, which must be an integer
    of Unix time in seconds.
    """
    attributes: dict[str, table.Value] = {
        "attempt": record.attempt,
        "fingerprint": record.fingerprint,
        "deadline_ms": int(record.deadline * 1000),
        "expires_at": record.expires_at,
    }
    if record.outcome is not None:
        attributes["outcome"] = record.outcome
    if record.outcome_object is not None:
        attributes["outcome_object"] = record.outcome_object
    return table.Item(key=record_key(claim), attributes=attributes)


def decode(item: table.Item) -> Record:
    """Return the record in a table item.

    Raises
    ------
    apricotpost.errors.PlatformDataDamaged
        The item is not a record.
    """
    raw = dict(item.attributes)
    raw["deadline"] = raw.pop("deadline_ms", "")
    try:
        record: Record = decoding.convert("record", raw, Record)
    except errors.MalformedMessage as error:
        raise errors.PlatformDataDamaged(
            f"item {item.key.pk}/{item.key.sk} is not the record of a call: "
            f"{error}"
        ) from error
    return dataclasses.replace(record, deadline=record.deadline / 1000)


def encode_outcome(outcome: Outcome) -> bytes:
    """Return the stored form of an outcome."""
    return msgspec.msgpack.encode(outcome)


def decode_outcome(body: bytes) -> Outcome:
    """Return the outcome from its stored form.

    Raises
    ------
    apricotpost.errors.PlatformDataDamaged
        The stored form is malformed.
    """
    try:
        outcome: Outcome = _decode_outcome(body)
        return outcome
    except errors.MalformedMessage as error:
        raise errors.PlatformDataDamaged(
            f"the stored outcome of a keyed call is malformed: {error}"
        ) from error
