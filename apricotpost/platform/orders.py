"""Operators' rows in the store, and the status rows written for them."""

import enum

import msgspec

from apricotpost import errors
from apricotpost import model

__all__ = [
    "CONFIGURATION",
    "EVACUATIONS",
    "ORDERS",
    "ROLLOUTS",
    "STATUS",
    "TrialState",
    "encode_status",
    "parse_rollout",
    "status_key",
]

# Tables.
ORDERS = "op"
STATUS = "status"
# Keys of the table of orders: one row, and two prefixes that a name follows.
CONFIGURATION = "config"
ROLLOUTS = "rollout/"
EVACUATIONS = "evacuate/"


class TrialState(enum.StrEnum):
    """State of a rollout as operators read it."""

    RUNNING = "running"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"


class _Rollout(msgspec.Struct, frozen=True):
    service: str
    # The version to move to.
    to: str
    duration_s: float


_ROLLOUT = msgspec.json.Decoder(_Rollout)


def parse_rollout(body: bytes) -> model.RolloutOrder:
    """Decode an order to roll out a version.

    Raises
    ------
    apricotpost.errors.MalformedMessage
        The order does not have the expected form.
    """
    try:
        order = _ROLLOUT.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise errors.MalformedMessage(
            f"rollout order cannot be decoded: {error}"
        ) from error
    return model.RolloutOrder(
        service=order.service, version=order.to, seconds=order.duration_s
    )


def status_key(service: str) -> str:
    """Return the key of the status row of a service's rollout."""
    return f"{ROLLOUTS}{service}"


def encode_status(state: TrialState, version: str) -> bytes:
    """Encode the status of a rollout."""
    return msgspec.json.encode({"state": state.value, "to": version})
