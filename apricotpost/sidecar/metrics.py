"""Metrics of a node and the response to a scrape."""

import math
import pathlib

from apricotpost import http
from apricotpost.sidecar import instruments

__all__ = ["Metrics", "read_peak_memory", "respond_to_scrape", "update"]

STATUS_PATH = pathlib.Path("/proc/self/status")

LATENCY_BUCKETS_SECONDS = (
    0.005,
    0.02,
    0.05,
    0.1,
    0.2,
    0.3,
    0.5,
    0.8,
    1.2,
    2.0,
    4.0,
)


class Metrics:
    """Instruments of one node."""

    def __init__(self) -> None:
        self.requests = instruments.Counter(
            "apricotpost_requests",
            "Requests of callers by outcome.",
            ("outcome", "reason"),
        )
        self.latency = instruments.Histogram(
            "apricotpost_request_seconds",
            "Time from a request to its response.",
            LATENCY_BUCKETS_SECONDS,
        )
        self.offers = instruments.Counter(
            "apricotpost_offers",
            "Requests offered to the backend server beside this node.",
            ("outcome", "reason"),
        )
        self.retries = instruments.Counter(
            "apricotpost_retries",
            "Requests that were sent to another backend server.",
            ("reason",),
        )
        self.store_calls = instruments.Gauge(
            "apricotpost_store_calls",
            "Calls of the platform's store since the start.",
        )
        self.running = instruments.Gauge(
            "apricotpost_gate_running",
            "Requests at the backend server.",
        )
        self.queued = instruments.Gauge(
            "apricotpost_gate_queued",
            "Requests that wait for the backend server.",
        )
        self.limit = instruments.Gauge(
            "apricotpost_gate_limit",
            "Requests that may be at the backend server at the same time.",
        )
        self.limit_changes = instruments.Counter(
            "apricotpost_gate_limit_changes",
            "Changes of the learnt limit by reason.",
            ("reason",),
        )
        self.servers = instruments.Gauge(
            "apricotpost_servers_known",
            "Backend servers of the fleet that take requests.",
        )
        self.orders = instruments.Gauge(
            "apricotpost_orders_revision",
            "Store revision up to which all orders are held.",
        )
        self.configuration = instruments.Gauge(
            "apricotpost_configuration_version",
            "Version of the traffic configuration in force.",
        )
        self.log_events = instruments.Counter(
            "apricotpost_log_events",
            "Logged events by number, those without a line included.",
            ("event",),
        )
        self.held_bytes = instruments.Gauge(
            "apricotpost_memory_held_bytes",
            "Bytes that the node holds for others, by their holder.",
            "holder",
        )
        self.memory_refused = instruments.Gauge(
            "apricotpost_memory_refused",
            "Reservations of memory that were refused since the start.",
        )
        self.evictions = instruments.Counter(
            "apricotpost_evictions",
            "Connections closed and requests refused for lack of memory or "
            "descriptors.",
            ("reason",),
        )
        self.buffered_request_bytes = instruments.Gauge(
            "apricotpost_buffered_request_bytes",
            "Bytes of request bodies that the node holds for callers.",
        )
        self.buffered_response_bytes = instruments.Gauge(
            "apricotpost_buffered_response_bytes",
            "Bytes of response bodies of the backend server.",
        )
        self.transfers = instruments.Counter(
            "apricotpost_body_transfers",
            "Large bodies received from other nodes, by outcome.",
            ("kind", "outcome"),
        )
        self.transfers_open = instruments.Gauge(
            "apricotpost_body_transfers_open",
            "Large bodies on their way from or to other nodes.",
        )
        self.peak_resident_bytes = instruments.Gauge(
            "apricotpost_peak_resident_bytes",
            "Largest resident memory of the process since its start.",
        )
        self.peers = instruments.Gauge(
            "apricotpost_peers_connected",
            "Other nodes with an open connection.",
        )


def update(metrics: Metrics, **values: float) -> None:
    """Set gauges by attribute name before a scrape."""
    for name, value in values.items():
        getattr(metrics, name).set(value)


def read_peak_memory() -> float:
    """Return the largest resident memory of this process, in bytes.

    The figure of `resource.getrusage` is not used: it includes the memory of
    the parent process at the start of this one. NaN means that the system
    does not tell.
    """
    try:
        text = STATUS_PATH.read_text(encoding="utf-8", errors="replace")
    except OSError:
        return math.nan
    for line in text.splitlines():
        name, _, value = line.partition(":")
        if name == "VmHWM":
            return int(value.split()[0]) * 1024
    return math.nan


def respond_to_scrape(metrics: Metrics, exchange: http.Exchange) -> None:
    """Respond to a scrape with all metrics."""
    body = instruments.format_text(vars(metrics).values())
    exchange.respond(
        http.Response(
            status=200,
            headers=((b"Content-Type", b"text/plain; version=0.0.4"),),
            body=body,
        )
    )
