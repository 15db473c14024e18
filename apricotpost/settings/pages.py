"""Generator of ``docs/settings.md`` from the schema."""

from collections.abc import Iterator
import dataclasses
import re
import typing

import msgspec

from apricotpost.settings import schema

__all__ = ["format_page"]

_INTRODUCTION = """# Settings

A node reads one file in JSON with comments:

    apricotpost-node /etc/apricotpost/node.jsonc
    apricotpost-node --check /etc/apricotpost/node.jsonc

All faults of a file are listed with their path and unit, and the node ends
with exit code 2. An unknown setting is a fault. A setting without a default
is required. Settings are read at the start only.

This page is made from the schema: `python -m apricotpost.settings.pages`
prints it, and a test compares them.
"""
_PARAMETER = re.compile(r"^    (\w+(?:, \w+)*) : .*$")
_TYPE_NAMES = {
    str: "text",
    int: "whole number",
    float: "number",
    bool: "boolean",
}
_FORMATS = {
    schema.HostPort: "IP:PORT",
    schema.Sha256Digest: "64 hexadecimal digits",
    schema.VariableName: "name of an environment variable",
    schema.Name: "name of lower case letters, digits, `.` and `-`",
}


def format_page() -> str:
    """Return the settings page in Markdown."""
    lines = [_INTRODUCTION]
    for path, settings_type in _walk_objects(schema.NodeSettings, ""):
        lines.append(f"## `{path}`\n" if path else "## Top level\n")
        lines.append("| Setting | Type | Default | Meaning |")
        lines.append("|---|---|---|---|")
        lines.extend(_format_rows(settings_type, path))
        lines.append("")
    return "\n".join(lines).rstrip() + "\n"


def _walk_objects(
    settings_type: typing.Any, path: str
) -> Iterator[tuple[str, typing.Any]]:
    yield path, settings_type
    field_types = typing.get_type_hints(settings_type)
    for field in dataclasses.fields(settings_type):
        child_type, suffix = _find_object_type(field_types[field.name])
        if child_type is not None:
            prefix = f"{path}." if path else ""
            yield from _walk_objects(
                child_type, f"{prefix}{field.name}{suffix}"
            )


def _find_object_type(hint: typing.Any) -> tuple[typing.Any, str]:
    if dataclasses.is_dataclass(hint):
        return hint, ""
    arguments = typing.get_args(hint)
    if not arguments or not dataclasses.is_dataclass(arguments[0]):
        return None, ""
    return arguments[0], "[]" if typing.get_origin(hint) is tuple else ""


def _format_rows(settings_type: typing.Any, path: str) -> Iterator[str]:
    field_types = typing.get_type_hints(settings_type, include_extras=True)
    descriptions = _parse_parameters(settings_type.__doc__ or "")
    for field in dataclasses.fields(settings_type):
        description = descriptions.get(field.name, "").replace("|", "\\|")
        yield (
            f"| `{field.name}` | {_describe_type(field_types[field.name])} "
            f"| {_describe_default(field)} | {description} |"
        )


def _parse_parameters(text: str) -> dict[str, str]:
    """Return the descriptions of the parameters in a numpydoc docstring."""
    descriptions: dict[str, str] = {}
    names: list[str] = []
    for line in text.splitlines():
        match = _PARAMETER.match(line)
        if match:
            names = match[1].split(", ")
        elif names and line.startswith(" " * 8):
            for name in names:
                descriptions[name] = (
                    f"{descriptions.get(name, '')} {line.strip()}".strip()
                )
        else:
            names = []
    return descriptions


def _describe_type(hint: typing.Any) -> str:
    origin, arguments = typing.get_origin(hint), typing.get_args(hint)
    if dataclasses.is_dataclass(hint):
        return "object"
    if origin is tuple:
        return f"list of {_describe_type(arguments[0])}"
    if origin is typing.Literal:
        return " or ".join(f"`{value}`" for value in arguments)
    if hint in _FORMATS:
        return _FORMATS[hint]
    if origin is typing.Annotated:
        return _describe_range(arguments[0], arguments[1])
    if type(None) in arguments:
        return _describe_type(arguments[0]) + ", or `null`"
    return _TYPE_NAMES[hint]


def _describe_range(number_type: typing.Any, constraint: msgspec.Meta) -> str:
    bounds: list[str] = []
    for word, bound in (
        ("from", constraint.ge),
        ("above", constraint.gt),
        ("to", constraint.le),
        ("below", constraint.lt),
    ):
        if bound is not None:
            bounds.append(f"{word} {bound:g}")
    return ", ".join([_TYPE_NAMES[number_type], *bounds])


def _describe_default(field: "dataclasses.Field[typing.Any]") -> str:
    default = field.default
    if default is dataclasses.MISSING:
        return "required"
    if dataclasses.is_dataclass(default):
        return "see below"
    if default is None:
        return "`null`"
    if isinstance(default, tuple):
        return f"`{msgspec.json.encode(default).decode()}`"
    return f"`{default}`"


if __name__ == "__main__":
    print(format_page(), end="")
