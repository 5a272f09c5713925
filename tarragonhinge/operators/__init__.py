"""HTTP interface for operators: health, metrics, state and table."""

from tarragonhinge.operators._api import make_application
from tarragonhinge.operators._api import MAX_TABLE_BYTES
from tarragonhinge.operators._messages import EditKind
from tarragonhinge.operators._messages import EditResponse
from tarragonhinge.operators._messages import HistoryDocument
from tarragonhinge.operators._messages import InForceDocument
from tarragonhinge.operators._messages import TableBody
from tarragonhinge.operators._messages import TableDocument
from tarragonhinge.operators._metrics import InstanceCollector
from tarragonhinge.operators._metrics import render_metrics
from tarragonhinge.operators._table import TableApi
from tarragonhinge.operators._token import TokenCheck
from tarragonhinge.operators.catalog import MetricKind
from tarragonhinge.operators.catalog import METRICS
from tarragonhinge.operators.catalog import MetricSpec
from tarragonhinge.operators.catalog import Sample

__all__ = [
    "MAX_TABLE_BYTES",
    "METRICS",
    "EditKind",
    "EditResponse",
    "HistoryDocument",
    "InForceDocument",
    "InstanceCollector",
    "MetricKind",
    "MetricSpec",
    "Sample",
    "TableApi",
    "TableBody",
    "TableDocument",
    "TokenCheck",
    "make_application",
    "render_metrics",
]
