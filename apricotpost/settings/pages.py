"""Text of ``docs/settings.md``, made from the schema."""

from collections.abc import Iterator
import dataclasses
import re
import typing

import msgspec

from apricotpost.settings import schema

__all__ = ["format_page"]

_HEAD = """# Settings

A node reads one file in JSON with comments:

    apricotpost-node /etc/apricotpost/node.jsonc
    apricotpost-node --check /etc/apricotpost/node.jsonc

All faults of a file are listed with their path and unit, and the node ends
with exit code 2. An unknown setting is a fault. A setting without a default
is required. Settings are read at the start only.

This page is made from the schema: `python -m apricotpost.settings.pages`
prints it, and a test compares them.
"""
_FIELD = re.compile(r"^    (\w+(?:, \w+)*) : .*$")
_TYPES = {str: "text", int: "whole number", float: "number", bool: "boolean"}
_FORMS = {
    schema.HostPort: "IP:PORT",
    schema.Hash: "64 hexadecimal digits",
    schema.Variable: "name of an environment variable",
    schema.Name: "name of lower case letters, digits, `.` and `-`",
}


def format_page() -> str:
    """Return the page as Markdown."""
    lines = [_HEAD]
    for path, kind in _walk(schema.NodeSettings, ""):
        lines.append(f"## `{path}`\n" if path else "## Top level\n")
        lines.append("| Setting | Type | Default | Meaning |")
        lines.append("|---|---|---|---|")
        lines.extend(_rows(kind, path))
        lines.append("")
    return "\n".join(lines).rstrip() + "\n"


def _walk(kind: typing.Any, path: str) -> Iterator[tuple[str, typing.Any]]:
    yield path, kind
    hints = typing.get_type_hints(kind)
    for field in dataclasses.fields(kind):
        child, suffix = _object_type(hints[field.name])
        if child is not None:
            prefix = f"{path}." if path else ""
            yield from _walk(child, f"{prefix}{field.name}{suffix}")


def _object_type(hint: typing.Any) -> tuple[typing.Any, str]:
    if dataclasses.is_dataclass(hint):
        return hint, ""
    arguments = typing.get_args(hint)
    if not arguments or not dataclasses.is_dataclass(arguments[0]):
        return None, ""
    return arguments[0], "[]" if typing.get_origin(hint) is tuple else ""


def _rows(kind: typing.Any, path: str) -> Iterator[str]:
    hints = typing.get_type_hints(kind, include_extras=True)
    meanings = _read_meanings(kind.__doc__ or "")
    for field in dataclasses.fields(kind):
        meaning = meanings.get(field.name, "").replace("|", "\\|")
        yield (
            f"| `{field.name}` | {_describe_type(hints[field.name])} "
            f"| {_describe_default(field)} | {meaning} |"
        )


def _read_meanings(text: str) -> dict[str, str]:
    """Read the parameters of a numpydoc docstring."""
    found: dict[str, str] = {}
    names: list[str] = []
    for line in text.splitlines():
        match = _FIELD.match(line)
        if match:
            names = match[1].split(", ")
        elif names and line.startswith(" " * 8):
            for name in names:
                found[name] = f"{found.get(name, '')} {line.strip()}".strip()
        else:
            names = []
    return found


def _describe_type(hint: typing.Any) -> str:
    origin, arguments = typing.get_origin(hint), typing.get_args(hint)
    if dataclasses.is_dataclass(hint):
        return "object"
    if origin is tuple:
        return f"list of {_describe_type(arguments[0])}"
    if origin is typing.Literal:
        return " or ".join(f"`{value}`" for value in arguments)
    if hint in _FORMS:
        return _FORMS[hint]
    if origin is typing.Annotated:
        return _describe_range(arguments[0], arguments[1])
    if type(None) in arguments:
        return _describe_type(arguments[0]) + ", or `null`"
    return _TYPES[hint]


def _describe_range(kind: typing.Any, meta: msgspec.Meta) -> str:
    bounds: list[str] = []
    for word, bound in (
        ("from", meta.ge),
        ("above", meta.gt),
        ("to", meta.le),
        ("below", meta.lt),
    ):
        if bound is not None:
            bounds.append(f"{word} {bound:g}")
    return ", ".join([_TYPES[kind], *bounds])


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
