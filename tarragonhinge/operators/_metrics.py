"""Metrics of an instance for Prometheus."""

from collections.abc import Callable
from collections.abc import Iterator

import prometheus_client
from prometheus_client import core
from prometheus_client import registry

from tarragonhinge.operators import catalog

_FAMILIES = {
    catalog.MetricKind.COUNTER: core.CounterMetricFamily,
    catalog.MetricKind.GAUGE: core.GaugeMetricFamily,
}


class InstanceCollector(registry.Collector):
    """Reads counters of the running instance when it is scraped.

    Parameters
    ----------
    read_samples : callable
        Returns the samples.
    """

    def __init__(
        self, *, read_samples: Callable[[], list[catalog.Sample]]
    ) -> None:
        self._read_samples = read_samples

    def collect(self) -> Iterator[core.Metric]:
        """Return all metrics, samples of one name together."""
        families: dict[str, core.Metric] = {}
        for sample in self._read_samples():
            metric = sample.metric
            family = families.get(metric.name)
            if family is None:
                family = _FAMILIES[metric.kind](
                    metric.name, metric.help, labels=metric.labels
                )
                families[metric.name] = family
            family.add_metric(sample.labels, sample.value)
        yield from families.values()


def render_metrics(collector: InstanceCollector) -> bytes:
    """Return the metrics in Prometheus' text format."""
    collected = prometheus_client.CollectorRegistry()
    collected.register(collector)
    return prometheus_client.generate_latest(collected)
