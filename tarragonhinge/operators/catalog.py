"""Catalog of the metrics of an instance.

The tables of ``docs/METRICS.md`` are generated from the catalog.
"""

import dataclasses
import enum

from tarragonhinge import base


class MetricKind(enum.Enum):
    """Type of a metric."""

    COUNTER = "counter"
    GAUGE = "gauge"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class MetricSpec:
    """Definition of a metric.

    Parameters
    ----------
    name : str
        Name of the metric, without the suffix ``_total`` of counters.
    kind : MetricKind
        Type of the metric.
    unit : str
        Unit of its values.
    help : str
        Description of the metric, in one line.
    labels : tuple of str
        Names of its labels, each of bounded cardinality.
    """

    name: str
    kind: MetricKind
    unit: str
    help: str
    labels: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Sample:
    """A value of a metric with its labels.

    Parameters
    ----------
    metric : MetricSpec
        Definition of the metric.
    value : float
        Value of the metric.
    labels : tuple of str
        Values of the labels, in the order of the metric's `labels`.
    """

    metric: MetricSpec
    value: float
    labels: tuple[str, ...] = ()

    def __post_init__(self) -> None:
        """Check that there is one value for each label."""
        if len(self.labels) != len(self.metric.labels):
            raise base.ParameterError(
                problem=f"{self.metric.name} has labels={self.labels!r}",
                remedy=f"give values of {self.metric.labels!r}",
            )


METRICS: list[MetricSpec] = []


def _define(name: str, kind: MetricKind, unit: str, help_: str, *labels: str):
    metric = MetricSpec(
        name=f"tarragonhinge_{name}",
        kind=kind,
        unit=unit,
        help=help_,
        labels=labels,
    )
    METRICS.append(metric)
    return metric


_COUNTER = MetricKind.COUNTER
_GAUGE = MetricKind.GAUGE

#: Possible values of each label, for the documentation.
LABEL_VALUES = {
    "outcome": "`Answered`, `NotRun`, `Unknown`",
    "shard": "shards that the instance leads: services x regions at most",
    "server": "backend servers of the shards that the instance leads",
    "result": "`Accepted`, `Unchanged`, `EditConflict`, `EditRefused`, "
    "`EditUnresolved`, `TableError`",
}

READY = _define(
    "ready", _GAUGE, "0 or 1", "Whether callers should be sent here."
)
REQUESTS = _define(
    "requests",
    _COUNTER,
    "requests",
    "Requests of callers by outcome.",
    "outcome",
)
IN_FLIGHT = _define(
    "requests_in_flight",
    _GAUGE,
    "requests",
    "Requests of callers that this instance has not answered yet.",
)
REDIRECTS = _define(
    "redirects", _COUNTER, "requests", "Requests sent on to another leader."
)
FORWARDS_LOST = _define(
    "forwards_lost",
    _COUNTER,
    "requests",
    "Requests sent to a leader that gave no answer.",
)
SHARDS_LED = _define(
    "shards_led", _GAUGE, "shards", "Shards that this instance leads."
)
SHARDS_STOOD_BY = _define(
    "shards_stood_by",
    _GAUGE,
    "shards",
    "Shards that this instance stands by for.",
)
AUTHORITY_LEFT = _define(
    "authority_left_seconds",
    _GAUGE,
    "seconds",
    "Time for which the leader may act without another confirmation.",
    "shard",
)
PARTITIONS_ASSIGNED = _define(
    "partitions_assigned",
    _COUNTER,
    "partitions",
    "Churn: partitions that were given an owner.",
    "shard",
)
IMBALANCE_RATIO = _define(
    "imbalance_ratio",
    _GAUGE,
    "ratio",
    "Imbalance: partitions of the fullest server by weight against the "
    "mean; 1 is even.",
    "shard",
)
PARTITIONS_UNSERVED = _define(
    "partitions_unserved",
    _GAUGE,
    "partitions",
    "Partitions that no server can serve now.",
    "shard",
)
UNAVAILABLE_PARTITION_SECONDS = _define(
    "unavailable_partition_seconds",
    _COUNTER,
    "partition-seconds",
    "Unavailable time: sum over partitions of the time that no server "
    "could serve them while this instance led.",
    "shard",
)
SERVER_RUNNING = _define(
    "server_requests_running",
    _GAUGE,
    "requests",
    "Requests that take a slot of a server.",
    "shard",
    "server",
)
SERVER_WAITING = _define(
    "server_requests_waiting",
    _GAUGE,
    "requests",
    "Requests that wait for a slot of a server.",
    "shard",
    "server",
)
TABLE_VERSION = _define(
    "table_version",
    _GAUGE,
    "version",
    "Version of the operators' table in force.",
)
FLEET_TABLE_VERSION = _define(
    "fleet_table_version",
    _GAUGE,
    "version",
    "Lowest version in force on the instances that report, as a poller "
    "knows it.",
)
FLEET_INSTANCES = _define(
    "fleet_instances",
    _GAUGE,
    "instances",
    "Instances that report their version, as a poller knows them.",
)
FLEET_LAGGING = _define(
    "fleet_lagging",
    _GAUGE,
    "instances",
    "Instances known to lag or to be silent; at most 20 for each zone.",
)
TABLE_READ_FAILURES = _define(
    "table_read_failures",
    _COUNTER,
    "reads",
    "Reads of the stored table without an answer.",
)
TABLE_DAMAGED = _define(
    "table_damaged",
    _COUNTER,
    "reads",
    "Reads of the stored table that could not be decoded.",
)
EDITS = _define(
    "edits",
    _COUNTER,
    "edits",
    "Edits of the table that this instance took, by result.",
    "result",
)
TOKENS_REFUSED = _define(
    "operator_tokens_refused",
    _COUNTER,
    "requests",
    "Requests on the operators' address without an accepted token.",
)


def format_markdown_table() -> str:
    """Return the Markdown tables of metrics for ``docs/METRICS.md``."""
    lines = [
        "| name | kind | unit | labels | meaning |",
        "|---|---|---|---|---|",
    ]
    for metric in METRICS:
        suffix = "_total" if metric.kind is MetricKind.COUNTER else ""
        labels = ", ".join(f"`{label}`" for label in metric.labels) or "-"
        lines.append(
            f"| `{metric.name}{suffix}` | {metric.kind.value} "
            f"| {metric.unit} | {labels} | {metric.help} |"
        )
    lines += ["", "| label | values |", "|---|---|"]
    lines += [f"| `{n}` | {values} |" for n, values in LABEL_VALUES.items()]
    return "\n".join(lines) + "\n"
