"""Counters and latency histograms of requests."""

from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Mapping

import prometheus_client
from prometheus_client import core
from prometheus_client import registry as prometheus_registry

#: Upper bounds of the buckets of the latency histogram, in seconds.
LATENCY_BUCKETS_S = (0.05, 0.1, 0.2, 0.4, 0.6, 0.8, 1.2, 1.6, 2.5, 5.0, 10.0)

#: Largest number of servers in the samples of one metric.
MAX_SERVER_SAMPLES = 64


class _ServerGauge(prometheus_registry.Collector):
    """Gauge by server whose values are read on each scrape."""

    def __init__(
        self, name: str, help_: str, read: Callable[[], Mapping[str, float]]
    ) -> None:
        self._name = name
        self._help = help_
        self._read = read

    def collect(self) -> Iterator[core.GaugeMetricFamily]:
        """Return the gauge with the present values."""
        gauge = core.GaugeMetricFamily(
            self._name, self._help, labels=["server"]
        )
        values = sorted(self._read().items())
        for server, value in values[:MAX_SERVER_SAMPLES]:
            gauge.add_metric([server], value)
        yield gauge

    def describe(self) -> list[core.GaugeMetricFamily]:
        """Return the gauge without values, which need a running loop."""
        return [
            core.GaugeMetricFamily(self._name, self._help, labels=["server"])
        ]


class RequestMetrics:
    """Request metrics of one instance.

    Attributes
    ----------
    registry : CollectorRegistry
        Registry that is exposed to scrapes.
    """

    def __init__(self) -> None:
        self.registry = prometheus_client.CollectorRegistry()
        self._requests = prometheus_client.Counter(
            "tarragonhinge_gateway_requests",
            "Requests of callers by outcome and reason.",
            ["outcome", "reason"],
            registry=self.registry,
        )
        self._attempts = prometheus_client.Counter(
            "tarragonhinge_gateway_attempts_failed",
            "Attempts at servers that gave no answer for the caller.",
            ["outcome"],
            registry=self.registry,
        )
        self._forwarded = prometheus_client.Counter(
            "tarragonhinge_gateway_requests_forwarded",
            "Requests forwarded to other instances, by outcome there.",
            ["peer", "outcome"],
            registry=self.registry,
        )
        self._taken_over = prometheus_client.Counter(
            "tarragonhinge_gateway_requests_taken_over",
            "Requests that other instances have forwarded, by outcome.",
            ["origin", "outcome"],
            registry=self.registry,
        )
        self._latency = prometheus_client.Histogram(
            "tarragonhinge_gateway_latency_seconds",
            "Time from a request's last byte to its final answer.",
            ["outcome"],
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )

    def watch(self, name: str, help_: str, read: Callable[[], float]) -> None:
        """Add a gauge whose value is read on each scrape."""
        gauge = prometheus_client.Gauge(
            f"tarragonhinge_gateway_{name}", help_, registry=self.registry
        )
        gauge.set_function(read)

    def watch_servers(
        self, name: str, help_: str, read: Callable[[], Mapping[str, float]]
    ) -> None:
        """Add a gauge by server whose values are read on each scrape."""
        self.registry.register(
            _ServerGauge(f"tarragonhinge_gateway_{name}", help_, read)
        )

    def record(self, *, outcome: str, reason: str, elapsed_ms: int) -> None:
        """Record a completed request."""
        self._requests.labels(outcome=outcome, reason=reason).inc()
        self._latency.labels(outcome=outcome).observe(elapsed_ms / 1000)

    def record_forwarded(self, peer: str, outcome: str) -> None:
        """Record a request that was forwarded to another instance."""
        self._forwarded.labels(peer=peer, outcome=outcome).inc()

    def record_taken_over(self, origin: str, outcome: str) -> None:
        """Record a request that another instance has forwarded."""
        self._taken_over.labels(origin=origin, outcome=outcome).inc()

    def record_attempt(self, outcome: str) -> None:
        """Record a failed attempt."""
        self._attempts.labels(outcome=outcome).inc()
