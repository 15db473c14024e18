"""Frozen values shared by all packages."""

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

__all__ = [
    "DataCentre",
    "DataCentreState",
    "Delta",
    "EMPTY_SNAPSHOT",
    "Evidence",
    "InstanceRecord",
    "InstanceState",
    "LevelBucket",
    "LevelCounts",
    "Load",
    "Objective",
    "Rollout",
    "RolloutState",
    "Route",
    "RouteLevel",
    "Service",
    "Snapshot",
    "TOTAL_SHARE",
    "VersionShare",
    "View",
    "Withdrawal",
]
