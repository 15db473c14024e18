"""Settings files in JSON with comments: schema, loader and manual page.

The schema of the thread-based node is imported on first use; the stub beside
this file lists all names.
"""

import lazy_loader

from apricotpost.settings.loader import find_faults
from apricotpost.settings.loader import load_as
from apricotpost.settings.loader import parse_as

__all__ = [
    "find_faults",
    "load_as",
    "parse_as",
]

__getattr__, __dir__, _ = lazy_loader.attach(
    __name__,
    submod_attrs={
        "nodes": ["load", "parse"],
        "schema": [
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
        ],
    },
)
