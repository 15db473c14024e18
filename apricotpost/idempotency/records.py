"""Records of keyed calls, and what follows from one for a call."""

import dataclasses
import enum

import msgspec

from apricotpost import errors
from apricotpost.idempotency import keys
from apricotpost.storage import table

__all__ = [
    "LIFETIME_SECONDS",
    "Outcome",
    "Record",
    "Verdict",
    "decide",
    "decode",
    "decode_outcome",
    "encode",
    "encode_outcome",
    "record_key",
    "started",
]

LIFETIME_SECONDS = 24 * 3600


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Outcome:
    """The first answer to a keyed call."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Record:
    """What the table holds for a key.

    Parameters
    ----------
    attempt : str
        The call that owns the key.
    fingerprint : str
        Hash of its request.
    deadline : float
        Unix time in seconds at which that call ends.
    expires_at : int
        Unix time in seconds at which the key is free again.
    outcome : bytes, optional
        Its encoded outcome.
    outcome_object : str, optional
        Name of the object that holds its encoded outcome.
    """

    attempt: str
    fingerprint: str
    deadline: float
    expires_at: int
    outcome: bytes | None = None
    outcome_object: str | None = None


class Verdict(enum.StrEnum):
    """What a call with a key may do."""

    RUN = "run"
    REPLAY = "replay"
    IN_PROGRESS = "in-progress"
    CONFLICT = "conflict"
    MISMATCH = "mismatch"
    UNAVAILABLE = "unavailable"


def decide(record: Record | None, claim: keys.Claim, now: float) -> Verdict:
    """Decide what a call may do, given the record of its key.

    Parameters
    ----------
    record : Record, optional
        What the table holds.
    claim : Claim
        The call.
    now : float
        Unix time in seconds.

    Returns
    -------
    Verdict
        ``RUN`` says that the key is free or belongs to this very call.
        ``CONFLICT`` says that the first call has ended without an outcome,
        so it may have run.
    """
    if record is None or record.expires_at <= now:
        return Verdict.RUN
    if record.fingerprint != claim.fingerprint:
        return Verdict.MISMATCH
    if record.outcome is not None or record.outcome_object is not None:
        return Verdict.REPLAY
    if record.attempt == claim.attempt:
        return Verdict.RUN
    if now < record.deadline:
        return Verdict.IN_PROGRESS
    return Verdict.CONFLICT


def started(claim: keys.Claim) -> Record:
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
    """Return the item of a record.

    ``expires_at`` has the form that the table's time to live takes.
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
    """Read the item of a record.

    Raises
    ------
    apricotpost.errors.PlatformDataDamaged
        The item is not a record.
    """
    raw = dict(item.attributes)
    raw["deadline"] = raw.pop("deadline_ms", "")
    try:
        record = msgspec.convert(raw, Record)
    except msgspec.ValidationError as error:
        raise errors.PlatformDataDamaged(
            f"item {item.key.pk}/{item.key.sk} is not the record of a call: "
            f"{error}"
        ) from error
    return dataclasses.replace(record, deadline=record.deadline / 1000)


def encode_outcome(outcome: Outcome) -> bytes:
    """Return the stored form of an outcome."""
    return msgspec.msgpack.encode(outcome)


def decode_outcome(body: bytes) -> Outcome:
    """Read the stored form of an outcome.

    Raises
    ------
    apricotpost.errors.PlatformDataDamaged
        It is malformed.
    """
    try:
        return msgspec.msgpack.decode(body, type=Outcome)
    except msgspec.DecodeError as error:
        raise errors.PlatformDataDamaged(
            f"a stored outcome is malformed: {error}"
        ) from error
