"""Log lines about one request from the logs of several nodes."""

from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses
import pathlib
import typing

import msgspec

from apricotpost import errors
from apricotpost import events

__all__ = ["LogLine", "read_logs", "summarize_request"]

# Events that change what a node believes: they explain a decision that was
# made a few seconds later.
CONTEXT = frozenset(
    event.number
    for event in (
        events.SIDECAR_STARTED,
        events.SIDECAR_STOPPING,
        events.BACKEND_STATE,
        events.BACKEND_LEFT,
        events.BACKEND_UNREACHABLE,
        events.BACKEND_HEALTH,
        events.LINK_CHANGED,
        events.STORE_LOST,
        events.STORE_REGAINED,
        events.ORDERS_APPLIED,
        events.ORDERS_REFUSED,
        events.TRIAL_CHANGED,
    )
)
# Fields that a line shows behind its message, in this order.
SHOWN = (
    "route",
    "service",
    "outcome",
    "reason",
    "fault",
    "status",
    "node",
    "backend",
    "offers",
    "runs",
    "hedged",
    "ms",
    "ran_ms",
    "version",
)


class _Record(msgspec.Struct, frozen=True):
    time: float
    event: int = 0
    message: str = ""
    request: str = ""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LogLine:
    """One line of a node's log.

    Parameters
    ----------
    log : str
        Name of the file without its suffix: the node.
    time : float
        Unix time in seconds.
    event : int
        Number of the event.
    message, request : str
        Text, and the request that it is about, if any.
    fields : mapping
        All members of the line.
    """

    log: str
    time: float
    event: int
    message: str
    request: str
    fields: dict[str, typing.Any]


def read_logs(paths: Iterable[pathlib.Path]) -> list[LogLine]:
    """Read the logs of nodes, sorted by time.

    Lines that are not of a node, such as a traceback, are left out.

    Raises
    ------
    apricotpost.errors.RequestInvalid
        A file cannot be read.
    """
    found = []
    for path in paths:
        try:
            content = path.read_bytes()
        except OSError as error:
            raise errors.RequestInvalid(
                f"log {path} cannot be read: {error.strerror}"
            ) from error
        for line in content.splitlines():
            parsed = _parse(path.stem, line)
            if parsed is not None:
                found.append(parsed)
    return sorted(found, key=lambda line: line.time)


def summarize_request(
    lines: Sequence[LogLine], request: str, *, seconds: float
) -> list[str]:
    """Return the lines about a request and what went before them.

    Parameters
    ----------
    lines : sequence of LogLine
        Of all nodes, sorted by time.
    request : str
        Identifier.
    seconds : float
        How far back changes are shown, on the nodes that took part.
    """
    own = [line for line in lines if line.request == request]
    if not own:
        return []
    involved = {line.log for line in own}
    involved.update(line.fields.get("node", "") for line in own)
    first = own[0].time
    last = own[-1].time
    shown = [
        line
        for line in lines
        if line.request == request
        or (
            line.event in CONTEXT
            and line.log in involved
            and first - seconds <= line.time <= last
        )
    ]
    return [_format(line, last) for line in shown]


def _parse(log: str, line: bytes) -> LogLine | None:
    try:
        record = msgspec.json.decode(line, type=_Record)
        fields = msgspec.json.decode(line, type=dict[str, typing.Any])
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None
    return LogLine(
        log=log,
        time=record.time,
        event=record.event,
        message=record.message,
        request=record.request,
        fields=fields,
    )


def _format(line: LogLine, end: float) -> str:
    shown = " ".join(
        f"{name}={line.fields[name]}"
        for name in SHOWN
        if line.request and line.fields.get(name) not in (None, "")
    )
    text = f"{line.time - end:+9.3f} s  {line.log}  {line.message}"
    return f"{text}  [{shown}]" if shown else text
