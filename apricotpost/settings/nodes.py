"""Load the settings of the thread-based node."""

import pathlib

from apricotpost.settings import loader
from apricotpost.settings import schema

__all__ = ["load", "parse"]


def load(path: pathlib.Path) -> schema.NodeSettings:
    """Read and validate the settings file of a node.

    Raises
    ------
    apricotpost.errors.SettingsInvalid
        The file cannot be read or has faults; all are listed.
    """
    return loader.load_as(path, schema.NodeSettings)


def parse(text: str) -> schema.NodeSettings:
    """Validate the text of a node's settings file and decode it.

    Raises
    ------
    apricotpost.errors.SettingsInvalid
        The text has faults; all are listed.
    """
    return loader.parse_as(text, schema.NodeSettings)
