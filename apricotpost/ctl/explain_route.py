"""Asks an event-loop node where a request would go, without sending it."""

from collections.abc import Iterable
import typing
from urllib import parse

import msgspec
import urllib3

from apricotpost import connections
from apricotpost import decoding
from apricotpost import errors

__all__ = ["Answer", "fetch_explanation", "format_explanation"]

TIMEOUT_SECONDS = 5.0
# Far above the explanation of a service of 1,200 backend servers.
MAX_ANSWER_BYTES = 16 * 1024 * 1024
# Backend servers that the text shows for each service.
SHOWN_SERVERS = 8


class _Share(msgspec.Struct, frozen=True):
    service: decoding.Name
    fraction: decoding.Finite


class _Versions(msgspec.Struct, frozen=True):
    service: decoding.Name
    versions: tuple[str, ...]
    fraction: decoding.Finite


class _Server(msgspec.Struct, frozen=True):
    service: decoding.Name
    node: str
    backend: str
    version: str
    same_data_centre: bool
    cold: bool
    silent_seconds: decoding.Finite
    outstanding: decoding.Count
    limit: decoding.Count
    mean_ms: decoding.Finite
    relative_latency: decoding.Finite
    failure_ratio: decoding.Finite
    expected_ms: decoding.Finite
    note: str


class Answer(msgspec.Struct, frozen=True):
    """Answer of a node; see `sidecar.explanation_types.Explanation`."""

    outcome: str
    status: decoding.Count
    reason: str
    configuration: decoding.Count
    route: str
    idempotent: bool
    rank: decoding.Integer
    max_attempts: decoding.Count
    remaining_ms: decoding.Integer
    objective_ms: decoding.Integer
    mean_ms: decoding.Finite
    shares: tuple[_Share, ...]
    versions: tuple[_Versions, ...]
    servers: tuple[_Server, ...]
    not_used: tuple[str, ...]


_decode_answer = decoding.json_decoder("explanation of a route", Answer)


def fetch_explanation(
    node: str, *, host: str, path: str, deadline_ms: int | None
) -> tuple[bytes, Answer]:
    """Return a node's answer, as JSON and decoded.

    Parameters
    ----------
    node : str
        Metrics address of the node, as IP:PORT.
    host, path : str
        Host and path of the request.
    deadline_ms : int or None
        Time that the caller waits, in milliseconds.

    Raises
    ------
    apricotpost.errors.NodeUnreachable
        The node does not answer.
    apricotpost.errors.NodeErrorResponse
        The node refuses the question.
    apricotpost.errors.MalformedMessage
        The answer cannot be decoded.
    """
    query: dict[str, typing.Any] = {"host": host, "path": path}
    if deadline_ms is not None:
        query["deadline_ms"] = deadline_ms
    try:
        with connections.make_pool(retries=False) as pool:
            response = pool.request(
                "GET",
                f"http://{node}/explain?{parse.urlencode(query)}",
                timeout=TIMEOUT_SECONDS,
                redirect=False,
                preload_content=False,
                decode_content=False,
            )
            content = connections.read_body(
                response, max_bytes=MAX_ANSWER_BYTES
            )
    except urllib3.exceptions.HTTPError as error:
        raise errors.NodeUnreachable(
            "no node answered", faults=(f"{node}: {error}",)
        ) from error
    if response.status != 200:
        raise errors.NodeErrorResponse(
            f"node {node} answered with status {response.status}",
            code="AP000",
            status=response.status,
            faults=(),
        )
    answer: Answer = _decode_answer(content)
    return content, answer


def format_explanation(answer: Answer) -> list[str]:
    """Return the lines of text that describe an answer."""
    if not answer.route:
        return [
            f"refused with status {answer.status}: {answer.reason} "
            f"(configuration {answer.configuration})"
        ]
    kind = "may be repeated" if answer.idempotent else "runs at most once"
    lines = [
        f"route {answer.route} of configuration {answer.configuration}: "
        f"{answer.reason}",
        f"priority {answer.rank}, {kind}, at most {answer.max_attempts} "
        f"attempts, {answer.remaining_ms} ms left, objective "
        f"{answer.objective_ms} ms, mean {answer.mean_ms} ms",
    ]
    if answer.outcome == "refuse":
        lines.append(f"refused with status {answer.status}: {answer.reason}")
    for share in answer.shares:
        lines.append(f"{share.fraction:.1%} to service {share.service}")
        lines.extend(
            f"  {choice.fraction:.1%} to {', '.join(choice.versions)}"
            for choice in answer.versions
            if choice.service == share.service
        )
        servers = [s for s in answer.servers if s.service == share.service]
        lines.extend(_format_servers(servers))
    if answer.not_used:
        lines.append("not used:")
        lines.extend(f"  {text}" for text in answer.not_used)
    return lines


def _format_servers(servers: list[_Server]) -> Iterable[str]:
    for server in servers[:SHOWN_SERVERS]:
        place = "same data centre" if server.same_data_centre else "remote"
        cold = ", cold" if server.cold else ""
        note = f" ({server.note})" if server.note else " (best now)"
        yield (
            f"  {server.backend} beside {server.node}, {server.version}, "
            f"{place}{cold}: expected in {server.expected_ms} ms; "
            f"{server.outstanding} of {server.limit} requests, mean "
            f"{server.mean_ms} ms, {server.relative_latency} times the "
            f"service's, {server.failure_ratio:.1%} failed, state "
            f"{server.silent_seconds} s old{note}"
        )
    if len(servers) > SHOWN_SERVERS:
        yield f"  and {len(servers) - SHOWN_SERVERS} more servers"
