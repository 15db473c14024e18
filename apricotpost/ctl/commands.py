"""Commands of ``apricotpost-ctl``, one function for each."""

import argparse
from collections.abc import Callable
import dataclasses
import json
import pathlib
import sys
import time
import typing
import urllib.parse
import uuid

import jsonc

from apricotpost.admin import sheet_text
from apricotpost.ctl import client
from apricotpost.ctl import tables
from apricotpost.ctl import watching
from apricotpost import errors

__all__ = ["COMMANDS", "EXIT_WITHDRAWN", "Session"]

EXIT_WITHDRAWN = 5

Json = dict[str, typing.Any]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Session:
    """Connection, options and output of one run of a command.

    Parameters
    ----------
    client : Client
        Client of the nodes.
    options : argparse.Namespace
        Parsed command line.
    write : callable
        Prints the result, as text or as JSON.
    warn : callable
        Prints a warning or an error.
    """

    client: client.Client
    options: argparse.Namespace
    write: Callable[[str], None]
    warn: Callable[[str], None]


def _check(session: Session) -> int:
    text = _read_file(session.options.sheet)
    answer = _send_change(session, "/v1/sheet?check=1", text, "text/csv")
    _write_answer(
        session, answer, tables.format_accepted(answer, checked=True)
    )
    return 0


def _submit(session: Session) -> int:
    text = _read_file(session.options.sheet)
    query = urllib.parse.urlencode({"reason": session.options.reason})
    answer = _send_change(session, f"/v1/sheet?{query}", text, "text/csv")
    return _report_change(session, answer)


def _apply(session: Session) -> int:
    try:
        raw = jsonc.loads(_read_file(session.options.file).decode("utf-8"))
    except ValueError as error:
        raise errors.RequestInvalid(
            f"{session.options.file} is not JSON with comments: {error}"
        ) from error
    if isinstance(raw, dict) and session.options.reason:
        raw["reason"] = session.options.reason
    answer = _send_json_change(session, "/v1/services", raw)
    return _report_change(session, answer)


def _data_centre(session: Session) -> int:
    options = session.options
    body: Json = {"state": options.state, "reason": options.reason}
    if options.finish_by:
        finish_by = sheet_text.parse_time(options.finish_by)
        if finish_by is None:
            raise errors.RequestInvalid(
                f"--finish-by is {options.finish_by!r}, expected RFC 3339 "
                "such as 2027-01-15T09:30:00+02:00"
            )
        body["finish_by"] = finish_by
    name = urllib.parse.quote(options.name, safe="")
    answer = _send_json_change(session, f"/v1/data-centres/{name}", body)
    return _report_change(session, answer)


def _withdraw(session: Session) -> int:
    rollout = urllib.parse.quote(session.options.rollout, safe="")
    body = {"reason": session.options.reason}
    answer = _send_json_change(
        session, f"/v1/rollouts/{rollout}/withdraw", body
    )
    return _report_change(session, answer)


def _status(session: Session) -> int:
    answer = client.send_request(session.client, "GET", "/v1/status")
    _write_answer(session, answer, tables.format_status(answer))
    return 0


def _history(session: Session) -> int:
    query = urllib.parse.urlencode(
        {"service": session.options.service, "limit": session.options.limit}
    )
    answer = client.send_request(session.client, "GET", f"/v1/history?{query}")
    _write_answer(session, answer, tables.format_history(answer))
    return 0


def _audit(session: Session) -> int:
    query = {"limit": session.options.limit}
    if session.options.before:
        query["before"] = session.options.before
    path = "/v1/audit?" + urllib.parse.urlencode(query)
    answer = client.send_request(session.client, "GET", path)
    _write_answer(session, answer, tables.format_audit(answer))
    return 0


def _watch(session: Session) -> int:
    return _follow_moves(
        session, session.options.moves or _find_running_moves(session)
    )


def _find_running_moves(session: Session) -> list[str]:
    status = client.send_request(session.client, "GET", "/v1/status")
    history = client.send_request(session.client, "GET", "/v1/history?limit=1")
    moves = [*status["rollouts"], *history["pending"]]
    return [
        move["identifier"]
        for move in moves
        if move["state"] in ("running", "baking")
    ]


def _follow_moves(session: Session, identifiers: list[str]) -> int:
    if not identifiers:
        session.write("[]" if session.options.json else "no move is running")
        return 0
    ended = watching.follow(
        watching.Watch(
            read=lambda name: _read_move(session, name),
            report=lambda move: _write_answer(
                session, move, tables.format_move(move)
            ),
            warn=session.warn,
            clock=time.monotonic,
            sleep=time.sleep,
        ),
        identifiers,
    )
    withdrawn = [move for move in ended if move["state"] == "withdrawn"]
    return EXIT_WITHDRAWN if withdrawn else 0


def _read_move(session: Session, identifier: str) -> Json:
    name = urllib.parse.quote(identifier, safe="")
    answer: Json = client.send_request(
        session.client, "GET", f"/v1/history/{name}"
    )
    return answer


def _report_change(session: Session, answer: Json) -> int:
    _write_answer(
        session, answer, tables.format_accepted(answer, checked=False)
    )
    if not session.options.watch:
        return 0
    return _follow_moves(session, [*answer["rollouts"], *answer["moves"]])


def _send_json_change(session: Session, path: str, body: typing.Any) -> Json:
    return _send_change(
        session, path, json.dumps(body).encode(), "application/json"
    )


def _send_change(
    session: Session, path: str, body: bytes, content_type: str
) -> Json:
    """Send a change with an idempotency key, so that it can be repeated."""
    options = session.options
    headers = {
        "Content-Type": content_type,
        "Idempotency-Key": options.request or uuid.uuid4().hex,
    }
    if options.base is not None:
        headers["If-Match"] = str(options.base)
    try:
        answer: Json = client.send_request(
            session.client, "POST", path, body=body, headers=headers
        )
    except (errors.NodeUnreachable, errors.NodeErrorResponse) as error:
        if error.exit_code == 4:
            session.warn(
                "to retry, repeat the command with --request "
                + headers["Idempotency-Key"]
            )
        raise
    return answer


def _read_file(name: str) -> bytes:
    try:
        if name == "-":
            return sys.stdin.buffer.read()
        return pathlib.Path(name).read_bytes()
    except OSError as error:
        raise errors.RequestInvalid(f"cannot read {name}: {error}") from error


def _write_answer(session: Session, answer: Json, text: str) -> None:
    session.write(json.dumps(answer) if session.options.json else text)


COMMANDS: dict[str, Callable[[Session], int]] = {
    "apply": _apply,
    "audit": _audit,
    "check": _check,
    "data-centre": _data_centre,
    "history": _history,
    "status": _status,
    "submit": _submit,
    "watch": _watch,
    "withdraw": _withdraw,
}
