"""Catalogue of the numbered log events."""

import dataclasses
import logging
import sys
import typing

__all__ = ["CATALOGUE", "Event", "configure", "emit"]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Event:
    """One kind of log event.

    Parameters
    ----------
    number : int
        Stable number.
    level : int
        Level of `logging`.
    text : str
        Message with named fields in ``%(name)s`` form.
    """

    number: int
    level: int
    text: str


CATALOGUE: dict[int, Event] = {}


def _event(number: int, level: int, text: str) -> Event:
    entry = Event(number=number, level=level, text=text)
    assert number not in CATALOGUE
    CATALOGUE[number] = entry
    return entry


# Node life cycle: 100 to 199.
NODE_STARTED = _event(
    100, logging.INFO, "node %(instance)s started in %(data_centre)s"
)
NODE_READY = _event(101, logging.INFO, "ready with version %(version)s")
DRAIN_STARTED = _event(102, logging.INFO, "drain started")
NODE_STOPPED = _event(103, logging.INFO, "node stopped")
TASK_FAILED = _event(104, logging.ERROR, "task %(task)s failed: %(error)s")
BACKEND_ANNOUNCED = _event(
    105,
    logging.INFO,
    "backend server of %(service)s %(version)s announced at %(address)s",
)
DRAIN_CUT = _event(
    106,
    logging.WARNING,
    "drain ended after %(seconds)s s with calls in flight",
)
NOTICE_ENDED = _event(107, logging.INFO, "notice period ended by a signal")
# Configuration: 200 to 299.
CONFIG_APPLIED = _event(
    200, logging.INFO, "configuration %(version)s in force"
)
CONFIG_REFUSED = _event(
    201, logging.ERROR, "configuration %(version)s refused: %(reason)s"
)
CONFIG_COMMITTED = _event(
    202, logging.INFO, "configuration %(version)s committed by %(author)s"
)
PLATFORM_LOST = _event(210, logging.WARNING, "table not reachable: %(error)s")
PLATFORM_BACK = _event(211, logging.INFO, "table reachable again")
# Messages between nodes: 300 to 399.
MESSAGE_MALFORMED = _event(
    300, logging.WARNING, "malformed message dropped: %(error)s"
)
INSTANCE_STATE = _event(
    310, logging.INFO, "instance %(instance)s is %(state)s"
)


def emit(logger: logging.Logger, event: Event, **fields: typing.Any) -> None:
    """Log one event.

    Parameters
    ----------
    logger : logging.Logger
        Logger of the calling module.
    event : Event
        Entry of the catalogue.
    **fields
        Values of the event's named fields.
    """
    if not logger.isEnabledFor(event.level):
        return
    # logging takes a single mapping as the values of named fields.
    arguments = (fields,) if fields else ()
    logger.log(
        event.level,
        f"AP-{event.number} {event.text}",
        *arguments,
        extra={"event": event.number, "fields": fields},
    )


def configure(*, style: str, level: str = "INFO") -> None:
    """Send log records to standard error.

    Parameters
    ----------
    style : {'text', 'json'}
        Format of the records.
    level : str
        Lowest level that is written.
    """
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(_formatter(style))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)


def _formatter(style: str) -> logging.Formatter:
    if style != "json":
        return logging.Formatter(
            "%(asctime)s %(levelname)s %(name)s %(message)s"
        )
    from pythonjsonlogger import json

    return json.JsonFormatter("%(asctime)s %(levelname)s %(name)s %(message)s")
