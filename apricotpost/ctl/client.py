"""HTTP client of the administration API that tries several nodes."""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import pathlib
import typing

import urllib3

from apricotpost import connections
from apricotpost import decoding
from apricotpost import errors

__all__ = ["Client", "open_client", "read_nodes", "read_token", "send_request"]

NODES_VARIABLE = "APRICOTPOST_NODES"
TOKEN_VARIABLE = "APRICOTPOST_TOKEN"
# Longer than the longest time that a node waits for the platform.
TIMEOUT_SECONDS = 20.0
CONNECT_TIMEOUT_SECONDS = 2.0
# Far above the sheet of 1,200 instances.
MAX_ANSWER_BYTES = 16 * 1024 * 1024


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Client:
    """Nodes in the order in which they are tried, token and connections."""

    nodes: tuple[str, ...]
    token: str
    pool: urllib3.PoolManager


def open_client(*, nodes: Iterable[str], token: str) -> Client:
    """Return a client; connections are opened by the first request."""
    return Client(
        nodes=tuple(nodes),
        token=token,
        pool=connections.make_pool(retries=False),
    )


def read_nodes(given: Iterable[str], environ: Mapping[str, str]) -> list[str]:
    """Return the nodes from the command line, else from the environment.

    Raises
    ------
    apricotpost.errors.RequestInvalid
        No node is given.
    """
    names = list(given) or environ.get(NODES_VARIABLE, "").split(",")
    nodes = [name.strip() for name in names if name.strip()]
    if not nodes:
        raise errors.RequestInvalid(
            f"no node is given: use --node IP:PORT or set {NODES_VARIABLE}"
        )
    return nodes


def read_token(path: pathlib.Path | None, environ: Mapping[str, str]) -> str:
    """Return the token from a file, else from the environment.

    It is not accepted on the command line, which other users can see.

    Raises
    ------
    apricotpost.errors.RequestInvalid
        The file cannot be read, or no token is given.
    """
    token = environ.get(TOKEN_VARIABLE, "")
    if path is not None:
        try:
            token = path.read_text(encoding="utf-8")
        except (OSError, UnicodeDecodeError) as error:
            raise errors.RequestInvalid(
                f"cannot read token file {path}: {error}"
            ) from error
    if not token.strip():
        raise errors.RequestInvalid(
            f"no token is given: use --token-file or set {TOKEN_VARIABLE}"
        )
    return token.strip()


def send_request(
    client: Client,
    method: str,
    path: str,
    *,
    body: bytes | None = None,
    headers: Mapping[str, str] | None = None,
) -> typing.Any:
    """Send a request to the nodes in turn until one carries it out.

    A change needs an ``Idempotency-Key`` header, because the request is sent
    to the next node if the answer of one is lost.

    Raises
    ------
    apricotpost.errors.NodeErrorResponse
        A node refused the request, or none could carry it out.
    apricotpost.errors.NodeUnreachable
        No node answered.
    """
    unreachable: list[str] = []
    refusal: errors.NodeErrorResponse | None = None
    for node in client.nodes:
        try:
            return _send_to_node(
                client, node, method, path, body, headers or {}
            )
        except urllib3.exceptions.HTTPError as error:
            unreachable.append(f"{node}: {error}")
        except errors.NodeErrorResponse as error:
            if error.status < 500:
                raise
            refusal = error
    if refusal is not None:
        raise refusal
    raise errors.NodeUnreachable("no node answered", faults=unreachable)


def _send_to_node(
    client: Client,
    node: str,
    method: str,
    path: str,
    body: bytes | None,
    headers: Mapping[str, str],
) -> typing.Any:
    response = client.pool.request(
        method,
        f"http://{node}{path}",
        body=body,
        headers={"Authorization": f"Bearer {client.token}", **headers},
        timeout=urllib3.Timeout(
            connect=CONNECT_TIMEOUT_SECONDS, read=TIMEOUT_SECONDS
        ),
        redirect=False,
        preload_content=False,
        decode_content=False,
    )
    content = connections.read_body(response, max_bytes=MAX_ANSWER_BYTES)
    answer = _decode_answer(node, content)
    if response.status == 200:
        return answer
    raise errors.NodeErrorResponse(
        str(answer.get("message", f"status {response.status}")),
        code=str(answer.get("code", "AP000")),
        status=response.status,
        faults=answer.get("faults", ()),
    )


def _decode_answer(node: str, body: bytes) -> typing.Any:
    try:
        return decoding.decode_json("answer", body)
    except errors.MalformedMessage as error:
        raise urllib3.exceptions.HTTPError(
            f"{node} did not answer with JSON; it is not an admin address"
        ) from error
