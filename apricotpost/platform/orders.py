"""Operators' orders in the store, and the status rows of rollouts."""

import enum

import msgspec

from apricotpost import decoding
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

# Names of tables in the store.
ORDERS = "op"
STATUS = "status"
# Keys in the table of orders. The configuration is one row; the two prefixes
# are followed by a name.
CONFIGURATION = "config"
ROLLOUTS = "rollout/"
EVACUATIONS = "evacuate/"


class TrialState(enum.StrEnum):
    """State of a rollout in the status row that operators read."""

    RUNNING = "running"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"


class _Rollout(msgspec.Struct, frozen=True):
    service: decoding.Name
    # Version to roll out.
    to: decoding.Name
    duration_s: decoding.Finite


_decode_rollout = decoding.json_decoder("rollout order", _Rollout)


def parse_rollout(body: bytes) -> model.RolloutOrder:
    """Decode a rollout order.

    Raises
    ------
    apricotpost.errors.MalformedMessage
        The order cannot be decoded.
    """
    order = _decode_rollout(body)
    return model.RolloutOrder(
        service=order.service, version=order.to, seconds=order.duration_s
    )


def status_key(service: str) -> str:
    """Return the key of the status row of a service's rollout."""
    return f"{ROLLOUTS}{service}"


def encode_status(state: TrialState, version: str) -> bytes:
    """Encode the status row of a rollout."""
    return msgspec.json.encode({"state": state.value, "to": version})
