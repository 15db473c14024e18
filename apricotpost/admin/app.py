"""WSGI application of the administration API."""

from collections.abc import Callable
from collections.abc import Iterable
import http
import logging
import typing
import urllib.parse

import msgspec

from apricotpost.admin import handlers
from apricotpost.admin import tokens
from apricotpost import errors
from apricotpost import events

__all__ = ["MAX_BODY_BYTES", "make_app"]

LOG = logging.getLogger(__name__)

Environ = dict[str, typing.Any]
StartResponse = Callable[..., typing.Any]

MAX_BODY_BYTES = 1024 * 1024


def make_app(admin: handlers.AdminState) -> Callable[..., Iterable[bytes]]:
    """Return the WSGI application that serves ``admin``."""

    def app(
        environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        status, payload = _respond(admin, environ)
        body = msgspec.json.encode(payload)
        headers = [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(body))),
            ("Cache-Control", "no-store"),
        ]
        if status == 401:
            headers.append(("WWW-Authenticate", "Bearer"))
        start_response(f"{status} {http.HTTPStatus(status).phrase}", headers)
        return [body]

    return app


def _respond(
    admin: handlers.AdminState, environ: Environ
) -> tuple[int, typing.Any]:
    try:
        return 200, _handle_request(admin, environ)
    except errors.ApricotpostError as error:
        _log_refused_request(environ, error)
        return error.status, _describe_error(error)
    except Exception as error:
        # Unexpected exceptions are answered with the same JSON fields as
        # other errors.
        events.emit(
            LOG, events.ADMIN_FAILED, path=environ["PATH_INFO"], error=error
        )
        failure = errors.ApricotpostError(
            "internal error of the node; its log has the cause"
        )
        return failure.status, _describe_error(failure)


def _handle_request(
    admin: handlers.AdminState, environ: Environ
) -> typing.Any:
    # Authenticate before routing: without a token a caller must not be
    # able to find out which paths exist.
    actor = tokens.authenticate(
        environ.get("HTTP_AUTHORIZATION", ""), admin.options.tokens
    )
    method, path = environ["REQUEST_METHOD"], environ["PATH_INFO"]
    handler, name = handlers.find_handler(method, path)
    if method == "GET":
        tokens.require_right(actor, tokens.READ)
    request = handlers.Request(
        actor=actor,
        method=method,
        path=path,
        name=name,
        query=dict(urllib.parse.parse_qsl(environ.get("QUERY_STRING", ""))),
        headers=_read_headers(environ),
        body=_read_body(environ),
    )
    return handler(admin, request)


def _read_headers(environ: Environ) -> dict[str, str]:
    return {
        key[5:].replace("_", "-").lower(): value
        for key, value in environ.items()
        if key.startswith("HTTP_")
    }


def _read_body(environ: Environ) -> bytes:
    text = environ.get("CONTENT_LENGTH") or "0"
    if "HTTP_TRANSFER_ENCODING" in environ or not text.isdecimal():
        raise errors.RequestInvalid("the request needs a Content-Length")
    if int(text) > MAX_BODY_BYTES:
        raise errors.RequestInvalid(
            f"the body has {text} bytes, expected at most {MAX_BODY_BYTES}"
        )
    body = environ["wsgi.input"].read(int(text)) if int(text) else b""
    if len(body) != int(text):
        raise errors.RequestInvalid(
            "the body is shorter than its Content-Length"
        )
    return bytes(body)


def _describe_error(error: errors.ApricotpostError) -> dict[str, typing.Any]:
    return {
        "code": error.code,
        "message": error.message,
        "faults": error.faults,
    }


def _log_refused_request(
    environ: Environ, error: errors.ApricotpostError
) -> None:
    events.emit(
        LOG,
        events.ADMIN_REFUSED,
        method=environ["REQUEST_METHOD"],
        path=environ["PATH_INFO"],
        code=error.code,
        message=error.message,
    )
