"""Messages between the event-loop nodes: calls, states and orders.

They are encoded as arrays. As maps, the member names would be a third of the
bytes of a node state, and bytes between data centres are paid for.
"""

import enum

import msgspec

from apricotpost.wire import messages

__all__ = [
    "AgedState",
    "Delivered",
    "Failed",
    "KINDS",
    "NodeState",
    "Offer",
    "OrderRow",
    "OrdersPull",
    "OrdersPush",
    "PackedForm",
    "PackedRow",
    "Refused",
    "ServerLoad",
    "ServerState",
    "StateBatch",
    "TrialNotice",
    "VersionCounts",
]


class ServerLoad(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """Load of a backend server as its node sees it.

    Parameters
    ----------
    running, queued : int
        Requests at the backend server and before it.
    limit : int
        Requests that it may process at the same time.
    usual_ms : float
        Mean time of a request there.
    failing : float
        Recent share of failed requests.
    served : int
        Requests behind `usual_ms`, up to some tens.
    quiet_ms : int
        Time without an answer while requests run there; 0 if none runs.
    """

    running: int
    queued: int
    limit: int
    usual_ms: float
    failing: float = 0.0
    served: int = 0
    quiet_ms: int = 0


class Offer(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """A request for the backend server beside the receiving node.

    Parameters
    ----------
    call : str
        Identifier of this attempt, unique for the sending node's process.
    request : str
        Identifier of the client's request, for logs.
    backend : str
        Identifier of the backend server that is meant.
    route, service, version : str
        What the sender chose.
    caller : str
        Service of the instance where the request began.
    rank : int
        Priority; 0 is the most urgent, below are nested requests.
    idempotent : bool
        Whether the request may run more than once.
    accepts_late : bool
        Whether it waits in the queue even if it misses its objective.
    left_ms, objective_ms : int
        Time left for the answer, and time left to meet the objective.
    method, target, headers, body
        The request.
    """

    call: str
    request: str
    backend: str
    route: str
    service: str
    version: str
    caller: str
    rank: int
    idempotent: bool
    accepts_late: bool
    left_ms: int
    objective_ms: int
    method: bytes
    target: bytes
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes


class Delivered(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """Whole response of the backend server."""

    call: str
    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    ran_ms: float
    load: ServerLoad


class Refused(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """The request has not run and will not run there.

    Parameters
    ----------
    call : str
        Identifier of the attempt.
    reason : messages.NotRunReason
        Why.
    retry_ms : int
        When there may be room again.
    offered : bool
        Whether the backend server itself turned it away.
    load : ServerLoad or None
        None if there is no backend server.
    """

    call: str
    reason: messages.NotRunReason
    retry_ms: int
    offered: bool
    load: ServerLoad | None


class Failed(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """The request may have run, and there is no usable response."""

    call: str
    reason: messages.UnknownReason
    ran_ms: float
    load: ServerLoad


class ServerState(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """Backend server beside a node."""

    backend: str
    service: str
    version: str
    ready: bool
    cold: bool
    load: ServerLoad


class VersionCounts(
    msgspec.Struct, frozen=True, array_like=True, kw_only=True
):
    """Responses of a backend server since its node met it.

    Parameters
    ----------
    route : str
        Name of the route.
    calls, failures : int
        Responses and failed ones among them.
    latencies : tuple of int
        Responses in each latency bucket.
    """

    route: str
    calls: int
    failures: int
    latencies: tuple[int, ...]


class NodeState(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """What a node tells its peers of itself.

    Parameters
    ----------
    node, data_centre, address : str
        Who and where; the address takes messages of other nodes.
    boot : int
        Orders the processes of a node.
    sequence : int
        Orders the states of one process.
    leaving : bool
        Whether it takes no new calls.
    store : bool
        Whether it reaches the platform's store.
    orders : int
        Store revision up to which it holds all orders.
    server : ServerState or None
        Its backend server, if that has announced itself.
    counts : tuple of VersionCounts
        Only during a rollout of that service.
    """

    node: str
    data_centre: str
    address: str
    boot: int
    sequence: int
    leaving: bool
    store: bool
    orders: int
    server: ServerState | None
    counts: tuple[VersionCounts, ...] = ()


class AgedState(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """A state and how many milliseconds ago its node was heard."""

    state: NodeState
    age_ms: int


class StateBatch(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """States of a data centre's nodes, sent by one of its relays.

    Parameters
    ----------
    states : bytes
        Compressed (`apricotpost.membership.relays.pack_states`).
    forwarded : bool
        Whether a relay of the receiver's data centre has sent it.
    """

    states: bytes
    forwarded: bool


class OrderRow(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """A row of the operators, as read from the store."""

    key: str
    value: bytes
    revision: int
    removed: bool


class PackedForm(enum.IntEnum):
    """How the value of a row is sent."""

    PLAIN = 0
    WHOLE = 1
    # Compressed with an earlier value as the dictionary.
    PATCH = 2


class PackedRow(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """A row of the operators on its way between nodes.

    Parameters
    ----------
    key, revision, removed
        As in `OrderRow`.
    value : bytes
        In the form that `form` tells.
    base : int
        Revision of the earlier value that a patch needs.
    """

    key: str
    value: bytes
    revision: int
    removed: bool
    form: PackedForm
    base: int = 0


class OrdersPush(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """All changed orders after one store revision up to another."""

    after: int
    revision: int
    rows: tuple[PackedRow, ...]


class OrdersPull(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """Request for the orders after a revision."""

    node: str
    after: int


class TrialNotice(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """State of a rollout that some node found or read.

    Parameters
    ----------
    service, version : str
        What is rolled out.
    order : int
        Store revision of the order.
    phase : str
        Name of a phase of `apricotpost.rollout.trials`.
    old : str
        Version before.
    reason : str
        Why.
    elapsed : float
        Seconds since the order was seen.
    """

    service: str
    version: str
    order: int
    phase: str
    old: str
    reason: str
    elapsed: float = 0.0


KINDS: dict[int, type] = {
    60: Offer,
    61: Delivered,
    62: Refused,
    63: Failed,
    70: NodeState,
    71: OrdersPush,
    72: OrdersPull,
    73: TrialNotice,
    74: StateBatch,
}
