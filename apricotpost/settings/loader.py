"""Load settings from JSON with comments and report all faults at once."""

from collections.abc import Iterator
import dataclasses
import pathlib
import typing

import jsonc
import msgspec

from apricotpost import errors

__all__ = ["find_faults", "load_as", "parse_as"]

Settings = typing.TypeVar("Settings")

_UNITS = {"_seconds": "seconds", "_ms": "milliseconds", "_bytes": "bytes"}


def load_as(
    path: pathlib.Path,
    settings_type: type[Settings],
    *,
    blanks_are_defaults: bool = False,
    additions: str = "",
) -> Settings:
    """Read a settings file and validate it against a data class.

    Parameters
    ----------
    path : pathlib.Path
        Settings file.
    settings_type : type
        Data class of the settings.
    blanks_are_defaults : bool
        As in `parse_as`.
    additions : str
        As in `parse_as`.

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
    return parse_as(
        text,
        settings_type,
        blanks_are_defaults=blanks_are_defaults,
        additions=additions,
    )


def parse_as(
    text: str,
    settings_type: type[Settings],
    *,
    blanks_are_defaults: bool = False,
    additions: str = "",
) -> Settings:
    """Validate the text of a settings file and decode it into a data class.

    Parameters
    ----------
    text : str
        JSON with comments.
    settings_type : type
        Data class of the settings.
    blanks_are_defaults : bool
        Whether a setting that has a default takes it if its value is null or
        empty, and whether a number above its range counts as the upper limit.
        A platform that fills in a template leaves out what does not apply.
    additions : str
        JSON with comments with settings that hold where `text` has none;
        empty if there are none.

    Raises
    ------
    apricotpost.errors.SettingsInvalid
        The text has faults; all are listed.
    """
    raw = _decode(text)
    if additions:
        raw = _merge(raw, _decode(additions))
    if blanks_are_defaults:
        raw = _fill_blanks(raw, settings_type)
    faults = tuple(find_faults(raw, settings_type, "$"))
    if faults:
        raise errors.SettingsInvalid(
            f"settings have {len(faults)} faults", faults=faults
        )
    return msgspec.convert(raw, settings_type)


def find_faults(
    value: typing.Any, expected_type: typing.Any, path: str
) -> Iterator[str]:
    """Yield a description of each way in which a value violates a type.

    Parameters
    ----------
    value : object
        Decoded JSON value.
    expected_type : type
        A data class, a tuple type of one element type, or another type that
        `msgspec` can validate.
    path : str
        Path of the value, with which each description begins.
    """
    if dataclasses.is_dataclass(expected_type):
        yield from _find_object_faults(value, expected_type, path)
        return
    item_type = _find_item_type(expected_type)
    if item_type is not None and isinstance(value, list):
        for index, entry in enumerate(value):
            yield from find_faults(entry, item_type, f"{path}[{index}]")
        return
    try:
        msgspec.convert(value, expected_type)
    except msgspec.ValidationError as error:
        yield f"{path}: {error}{_describe_unit(path)}"


def _find_object_faults(
    value: typing.Any, expected_type: typing.Any, path: str
) -> Iterator[str]:
    if not isinstance(value, dict):
        yield f"{path}: expected an object"
        return
    field_types = typing.get_type_hints(expected_type, include_extras=True)
    for key in value:
        if key not in field_types:
            yield f"{path}.{key}: unknown setting"
    for field in dataclasses.fields(expected_type):
        field_path = f"{path}.{field.name}"
        if field.name in value:
            yield from find_faults(
                value[field.name], field_types[field.name], field_path
            )
        elif (
            field.default is dataclasses.MISSING
            and field.default_factory is dataclasses.MISSING
        ):
            yield f"{field_path}: missing"


def _decode(text: str) -> typing.Any:
    try:
        return jsonc.loads(text)
    except (ValueError, RecursionError) as error:
        raise errors.SettingsInvalid(
            f"settings are not JSON with comments: {error}"
        ) from error


def _merge(value: typing.Any, additions: typing.Any) -> typing.Any:
    """Return an object with the members that only the additions have."""
    if not isinstance(value, dict) or not isinstance(additions, dict):
        return value
    merged = {**additions, **value}
    for key in value.keys() & additions.keys():
        merged[key] = _merge(value[key], additions[key])
    return merged


def _fill_blanks(value: typing.Any, expected_type: typing.Any) -> typing.Any:
    """Return the value without blank settings that have a default."""
    if not dataclasses.is_dataclass(expected_type):
        return _limit_number(value, expected_type)
    if not isinstance(value, dict):
        return value
    field_types = typing.get_type_hints(expected_type, include_extras=True)
    filled = dict(value)
    for field in dataclasses.fields(expected_type):
        if field.name not in filled:
            continue
        has_default = (
            field.default is not dataclasses.MISSING
            or field.default_factory is not dataclasses.MISSING
        )
        if has_default and _is_blank(
            filled[field.name], field_types[field.name]
        ):
            del filled[field.name]
        else:
            filled[field.name] = _fill_blanks(
                filled[field.name], field_types[field.name]
            )
    return filled


def _is_blank(value: typing.Any, expected_type: typing.Any) -> bool:
    if value is False:
        # A platform also writes false for a quantity that does not apply.
        return expected_type is not bool
    return value in (None, "", {}, [])


def _limit_number(value: typing.Any, expected_type: typing.Any) -> typing.Any:
    if isinstance(value, bool) or not isinstance(value, int | float):
        return value
    for item in getattr(expected_type, "__metadata__", ()):
        upper_limit = getattr(item, "le", None)
        if upper_limit is not None and value > upper_limit:
            return upper_limit
    return value


def _find_item_type(expected_type: typing.Any) -> typing.Any:
    if typing.get_origin(expected_type) is tuple:
        return typing.get_args(expected_type)[0]
    return None


def _describe_unit(path: str) -> str:
    for suffix, unit in _UNITS.items():
        if path.endswith(suffix):
            return f" (in {unit})"
    return ""
