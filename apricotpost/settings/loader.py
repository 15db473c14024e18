"""Load settings from JSON with comments and list every fault."""

from collections.abc import Iterator
import dataclasses
import json
import pathlib
import typing

import jsonc
import msgspec

from apricotpost import errors
from apricotpost.settings import schema

__all__ = ["find_faults", "load", "load_as", "parse", "parse_as"]

Kind = typing.TypeVar("Kind")

_UNITS = {"_seconds": "seconds", "_ms": "milliseconds", "_bytes": "bytes"}


def load(path: pathlib.Path) -> schema.NodeSettings:
    """Read and check a settings file.

    Raises
    ------
    apricotpost.errors.SettingsInvalid
        The file cannot be read or has faults; all are listed.
    """
    return load_as(path, schema.NodeSettings)


def load_as(path: pathlib.Path, kind: type[Kind]) -> Kind:
    """Read and check a settings file of some program.

    Raises
    ------
    apricotpost.errors.SettingsInvalid
        The file cannot be read or has faults; all are listed.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise errors.SettingsInvalid(
            f"cannot read settings {path}: {error}"
        ) from error
    return parse_as(text, kind)


def parse(text: str) -> schema.NodeSettings:
    """Check the text of a settings file.

    Raises
    ------
    apricotpost.errors.SettingsInvalid
        The text has faults; all are listed.
    """
    return parse_as(text, schema.NodeSettings)


def parse_as(text: str, kind: type[Kind]) -> Kind:
    """Check the text of a settings file of some program.

    Raises
    ------
    apricotpost.errors.SettingsInvalid
        The text has faults; all are listed.
    """
    try:
        raw = jsonc.loads(text)
    except (json.JSONDecodeError, ValueError) as error:
        raise errors.SettingsInvalid(
            f"settings are not JSON with comments: {error}"
        ) from error
    faults = tuple(find_faults(raw, kind, "$"))
    if faults:
        raise errors.SettingsInvalid(
            f"settings have {len(faults)} faults", faults=faults
        )
    return msgspec.convert(raw, kind)


def find_faults(
    value: typing.Any, kind: typing.Any, path: str
) -> Iterator[str]:
    """Yield each difference between a decoded value and a type.

    Parameters
    ----------
    value : object
        Decoded JSON.
    kind : type
        A data class, a tuple of one type or a type of `msgspec`.
    path : str
        Where the value stands, put before each fault.
    """
    if dataclasses.is_dataclass(kind):
        yield from _find_object_faults(value, kind, path)
        return
    item = _list_item(kind)
    if item is not None and isinstance(value, list):
        for index, entry in enumerate(value):
            yield from find_faults(entry, item, f"{path}[{index}]")
        return
    try:
        msgspec.convert(value, kind)
    except msgspec.ValidationError as error:
        yield f"{path}: {error}{_unit(path)}"


def _find_object_faults(
    value: typing.Any, kind: typing.Any, path: str
) -> Iterator[str]:
    if not isinstance(value, dict):
        yield f"{path}: expected an object"
        return
    hints = typing.get_type_hints(kind, include_extras=True)
    for key in value:
        if key not in hints:
            yield f"{path}.{key}: unknown setting"
    for field in dataclasses.fields(kind):
        child = f"{path}.{field.name}"
        if field.name in value:
            yield from find_faults(value[field.name], hints[field.name], child)
        elif field.default is dataclasses.MISSING:
            yield f"{child}: missing"


def _list_item(kind: typing.Any) -> typing.Any:
    if typing.get_origin(kind) is tuple:
        return typing.get_args(kind)[0]
    return None


def _unit(path: str) -> str:
    for suffix, unit in _UNITS.items():
        if path.endswith(suffix):
            return f" (in {unit})"
    return ""
