"""Log lines about one request, joined from the logs of several nodes."""

from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses
import pathlib
import typing

import msgspec

from apricotpost import decoding
from apricotpost import errors
from apricotpost import events

__all__ = ["LogLine", "read_logs", "summarize_request"]

# Events that change the state on which a node bases its decisions; they
# explain decisions of the following seconds.
CONTEXT_EVENTS = frozenset(
    event.number
    for event in (
        events.SIDECAR_STARTED,
        events.SIDECAR_STOPPING,
        events.BACKEND_STATE,
        events.BACKEND_LEFT,
        events.BACKEND_UNREACHABLE,
        events.BACKEND_HEALTH,
        events.LINK_CHANGED,
        events.STORE_UNREACHABLE,
        events.STORE_REACHABLE,
        events.ORDERS_APPLIED,
        events.ORDERS_REFUSED,
        events.TRIAL_CHANGED,
    )
)
# Fields that are shown after a line's message, in this order.
SHOWN_FIELDS = (
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


_decode_record = decoding.json_decoder("log line", _Record)
_decode_fields = decoding.json_decoder(
    "fields of a log line", dict[str, typing.Any]
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LogLine:
    """One line of a node's log.

    Parameters
    ----------
    node : str
        Node that wrote the line: the file's name without its suffix.
    time : float
        Unix time in seconds.
    event : int
        Number of the event.
    message, request : str
        Text of the line, and identifier of its request or an empty string.
    fields : mapping
        All members of the line's JSON object.
    """

    node: str
    time: float
    event: int
    message: str
    request: str
    fields: dict[str, typing.Any]


def read_logs(paths: Iterable[pathlib.Path]) -> list[LogLine]:
    """Read the logs of nodes, sorted by time.

    Lines in another format, such as those of a traceback, are skipped.

    Raises
    ------
    apricotpost.errors.RequestInvalid
        A file cannot be read.
    """
    lines = []
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
                lines.append(parsed)
    return sorted(lines, key=lambda line: line.time)


def summarize_request(
    lines: Sequence[LogLine], request: str, *, seconds: float
) -> list[str]:
    """Return the lines about a request and the state changes before them.

    Parameters
    ----------
    lines : sequence of LogLine
        Of all nodes, sorted by time.
    request : str
        Identifier of the request.
    seconds : float
        Length of time before the request's first line, in seconds. State
        changes since then on the nodes that took part are shown, too.
    """
    request_lines = [line for line in lines if line.request == request]
    if not request_lines:
        return []
    involved_nodes = {line.node for line in request_lines}
    involved_nodes.update(
        line.fields.get("node", "") for line in request_lines
    )
    first_at = request_lines[0].time
    last_at = request_lines[-1].time
    shown = [
        line
        for line in lines
        if line.request == request
        or (
            line.event in CONTEXT_EVENTS
            and line.node in involved_nodes
            and first_at - seconds <= line.time <= last_at
        )
    ]
    return [_format(line, last_at) for line in shown]


def _parse(node: str, line: bytes) -> LogLine | None:
    try:
        record = _decode_record(line)
        fields = _decode_fields(line)
    except errors.MalformedMessage:
        # Logs hold lines of other programs, too.
        return None
    return LogLine(
        node=node,
        time=record.time,
        event=record.event,
        message=record.message,
        request=record.request,
        fields=fields,
    )


def _format(line: LogLine, last_at: float) -> str:
    fields = " ".join(
        f"{name}={line.fields[name]}"
        for name in SHOWN_FIELDS
        if line.request and line.fields.get(name) not in (None, "")
    )
    text = f"{line.time - last_at:+9.3f} s  {line.node}  {line.message}"
    return f"{text}  [{fields}]" if fields else text
