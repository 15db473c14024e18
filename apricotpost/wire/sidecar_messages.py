"""Messages between sidecar nodes: calls, node states and trials.

They are encoded as arrays. In maps, the field names would take a third of the
bytes of a node state, and traffic between data centres is paid for.
"""

import typing

import msgspec

from apricotpost import decoding
from apricotpost.wire import outcomes
from apricotpost.wire import usage_messages

__all__ = [
    "AgedState",
    "BodyGrant",
    "BodyPart",
    "CancelQueued",
    "Delivered",
    "Failed",
    "KINDS",
    "MAX_PART_BYTES",
    "NodeState",
    "Offer",
    "Receipt",
    "Refused",
    "ServerLoad",
    "ServerState",
    "UNLIMITED_MS",
    "StateBatch",
    "TrialNotice",
    "VersionCounts",
]


# Longer than any deadline.
UNLIMITED_MS = 1e9
# Largest piece of a body in one `BodyPart`.
MAX_PART_BYTES = 256 * 1024

PartBytes = typing.Annotated[bytes, msgspec.Meta(max_length=MAX_PART_BYTES)]


class ServerLoad(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """Load of a backend server, measured by its node.

    Parameters
    ----------
    running, queued : int
        Requests in process at the backend server, and waiting at its gate.
    limit : int
        Current concurrency limit of the backend server.
    mean_ms : float
        Mean latency in milliseconds.
    failure_ratio : float
        Fraction of recent requests that failed.
    sample_count : int
        Number of samples in `mean_ms`, which is capped at some tens.
    silent_ms : int
        Time in milliseconds since the last response while requests are in
        process; 0 if there are none.
    """

    running: decoding.Count
    queued: decoding.Count
    limit: decoding.Count
    mean_ms: decoding.Finite
    failure_ratio: decoding.Finite = 0.0
    sample_count: decoding.Count = 0
    silent_ms: decoding.Integer = 0


class Offer(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """A request for the backend server of the receiving node.

    Parameters
    ----------
    call : str
        Identifier of this attempt, unique within the sending process.
    request : str
        Identifier of the client's request; logged, and echoed by the backend
        server's response.
    backend : str
        Identifier of the backend server that the sender chose.
    route, service, version : str
        Route, service and version that the sender chose.
    caller : str
        Service of the instance where the request originated.
    rank : int
        Priority; lower is more urgent. Routes start at 0, and nested
        requests have negative ranks.
    idempotent : bool
        Whether the request may be executed more than once.
    accepts_late : bool
        Whether the request stays queued even if it will miss its objective.
    remaining_ms, objective_ms : int
        Time in milliseconds left until the deadline and until the latency
        objective is missed.
    method, target, headers, body
        Content of the HTTP request.
    max_wait_ms : float
        Longest expected wait in the queue, in milliseconds, for which the
        request is accepted.
    tenant : str
        Tenant whose key the client has sent; empty if there is none.
    body_bytes : int
        Size of a body that follows in parts; 0 if `body` is the whole one.
    receives_parts : bool
        Whether the sender receives the body of the response in parts.
    """

    call: str
    request: str
    backend: str
    route: str
    service: str
    version: str
    caller: str
    rank: decoding.Integer
    idempotent: bool
    accepts_late: bool
    remaining_ms: decoding.Integer
    objective_ms: decoding.Integer
    method: bytes
    target: bytes
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    max_wait_ms: decoding.Finite = UNLIMITED_MS
    tenant: str = ""
    body_bytes: decoding.Count = 0
    receives_parts: bool = False


class Delivered(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """Complete response of the backend server.

    Parameters
    ----------
    call : str
        Identifier of the attempt.
    status, headers, body
        Content of the HTTP response.
    ran_ms : float
        Time from the request to the response, in milliseconds.
    load : ServerLoad
        Load of the backend server.
    wants_receipt : bool
        Whether the receiver confirms the message with a `Receipt`; that of a
        message whose body follows is sent when the body is complete.
    body_bytes : int
        Size of a body that follows in parts; 0 if `body` is the whole one.
    """

    call: str
    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    ran_ms: decoding.Finite
    load: ServerLoad
    wants_receipt: bool = False
    body_bytes: decoding.Count = 0


class Receipt(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """The response to a call has arrived at the node that made it."""

    call: str


class CancelQueued(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """The request must not start any more, as its key was revoked.

    The gate refuses it if it is queued; a request that runs is finished.
    """

    call: str


class BodyGrant(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """Permission to send the body of an offer or a response up to an offset.

    Parameters
    ----------
    call : str
        Identifier of the attempt.
    granted_bytes : int
        Offset in the body, in bytes, up to which the receiver accepts parts.
    """

    call: str
    granted_bytes: decoding.Count


class BodyPart(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """Next part of the body of an offer or a response.

    Parameters
    ----------
    call : str
        Identifier of the attempt.
    offset : int
        Position of the part in the body, in bytes.
    data : bytes
        The part; senders pass a view of the body.
    """

    call: str
    offset: decoding.Count
    data: PartBytes


class Refused(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """The request was not executed at the receiver and will not be.

    Parameters
    ----------
    call : str
        Identifier of the attempt.
    reason : outcomes.NotRunReason
        Reason of the refusal.
    retry_after_ms : int
        Time in milliseconds after which there may be capacity again.
    rejected_by_backend : bool
        Whether the backend server itself rejected the request.
    load : ServerLoad or None
        Load of the backend server; None if there is no backend server.
    """

    call: str
    reason: outcomes.NotRunReason
    retry_after_ms: decoding.Count
    rejected_by_backend: bool
    load: ServerLoad | None


class Failed(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """The request may have been executed, but has no usable response."""

    call: str
    reason: outcomes.UnknownReason
    ran_ms: decoding.Finite
    load: ServerLoad


class ServerState(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """State of a node's backend server."""

    backend: str
    service: str
    version: str
    ready: bool
    cold: bool
    load: ServerLoad


class VersionCounts(
    msgspec.Struct, frozen=True, array_like=True, kw_only=True
):
    """Counts of responses on a route since the node first saw the server.

    Parameters
    ----------
    route : str
        Name of the route.
    calls, failures : int
        Number of responses, and of failed ones among them.
    latencies : tuple of int
        Number of responses in each latency bucket.
    """

    route: str
    calls: decoding.Count
    failures: decoding.Count
    latencies: tuple[decoding.Count, ...]


class NodeState(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """State that a node publishes to its peers.

    Parameters
    ----------
    node, data_centre, address : str
        Identifier of the node, its data centre, and its address for
        messages of other nodes.
    boot : int
        Identifies the process of the node; higher is newer.
    sequence : int
        Identifies the state of the process; higher is newer.
    leaving : bool
        Whether the node accepts no new calls.
    store_reachable : bool
        Whether the node can reach the platform's store.
    orders_revision : int
        Store revision up to which the node holds all orders.
    server : ServerState or None
        Backend server of the node; None before its first heartbeat.
    counts : tuple of VersionCounts
        Counts by route; sent only during a rollout of the service.
    receives_parts : bool
        Whether the node receives large bodies in parts. A node that does not
        would run a request whose body follows with an empty body.
    lease_token : int
        Fencing token of the lease of usage reports; 0 if the node does not
        hold it.
    lease_revision : int
        Store revision of the lease, if the node holds it.
    time_ms : int
        Unix time in milliseconds at which the holder sent the state, by the
        clocks of the fleet; 0 if it is not known or the node is no holder.
    """

    node: str
    data_centre: str
    address: decoding.HostPort
    boot: decoding.Count
    sequence: decoding.Count
    leaving: bool
    store_reachable: bool
    orders_revision: decoding.Count
    server: ServerState | None
    counts: tuple[VersionCounts, ...] = ()
    receives_parts: bool = False
    lease_token: decoding.Count = 0
    lease_revision: decoding.Count = 0
    time_ms: decoding.Count = 0


class AgedState(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """A node state and the time since the node was last heard from."""

    state: NodeState
    age_ms: decoding.Count


class StateBatch(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """States of a data centre's nodes, sent by one of its relays.

    Parameters
    ----------
    states : bytes
        States, compressed by `apricotpost.membership.relays.pack_states`.
    forwarded : bool
        Whether a relay of the receiver's data centre forwarded the batch.
    """

    states: bytes
    forwarded: bool


class TrialNotice(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """State of a trial that a node determined or read.

    Parameters
    ----------
    service, version : str
        Service, and the version that is rolled out.
    order_revision : int
        Store revision of the rollout order.
    phase : str
        Name of a phase in `apricotpost.rollout.trials`.
    old_version : str
        Version that the service ran before.
    reason : str
        Reason for the phase.
    elapsed_seconds : float
        Time in seconds since the trial started.
    """

    service: str
    version: str
    order_revision: decoding.Count
    phase: str
    old_version: str
    reason: str
    elapsed_seconds: decoding.Finite = 0.0


KINDS: dict[int, type] = {
    60: Offer,
    61: Delivered,
    62: Refused,
    63: Failed,
    70: NodeState,
    73: TrialNotice,
    74: StateBatch,
    75: Receipt,
    76: BodyGrant,
    77: BodyPart,
    79: CancelQueued,
    **usage_messages.KINDS,
}
