"""Messages with default values for tests of the event-loop node."""

from apricotpost import model
from apricotpost import wire

__all__ = ["make_heartbeat", "make_load", "make_server", "make_state"]


def make_load(**changes):
    values = {"running": 0, "queued": 0, "limit": 8, "mean_ms": 100.0}
    return wire.ServerLoad(**{**values, **changes})


def make_server(**changes):
    values = {
        "backend": "b",
        "service": "portal",
        "version": "v1",
        "ready": True,
        "cold": False,
        "load": make_load(),
    }
    return wire.ServerState(**{**values, **changes})


def make_state(**changes):
    values = {
        "node": "a",
        "data_centre": "dc-a",
        "address": "127.0.0.1:1",
        "boot": 1,
        "sequence": 1,
        "leaving": False,
        "store_reachable": True,
        "orders_revision": 0,
        "server": None,
    }
    return wire.NodeState(**{**values, **changes})


def make_heartbeat(**changes):
    values = {
        "backend": "b",
        "started_at_ms": 1000,
        "sequence": 1,
        "service": "portal",
        "version": "v1",
        "data_centre": "dc-a",
        "address": "127.0.0.1:1",
        "slots": 8,
        "state": model.BackendState.READY,
        "cold_ms": 0,
    }
    return model.Heartbeat(**{**values, **changes})
