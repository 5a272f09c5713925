"""Metrics of an instance for Prometheus."""

from collections.abc import Callable
from collections.abc import Iterator

import prometheus_client
from prometheus_client import core
from prometheus_client import registry


class InstanceCollector(registry.Collector):
    """Reads counters of the running instance when it is scraped.

    Parameters
    ----------
    read_samples : callable
        Returns ``(name, help, kind, labels, value)`` samples, where kind
        is ``counter`` or ``gauge``.
    """

    def __init__(self, *, read_samples: Callable[[], list]) -> None:
        self._read_samples = read_samples

    def collect(self) -> Iterator[core.Metric]:
        """Return all metrics, samples of one name together."""
        families: dict[str, core.Metric] = {}
        for name, text, kind, labels, value in self._read_samples():
            family = families.get(name)
            if family is None:
                make = core.GaugeMetricFamily
                if kind == "counter":
                    make = core.CounterMetricFamily
                family = make(name, text, labels=list(labels))
                families[name] = family
            family.add_metric(list(labels.values()), value)
        yield from families.values()


def render_metrics(collector: InstanceCollector) -> bytes:
    """Return the metrics in Prometheus' text format."""
    collected = prometheus_client.CollectorRegistry()
    collected.register(collector)
    return prometheus_client.generate_latest(collected)
