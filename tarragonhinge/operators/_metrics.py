"""Export of an instance's metrics to Prometheus."""

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
    """Collector that reads the instance's metrics on each scrape.

    Parameters
    ----------
    read_samples : callable
        Returns the current samples.
    """

    def __init__(
        self, *, read_samples: Callable[[], list[catalog.Sample]]
    ) -> None:
        self._read_samples = read_samples

    def collect(self) -> Iterator[core.Metric]:
        """Yield all metrics, with the samples of each grouped."""
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
    """Return the metrics in the Prometheus text format."""
    metrics_registry = prometheus_client.CollectorRegistry()
    metrics_registry.register(collector)
    return prometheus_client.generate_latest(metrics_registry)
