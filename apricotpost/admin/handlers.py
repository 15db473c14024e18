"""Request handlers of the administration API, one for each path."""

from collections.abc import Callable
from collections.abc import Mapping
import dataclasses
import hashlib
import re
import threading
import time
import typing
import uuid

from apricotpost.admin import changes
from apricotpost.admin import commits
from apricotpost.admin import reads
from apricotpost.admin import requests
from apricotpost.admin import submissions
from apricotpost.admin import tokens
from apricotpost import errors
from apricotpost import model
from apricotpost.rollout import steps
from apricotpost import settings
from apricotpost import storage

__all__ = ["AdminState", "Request", "find_handler", "make_minimum_durations"]

IDEMPOTENCY_KEY_HEADER = "idempotency-key"
BASE_VERSION_HEADER = "if-match"


@dataclasses.dataclass(kw_only=True)
class AdminState:
    """State shared by the threads that serve the administration API.

    Parameters
    ----------
    options : NodeSettings
        Settings of the node.
    open_store : callable
        Opens a connection to the platform for one thread.
    read_view : callable
        Returns the view in force.
    read_current_instances : callable
        Returns the view in force with the configuration version that each
        instance holds now.
    notify_committed : callable
        Reports a newly committed version to the control task; called with
        the delta and the author.
    read_levels : callable
        Returns the service level counts of this node.
    thread_local : threading.local
        Holds each thread's connection to the platform.
    """

    options: settings.NodeSettings
    open_store: Callable[[], storage.Store]
    read_view: Callable[[], model.View]
    read_current_instances: Callable[[], model.View]
    notify_committed: Callable[[model.Delta, str], None]
    read_levels: Callable[[], typing.Any]
    thread_local: threading.local = dataclasses.field(
        default_factory=threading.local
    )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Request:
    """An authenticated request.

    Parameters
    ----------
    name : str
        Variable part of the path; empty if the path has none.
    query : mapping of str to str
        Parameters of the URL.
    headers : mapping of str to str
        Header values by lower-case name.
    """

    actor: tokens.Actor
    method: str
    path: str
    name: str
    query: Mapping[str, str]
    headers: Mapping[str, str]
    body: bytes


Handler = Callable[[AdminState, Request], typing.Any]


def find_handler(method: str, path: str) -> tuple[Handler, str]:
    """Return the handler of a path and the variable part of the path.

    Raises
    ------
    apricotpost.errors.ResourceUnknown
        No handler has this method and path.
    """
    for handler_method, pattern, handler in _HANDLERS:
        path_match = re.fullmatch(pattern, path)
        if path_match and handler_method == method:
            return handler, "".join(path_match.groups())
    raise errors.ResourceUnknown(f"there is no {method} {path}")


def make_minimum_durations(
    times: settings.TimeSettings,
) -> requests.MinimumDurations:
    """Return the minimum durations of moves under these settings."""
    return requests.MinimumDurations(
        rollout_seconds=steps.shortest_seconds(
            steps.Times(step_seconds=times.step_seconds)
        ),
        data_centre_seconds=steps.FINISH_MARGIN_SECONDS,
    )


def _get_status(admin: AdminState, request: Request) -> typing.Any:
    return {
        "instance": admin.options.instance,
        "data_centre": admin.options.data_centre,
        "region": admin.options.region,
        "now": time.time(),
        **reads.describe_status(
            admin.read_current_instances(), now=time.time()
        ),
    }


def _get_config(admin: AdminState, request: Request) -> typing.Any:
    return admin.read_view().snapshot


def _get_instances(admin: AdminState, request: Request) -> typing.Any:
    return {"instances": admin.read_current_instances().instances}


def _get_history(admin: AdminState, request: Request) -> typing.Any:
    return reads.read_history(
        _thread_store(admin),
        admin.read_current_instances(),
        service=request.query.get("service", ""),
        limit=_parse_count(request, "limit", reads.DEFAULT_PAGE_ITEMS, 1000),
    )


def _get_move(admin: AdminState, request: Request) -> typing.Any:
    return reads.read_move(
        _thread_store(admin),
        admin.read_current_instances(),
        request.name,
        now=time.time(),
    )


def _get_audit(admin: AdminState, request: Request) -> typing.Any:
    newest = storage.read_head(_thread_store(admin)) + 1
    return reads.read_audit(
        _thread_store(admin),
        before=_parse_count(request, "before", newest, newest),
        limit=_parse_count(request, "limit", reads.DEFAULT_PAGE_ITEMS, 1000),
    )


def _get_levels(admin: AdminState, request: Request) -> typing.Any:
    return admin.read_levels()


def _post_sheet(admin: AdminState, request: Request) -> typing.Any:
    try:
        text = request.body.decode("utf-8")
    except UnicodeDecodeError as error:
        raise errors.RequestInvalid(
            f"the sheet is not UTF-8: byte {error.start}"
        ) from error
    reason = request.query.get("reason", "morning sheet")
    change = requests.SheetChange(text=text, reason=reason)
    return _submit_change(admin, request, change)


def _post_services(admin: AdminState, request: Request) -> typing.Any:
    change = requests.decode(request.body, requests.Definitions)
    return _submit_change(admin, request, change)


def _post_data_centre(admin: AdminState, request: Request) -> typing.Any:
    change = requests.decode(request.body, requests.DataCentreChange)
    change = dataclasses.replace(change, name=request.name)
    return _submit_change(admin, request, change)


def _post_withdraw(admin: AdminState, request: Request) -> typing.Any:
    change = requests.decode(request.body, requests.WithdrawRollout)
    change = dataclasses.replace(change, rollout=request.name)
    return _submit_change(admin, request, change)


def _submit_change(
    admin: AdminState, request: Request, change: requests.ChangeRequest
) -> submissions.AcceptedChange:
    """Commit a change, or only check it if ``check`` is in the URL."""
    if not request.actor.rights & {tokens.CHANGE, tokens.DATA_CENTRES}:
        tokens.require_right(request.actor, tokens.CHANGE)
    now = time.time()

    def apply(snapshot: model.Snapshot) -> requests.AppliedChange:
        return changes.apply_change(
            snapshot,
            change,
            actor=request.actor,
            minimum_durations=make_minimum_durations(admin.options.times),
            now=now,
        )

    store, node_snapshot = (
        _thread_store(admin),
        admin.read_view().snapshot,
    )
    submission = _make_submission(request, change.reason)
    if request.query.get("check"):
        return commits.check_change(
            store, submission, apply, snapshot=node_snapshot
        )
    return commits.submit(
        store,
        submission,
        apply,
        notify_committed=lambda delta: admin.notify_committed(
            delta, request.actor.author
        ),
        snapshot=node_snapshot,
        now=now,
    )


def _make_submission(request: Request, reason: str) -> submissions.Submission:
    key = request.headers.get(IDEMPOTENCY_KEY_HEADER) or uuid.uuid4().hex
    digest = hashlib.sha256(
        f"{request.method} {request.path}\n".encode() + request.body
    )
    return submissions.Submission(
        actor=request.actor,
        request=commits.make_request_identifier(request.actor, key),
        digest=digest.hexdigest(),
        reason=reason,
        base=_parse_base_version(request),
    )


def _parse_base_version(request: Request) -> int | None:
    text = request.headers.get(BASE_VERSION_HEADER, "").strip().strip('"')
    if not text:
        return None
    if not re.fullmatch("[0-9]{1,12}", text):
        raise errors.RequestInvalid(
            f"If-Match is {text!r}, expected a configuration version"
        )
    return int(text)


def _parse_count(
    request: Request, name: str, default: int, maximum: int
) -> int:
    text = request.query.get(name, str(default))
    if not re.fullmatch("[0-9]{1,12}", text) or int(text) < 1:
        raise errors.RequestInvalid(
            f"{name} is {text!r}, expected an integer of 1 or more"
        )
    return min(int(text), maximum)


def _thread_store(admin: AdminState) -> storage.Store:
    """Return the calling thread's connection to the platform."""
    thread_local = admin.thread_local
    if getattr(thread_local, "store", None) is None:
        thread_local.store = admin.open_store()
    return typing.cast(storage.Store, thread_local.store)


_NAME_PATTERN = r"([A-Za-z0-9][A-Za-z0-9._+-]*)"
_HANDLERS: tuple[tuple[str, str, Handler], ...] = (
    ("GET", "/v1/status", _get_status),
    ("GET", "/v1/config", _get_config),
    ("GET", "/v1/instances", _get_instances),
    ("GET", "/v1/history", _get_history),
    ("GET", f"/v1/history/{_NAME_PATTERN}", _get_move),
    ("GET", "/v1/audit", _get_audit),
    ("GET", "/v1/levels", _get_levels),
    ("POST", "/v1/sheet", _post_sheet),
    ("POST", "/v1/services", _post_services),
    ("POST", f"/v1/data-centres/{_NAME_PATTERN}", _post_data_centre),
    ("POST", f"/v1/rollouts/{_NAME_PATTERN}/withdraw", _post_withdraw),
)
