from apricotpost.settings.loader import find_faults as find_faults
from apricotpost.settings.loader import load_as as load_as
from apricotpost.settings.loader import parse_as as parse_as
from apricotpost.settings.nodes import load as load
from apricotpost.settings.nodes import parse as parse
from apricotpost.settings.schema import AddressSettings as AddressSettings
from apricotpost.settings.schema import (
    CredentialSettings as CredentialSettings,
)
from apricotpost.settings.schema import LevelSettings as LevelSettings
from apricotpost.settings.schema import LogSettings as LogSettings
from apricotpost.settings.schema import MetricSettings as MetricSettings
from apricotpost.settings.schema import NodeSettings as NodeSettings
from apricotpost.settings.schema import PlatformSettings as PlatformSettings
from apricotpost.settings.schema import (
    RouteLevelSettings as RouteLevelSettings,
)
from apricotpost.settings.schema import TimeSettings as TimeSettings
from apricotpost.settings.schema import TokenSettings as TokenSettings
