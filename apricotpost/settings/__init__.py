"""Settings files in JSON with comments: schema, loader and manual page."""

from apricotpost.settings.loader import find_faults
from apricotpost.settings.loader import load
from apricotpost.settings.loader import load_as
from apricotpost.settings.loader import parse
from apricotpost.settings.loader import parse_as
from apricotpost.settings.schema import AddressSettings
from apricotpost.settings.schema import CredentialSettings
from apricotpost.settings.schema import LevelSettings
from apricotpost.settings.schema import LogSettings
from apricotpost.settings.schema import MetricSettings
from apricotpost.settings.schema import NodeSettings
from apricotpost.settings.schema import PlatformSettings
from apricotpost.settings.schema import RouteLevelSettings
from apricotpost.settings.schema import TimeSettings
from apricotpost.settings.schema import TokenSettings

__all__ = [
    "AddressSettings",
    "CredentialSettings",
    "LevelSettings",
    "LogSettings",
    "MetricSettings",
    "NodeSettings",
    "PlatformSettings",
    "RouteLevelSettings",
    "TimeSettings",
    "TokenSettings",
    "find_faults",
    "load",
    "load_as",
    "parse",
    "parse_as",
]
