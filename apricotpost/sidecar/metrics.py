"""Counters and latency histograms in the text format of Prometheus."""

import prometheus_client

from apricotpost import http

__all__ = ["Metrics", "respond_to_scrape"]

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
        self.registry = prometheus_client.CollectorRegistry()
        self.requests = prometheus_client.Counter(
            "apricotpost_requests",
            "Requests of callers by outcome.",
            ("outcome", "reason"),
            registry=self.registry,
        )
        self.latency = prometheus_client.Histogram(
            "apricotpost_request_seconds",
            "Time from a request to its response.",
            buckets=LATENCY_BUCKETS_SECONDS,
            registry=self.registry,
        )
        self.offers = prometheus_client.Counter(
            "apricotpost_offers",
            "Requests offered to the backend server beside this node.",
            ("outcome", "reason"),
            registry=self.registry,
        )
        self.retries = prometheus_client.Counter(
            "apricotpost_retries",
            "Requests that were sent to another backend server.",
            ("reason",),
            registry=self.registry,
        )
        self.store_calls = prometheus_client.Gauge(
            "apricotpost_store_calls",
            "Calls of the platform's store since the start.",
            registry=self.registry,
        )
        self.running = prometheus_client.Gauge(
            "apricotpost_gate_running",
            "Requests at the backend server.",
            registry=self.registry,
        )
        self.queued = prometheus_client.Gauge(
            "apricotpost_gate_queued",
            "Requests that wait for the backend server.",
            registry=self.registry,
        )
        self.servers = prometheus_client.Gauge(
            "apricotpost_servers_known",
            "Backend servers of the fleet that take requests.",
            registry=self.registry,
        )
        self.orders = prometheus_client.Gauge(
            "apricotpost_orders_revision",
            "Store revision up to which all orders are held.",
            registry=self.registry,
        )
        self.configuration = prometheus_client.Gauge(
            "apricotpost_configuration_version",
            "Version of the traffic configuration in force.",
            registry=self.registry,
        )
        self.peers = prometheus_client.Gauge(
            "apricotpost_peers_connected",
            "Other nodes with an open connection.",
            registry=self.registry,
        )


def respond_to_scrape(metrics: Metrics, exchange: http.Exchange) -> None:
    """Answer a scrape."""
    body = prometheus_client.generate_latest(metrics.registry)
    exchange.respond(
        http.Response(
            status=200,
            headers=((b"Content-Type", b"text/plain; version=0.0.4"),),
            body=body,
        )
    )
