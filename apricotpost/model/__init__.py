"""Immutable data classes shared by all packages."""

from apricotpost.model.configuration import DataCentre
from apricotpost.model.configuration import DataCentreState
from apricotpost.model.configuration import Delta
from apricotpost.model.configuration import EMPTY_SNAPSHOT
from apricotpost.model.configuration import Rollout
from apricotpost.model.configuration import RolloutState
from apricotpost.model.configuration import Route
from apricotpost.model.configuration import Service
from apricotpost.model.configuration import Snapshot
from apricotpost.model.configuration import TOTAL_SHARE
from apricotpost.model.configuration import VersionShare
from apricotpost.model.instances import Evidence
from apricotpost.model.instances import InstanceRecord
from apricotpost.model.instances import InstanceState
from apricotpost.model.instances import Load
from apricotpost.model.instances import View
from apricotpost.model.instances import Withdrawal
from apricotpost.model.levels import LevelBucket
from apricotpost.model.levels import LevelCounts
from apricotpost.model.levels import Objective
from apricotpost.model.levels import RouteLevel
from apricotpost.model.traffic import BackendState
from apricotpost.model.traffic import ClientLimits
from apricotpost.model.traffic import Heartbeat
from apricotpost.model.traffic import RolloutOrder
from apricotpost.model.traffic import ServiceRule
from apricotpost.model.traffic import Target
from apricotpost.model.traffic import TrafficConfig
from apricotpost.model.traffic import TrafficRoute

__all__ = [
    "EMPTY_SNAPSHOT",
    "TOTAL_SHARE",
    "Heartbeat",
    "BackendState",
    "ClientLimits",
    "DataCentre",
    "DataCentreState",
    "Delta",
    "Evidence",
    "InstanceRecord",
    "InstanceState",
    "LevelBucket",
    "LevelCounts",
    "Load",
    "Objective",
    "Rollout",
    "RolloutOrder",
    "RolloutState",
    "Route",
    "RouteLevel",
    "Service",
    "ServiceRule",
    "Snapshot",
    "Target",
    "TrafficConfig",
    "TrafficRoute",
    "VersionShare",
    "View",
    "Withdrawal",
]
