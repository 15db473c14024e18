"""Immutable data classes shared by all packages.

Those of the thread-based node are imported on first use; the stub beside this
file lists all names.
"""

import typing

import lazy_loader

from apricotpost.model.traffic import BackendState
from apricotpost.model.traffic import ClientLimits
from apricotpost.model.traffic import Heartbeat
from apricotpost.model.traffic import RolloutOrder
from apricotpost.model.traffic import ServiceRule
from apricotpost.model.traffic import Target
from apricotpost.model.traffic import Tenant
from apricotpost.model.traffic import TrafficConfig
from apricotpost.model.traffic import TrafficRoute

__all__ = [
    "BackendState",
    "ClientLimits",
    "Heartbeat",
    "RolloutOrder",
    "ServiceRule",
    "Target",
    "Tenant",
    "TrafficConfig",
    "TrafficRoute",
]

_load_attribute, __dir__, _ = lazy_loader.attach(
    __name__,
    submod_attrs={
        "configuration": [
            "DataCentre",
            "DataCentreState",
            "Delta",
            "EMPTY_SNAPSHOT",
            "Rollout",
            "RolloutState",
            "Route",
            "Service",
            "Snapshot",
            "TOTAL_SHARE",
            "VersionShare",
        ],
        "instances": [
            "Evidence",
            "InstanceRecord",
            "InstanceState",
            "Load",
            "View",
            "Withdrawal",
        ],
        "levels": ["LevelBucket", "LevelCounts", "Objective", "RouteLevel"],
    },
)


def __getattr__(name: str) -> typing.Any:
    """Import a data class and keep it for the next use."""
    value = _load_attribute(name)
    globals()[name] = value
    return value
