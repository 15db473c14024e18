"""What each path of the administration API does."""

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

__all__ = ["Admin", "Request", "find_handler", "make_policy"]

KEY_HEADER = "idempotency-key"
BASE_HEADER = "if-match"


@dataclasses.dataclass(kw_only=True)
class Admin:
    """What the administration threads share.

    Parameters
    ----------
    options : NodeSettings
        Settings of the node.
    open_store : callable
        Makes a connection to the platform for one thread.
    read_view : callable
        Returns the view in force.
    read_fleet : callable
        Returns it with the versions that instances hold by now.
    announce : callable
        Tells control that this node committed a version.
    read_levels : callable
        Returns the service levels that this node counted.
    local : threading.local
        Holds each thread's connection to the platform.
    """

    options: settings.NodeSettings
    open_store: Callable[[], storage.Store]
    read_view: Callable[[], model.View]
    read_fleet: Callable[[], model.View]
    announce: Callable[[model.Delta, str], None]
    read_levels: Callable[[], typing.Any]
    local: threading.local = dataclasses.field(default_factory=threading.local)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Request:
    """An authenticated request.

    Parameters
    ----------
    name : str
        Variable part of the path.
    query : mapping of str to str
        Parameters of the URL.
    headers : mapping of str to str
        By name in lower case.
    """

    actor: tokens.Actor
    method: str
    path: str
    name: str
    query: Mapping[str, str]
    headers: Mapping[str, str]
    body: bytes


Handler = Callable[[Admin, Request], typing.Any]


def find_handler(method: str, path: str) -> tuple[Handler, str]:
    """Return the handler of a path and the variable part of the path.

    Raises
    ------
    apricotpost.errors.ResourceUnknown
        There is no such path for this method.
    """
    for known, pattern, handler in _PATHS:
        match = re.fullmatch(pattern, path)
        if match and known == method:
            return handler, "".join(match.groups())
    raise errors.ResourceUnknown(f"there is no {method} {path}")


def make_policy(times: settings.TimeSettings) -> requests.Policy:
    """Return the shortest times of moves that the settings allow."""
    return requests.Policy(
        rollout_seconds=steps.shortest_seconds(
            steps.Times(step_seconds=times.step_seconds)
        ),
        data_centre_seconds=steps.MARGIN_SECONDS,
    )


def _get_status(admin: Admin, request: Request) -> typing.Any:
    return {
        "instance": admin.options.instance,
        "data_centre": admin.options.data_centre,
        "region": admin.options.region,
        "now": time.time(),
        **reads.describe_status(admin.read_fleet(), now=time.time()),
    }


def _get_config(admin: Admin, request: Request) -> typing.Any:
    return admin.read_view().snapshot


def _get_instances(admin: Admin, request: Request) -> typing.Any:
    return {"instances": admin.read_fleet().instances}


def _get_history(admin: Admin, request: Request) -> typing.Any:
    return reads.read_history(
        _store(admin),
        admin.read_fleet(),
        service=request.query.get("service", ""),
        limit=_number(request, "limit", reads.PAGE_ITEMS, 1000),
    )


def _get_move(admin: Admin, request: Request) -> typing.Any:
    return reads.read_move(
        _store(admin), admin.read_fleet(), request.name, now=time.time()
    )


def _get_audit(admin: Admin, request: Request) -> typing.Any:
    newest = storage.read_head(_store(admin)) + 1
    return reads.read_audit(
        _store(admin),
        before=_number(request, "before", newest, newest),
        limit=_number(request, "limit", reads.PAGE_ITEMS, 1000),
    )


def _get_levels(admin: Admin, request: Request) -> typing.Any:
    return admin.read_levels()


def _post_sheet(admin: Admin, request: Request) -> typing.Any:
    try:
        text = request.body.decode("utf-8")
    except UnicodeDecodeError as error:
        raise errors.RequestInvalid(
            f"the sheet is not UTF-8: byte {error.start}"
        ) from error
    reason = request.query.get("reason", "morning sheet")
    change = requests.SheetChange(text=text, reason=reason)
    return _change(admin, request, change)


def _post_services(admin: Admin, request: Request) -> typing.Any:
    change = requests.decode(request.body, requests.Definitions)
    return _change(admin, request, change)


def _post_data_centre(admin: Admin, request: Request) -> typing.Any:
    change = requests.decode(request.body, requests.DataCentreChange)
    change = dataclasses.replace(change, name=request.name)
    return _change(admin, request, change)


def _post_withdraw(admin: Admin, request: Request) -> typing.Any:
    change = requests.decode(request.body, requests.WithdrawRollout)
    change = dataclasses.replace(change, rollout=request.name)
    return _change(admin, request, change)


def _change(
    admin: Admin, request: Request, change: requests.ChangeRequest
) -> submissions.Accepted:
    """Commit a change, or only check it for the parameter ``check``."""
    if not request.actor.rights & {tokens.CHANGE, tokens.DATA_CENTRES}:
        tokens.require_right(request.actor, tokens.CHANGE)
    now = time.time()

    def apply(snapshot: model.Snapshot) -> requests.Applied:
        return changes.apply_change(
            snapshot,
            change,
            actor=request.actor,
            policy=make_policy(admin.options.times),
            now=now,
        )

    store, held = _store(admin), admin.read_view().snapshot
    submission = _make_submission(request, change.reason)
    if request.query.get("check"):
        return commits.check(store, submission, apply, held=held)
    return commits.submit(
        store,
        submission,
        apply,
        announce=lambda delta: admin.announce(delta, request.actor.author),
        held=held,
        now=now,
    )


def _make_submission(request: Request, reason: str) -> submissions.Submission:
    key = request.headers.get(KEY_HEADER) or uuid.uuid4().hex
    digest = hashlib.sha256(
        f"{request.method} {request.path}\n".encode() + request.body
    )
    return submissions.Submission(
        actor=request.actor,
        request=commits.make_identifier(request.actor, key),
        digest=digest.hexdigest(),
        reason=reason,
        base=_base_version(request),
    )


def _base_version(request: Request) -> int | None:
    text = request.headers.get(BASE_HEADER, "").strip().strip('"')
    if not text:
        return None
    if not re.fullmatch("[0-9]{1,12}", text):
        raise errors.RequestInvalid(
            f"If-Match is {text!r}, expected a configuration version"
        )
    return int(text)


def _number(request: Request, name: str, default: int, most: int) -> int:
    text = request.query.get(name, str(default))
    if not re.fullmatch("[0-9]{1,12}", text) or int(text) < 1:
        raise errors.RequestInvalid(
            f"{name} is {text!r}, expected a number from 1"
        )
    return min(int(text), most)


def _store(admin: Admin) -> storage.Store:
    """Return the calling thread's connection to the platform."""
    local = admin.local
    if getattr(local, "store", None) is None:
        local.store = admin.open_store()
    return typing.cast(storage.Store, local.store)


_NAME = r"([A-Za-z0-9][A-Za-z0-9._+-]*)"
_PATHS: tuple[tuple[str, str, Handler], ...] = (
    ("GET", "/v1/status", _get_status),
    ("GET", "/v1/config", _get_config),
    ("GET", "/v1/instances", _get_instances),
    ("GET", "/v1/history", _get_history),
    ("GET", f"/v1/history/{_NAME}", _get_move),
    ("GET", "/v1/audit", _get_audit),
    ("GET", "/v1/levels", _get_levels),
    ("POST", "/v1/sheet", _post_sheet),
    ("POST", "/v1/services", _post_services),
    ("POST", f"/v1/data-centres/{_NAME}", _post_data_centre),
    ("POST", f"/v1/rollouts/{_NAME}/withdraw", _post_withdraw),
)
