"""Catalogue of log events, each with a stable number."""

import dataclasses
import logging
import sys
import typing

__all__ = ["CATALOGUE", "Event", "configure", "emit"]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Event:
    """A type of log event.

    Parameters
    ----------
    number : int
        Stable number, written as ``AP-<number>``.
    level : int
        Log level of the `logging` module.
    text : str
        Message with named fields in ``%(name)s`` form.
    """

    number: int
    level: int
    text: str


CATALOGUE: dict[int, Event] = {}


def _define(number: int, level: int, text: str) -> Event:
    event = Event(number=number, level=level, text=text)
    assert number not in CATALOGUE
    CATALOGUE[number] = event
    return event


# Node life cycle: 100 to 199.
NODE_STARTED = _define(
    100, logging.INFO, "node %(instance)s started in %(data_centre)s"
)
NODE_READY = _define(101, logging.INFO, "ready with version %(version)s")
DRAIN_STARTED = _define(102, logging.INFO, "drain started")
NODE_STOPPED = _define(103, logging.INFO, "node stopped")
TASK_FAILED = _define(104, logging.ERROR, "task %(task)s failed: %(error)s")
BACKEND_ANNOUNCED = _define(
    105,
    logging.INFO,
    "backend server of %(service)s %(version)s announced at %(address)s",
)
DRAIN_TIMED_OUT = _define(
    106,
    logging.WARNING,
    "drain stopped at its limit of %(seconds)s s with calls in flight",
)
NOTICE_PERIOD_SHORTENED = _define(
    107,
    logging.INFO,
    "another signal received, notice period ended early",
)
# Configuration: 200 to 299.
CONFIG_APPLIED = _define(
    200, logging.INFO, "configuration %(version)s in force"
)
CONFIG_REFUSED = _define(
    201, logging.ERROR, "configuration %(version)s refused: %(reason)s"
)
CONFIG_COMMITTED = _define(
    202, logging.INFO, "configuration %(version)s committed by %(author)s"
)
CONFIG_READ_FAILED = _define(
    210,
    logging.WARNING,
    "configuration not read from the platform, the one in force stays: "
    "%(error)s",
)
CONFIG_READ_RECOVERED = _define(
    211,
    logging.INFO,
    "configuration can be read from the platform again",
)
CONFIG_DISTRIBUTION_STOPPED = _define(
    203,
    logging.ERROR,
    "configuration %(version)s is not distributed further, refused by "
    "%(refusers)s",
)
VERSION_WITHDRAWN = _define(
    204,
    logging.WARNING,
    "version %(version)s of %(service)s is withdrawn: %(reason)s",
)
SNAPSHOT_DAMAGED = _define(
    212,
    logging.ERROR,
    "stored snapshot damaged or missing, reading all deltas instead: "
    "%(error)s",
)
# Keyed calls: 220 to 229.
OUTCOME_NOT_STORED = _define(
    220,
    logging.ERROR,
    "outcome of key %(key)s on route %(route)s not stored, its record "
    "stays unchanged until it expires: %(error)s",
)
OUTCOME_UNREADABLE = _define(
    221,
    logging.ERROR,
    "outcome of key %(key)s on route %(route)s cannot be read: %(error)s",
)
# Messages between nodes: 300 to 399.
MESSAGE_MALFORMED = _define(
    300, logging.WARNING, "malformed message dropped: %(error)s"
)
INSTANCE_STATE = _define(
    310, logging.INFO, "instance %(instance)s is %(state)s"
)
CONTROL_COUNTERS = _define(320, logging.DEBUG, "control counters %(counters)s")
# Administration: 500 to 599.
ADMIN_REFUSED = _define(
    500,
    logging.WARNING,
    "administration request %(method)s %(path)s refused: "
    "%(code)s %(message)s",
)
ADMIN_FAILED = _define(
    501,
    logging.ERROR,
    "administration request %(path)s failed: %(error)s",
)
MOVE_DONE = _define(
    510,
    logging.INFO,
    "data centre move %(move)s done after %(seconds).1f s",
)
MOVE_LATE = _define(
    511,
    logging.WARNING,
    "data centre move %(move)s done after %(seconds).1f s, later than its "
    "finish_by",
)
MOVE_OVERDUE = _define(
    512,
    logging.ERROR,
    "data centre move %(move)s is past its finish_by; outstanding: "
    "%(outstanding)s",
)

# Rollouts: 400 to 499.
ROLLOUT_STARTED = _define(
    400,
    logging.INFO,
    "rollout %(rollout)s observed: %(service)s from %(old)s to %(new)s",
)
ROLLOUT_STEP = _define(
    401,
    logging.INFO,
    "rollout %(rollout)s: new version gets %(share)s of 1000 calls",
)
ROLLOUT_HELD = _define(
    402, logging.INFO, "rollout %(rollout)s held: %(reason)s"
)
ROLLOUT_WITHDRAWN = _define(
    403, logging.WARNING, "rollout %(rollout)s withdrawn: %(reason)s"
)
ROLLOUT_DONE = _define(404, logging.INFO, "rollout %(rollout)s done")
VERSION_FAILED_EVALUATION = _define(
    405,
    logging.WARNING,
    "version %(version)s failed its evaluation: %(reason)s",
)
LEASE_ACQUIRED = _define(
    410,
    logging.INFO,
    "lease of %(service)s acquired with fencing number %(fence)s",
)
LEASE_LOST = _define(
    411, logging.WARNING, "lease of %(service)s lost: %(reason)s"
)
ROLLOUT_RETRY = _define(
    412,
    logging.WARNING,
    "rollout %(rollout)s: table request failed, next attempt in "
    "%(seconds).1f s: %(error)s",
)


# Event-loop node, requests: 600 to 699.
REQUEST_SERVED = _define(
    600, logging.INFO, "request %(request)s %(outcome)s with %(status)s"
)
REQUEST_ENDED = _define(
    601,
    logging.WARNING,
    "request %(request)s %(outcome)s with %(status)s: %(reason)s",
)
REQUEST_UNROUTED = _define(
    602,
    logging.WARNING,
    "request %(request)s for %(host)s not routed: %(reason)s",
)
RESPONSE_LATE = _define(
    603,
    logging.INFO,
    "response to call %(call)s arrived after its request had ended",
)
GATE_REJECTED = _define(
    610,
    logging.WARNING,
    "backend server %(backend)s rejected request %(request)s",
)
GATE_FAILED = _define(
    611,
    logging.WARNING,
    "request %(request)s failed at backend server %(backend)s: %(reason)s",
)
DECISIONS_SUPPRESSED = _define(
    620,
    logging.WARNING,
    "%(lines)s log lines on requests suppressed by the rate limit",
)
WARNINGS_SUPPRESSED = _define(
    622,
    logging.WARNING,
    "%(lines)s lines of AP-%(number)s suppressed by the rate limit",
)
LINES_DROPPED = _define(
    621,
    logging.ERROR,
    "%(lines)s log lines dropped because the log output is blocked",
)

# Event-loop node, state: 700 to 799.
SIDECAR_STARTED = _define(
    700, logging.INFO, "node %(instance)s started in %(data_centre)s"
)
SIDECAR_STOPPING = _define(
    701,
    logging.INFO,
    "node %(instance)s received SIGTERM and is draining",
)
SIDECAR_STOPPED = _define(
    702,
    logging.INFO,
    "node %(instance)s stopped with %(open)s requests open and "
    "%(unsent_bytes)s bytes of responses unsent",
)
SETTINGS_RELOADED = _define(
    703, logging.INFO, "settings reloaded after %(cause)s"
)
SETTINGS_REFUSED = _define(
    704, logging.ERROR, "changed settings refused: %(error)s"
)
TASK_ENDED = _define(705, logging.ERROR, "task %(task)s failed: %(error)s")
READINESS_CHANGED = _define(706, logging.INFO, "readiness is now %(ready)s")
BACKEND_STATE = _define(
    710, logging.INFO, "backend server %(backend)s is %(state)s"
)
BACKEND_LEFT = _define(
    711, logging.INFO, "backend server %(backend)s deregistered"
)
BACKEND_UNREACHABLE = _define(
    712, logging.WARNING, "backend server %(backend)s refuses connections"
)
ANNOUNCEMENT_MALFORMED = _define(
    713,
    logging.WARNING,
    "malformed announcement of a backend server refused: %(error)s",
)
BACKEND_HEALTH = _define(
    714,
    logging.INFO,
    "health check of backend server %(backend)s: %(status)s",
)
BACKEND_RESTORED = _define(
    715,
    logging.WARNING,
    "backend server %(backend)s runs; the heartbeat that had replaced it is "
    "another writer's",
)
LINK_CHANGED = _define(
    720, logging.INFO, "connection to node %(node)s is %(state)s"
)
LINK_MALFORMED = _define(
    721,
    logging.WARNING,
    "message from another node refused: %(error)s",
)
NODE_PROCESS_DISCOVERED = _define(
    722,
    logging.INFO,
    "first contact with process %(boot)s of node %(node)s",
)
LINK_TRAFFIC = _define(
    723, logging.INFO, "messages and bytes sent to other nodes: %(sent)s"
)
STORE_UNREACHABLE = _define(
    730,
    logging.WARNING,
    "store unreachable: %(error)s",
)
STORE_REACHABLE = _define(
    731,
    logging.INFO,
    "store reachable again after %(seconds)s s",
)
READER_CHANGED = _define(
    732,
    logging.INFO,
    "this node reads orders from the store: %(reader)s",
)
ORDERS_APPLIED = _define(
    733,
    logging.INFO,
    "orders up to revision %(revision)s in force, configuration %(version)s",
)
ORDERS_REFUSED = _define(
    734,
    logging.ERROR,
    "orders refused, the previous ones stay in force: %(error)s",
)
ORDER_BASE_MISSING = _define(
    735,
    logging.INFO,
    "change of order %(key)s needs base %(base)s, which is missing, "
    "requesting the whole row",
)
ROW_MALFORMED = _define(
    736,
    logging.WARNING,
    "malformed row of the store skipped: %(error)s",
)
REGISTRATIONS_REMOVED = _define(
    737,
    logging.INFO,
    "registrations of nodes that are gone removed: %(nodes)s",
)
REGISTRATION_NOT_REMOVED = _define(
    738,
    logging.INFO,
    "registration of this node not removed at its stop: %(error)s",
)
STORE_ERA_CHANGED = _define(
    739,
    logging.WARNING,
    "store has returned from an older copy: era %(era)s follows %(previous)s",
)
STORE_ERA_INVALID = _define(
    745,
    logging.WARNING,
    "era of an answer of the store ignored: %(error)s",
)
TRIAL_CHANGED = _define(
    740,
    logging.INFO,
    "rollout of %(service)s to %(version)s is %(phase)s: %(reason)s",
)
TRIAL_STATUS_NOT_STORED = _define(
    741,
    logging.WARNING,
    "status of the rollout of %(service)s not written: %(error)s",
)
TRIAL_OLD_VERSION_FOUND = _define(
    742,
    logging.INFO,
    "rollout of %(service)s to %(version)s is compared with version %(old)s",
)
ORDER_CONTACT_CHANGED = _define(
    750,
    logging.WARNING,
    "contact with the source of the orders is lost: %(lost)s",
)
USAGE_LEASE = _define(
    760,
    logging.INFO,
    "lease of usage reports %(state)s, fencing token %(token)s",
)
USAGE_GIVEN_UP = _define(
    761,
    logging.WARNING,
    "no usage report for window %(window)s: %(reason)s",
)
USAGE_REFUSED = _define(
    762,
    logging.ERROR,
    "usage report of window %(window)s refused with status %(status)s",
)
USAGE_STORE_FAILED = _define(
    763,
    logging.WARNING,
    "lease or report not stored: %(error)s",
)
USAGE_SUSPENDED = _define(
    764,
    logging.WARNING,
    "process was suspended for %(milliseconds)s ms, usage reports wait",
)
USAGE_INCOMPLETE = _define(
    765,
    logging.INFO,
    "usage report of window %(window)s lacks about %(percent)s %% of the "
    "requests",
)
USAGE_ACCEPTED = _define(
    766, logging.INFO, "usage report of window %(window)s accepted"
)
CONNECTION_EVICTED = _define(
    770,
    logging.WARNING,
    "connection of a client closed for lack of memory or descriptors: "
    "%(reason)s",
)
REQUEST_WITHOUT_MEMORY = _define(
    771,
    logging.WARNING,
    "request refused before its end for lack of memory: %(reason)s",
)
TRANSFER_ENDED = _define(
    780,
    logging.WARNING,
    "body of call %(call)s ended before it was complete: %(error)s",
)
LIMIT_CHANGED = _define(
    790,
    logging.INFO,
    "concurrency limit of the backend server is %(limit)s of %(slots)s slots: "
    "%(reason)s",
)


def emit(logger: logging.Logger, event: Event, **fields: typing.Any) -> None:
    """Write one event to the log.

    Parameters
    ----------
    logger : logging.Logger
        Logger of the calling module.
    event : Event
        Event of the catalogue.
    **fields
        Values of the event's named fields, and fields that only the JSON
        format shows.
    """
    if not logger.isEnabledFor(event.level):
        return
    # logging accepts the values of named fields only as a single mapping.
    arguments = (fields,) if fields else ()
    logger.log(
        event.level,
        f"AP-{event.number} {event.text}",
        *arguments,
        extra={"event": event.number, "fields": fields},
    )


def configure(*, style: str, level: str = "INFO") -> None:
    """Write log records to standard error.

    Parameters
    ----------
    style : {'text', 'json'}
        Format of the records.
    level : str
        Lowest level that is written.
    """
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(_make_formatter(style))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)


def _make_formatter(style: str) -> logging.Formatter:
    if style != "json":
        return logging.Formatter(
            "%(asctime)s %(levelname)s %(name)s %(message)s"
        )
    from pythonjsonlogger import json

    return json.JsonFormatter("%(asctime)s %(levelname)s %(name)s %(message)s")
