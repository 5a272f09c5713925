"""The operators' table and its versions."""

from tarragonhinge.configuration._poller import TablePoller
from tarragonhinge.configuration._row import KeySource
from tarragonhinge.configuration._row import ServerEntry
from tarragonhinge.configuration._row import ServiceRow
from tarragonhinge.configuration._store import Accepted
from tarragonhinge.configuration._store import ConfigurationStore
from tarragonhinge.configuration._store import EditConflict
from tarragonhinge.configuration._store import EditRefused
from tarragonhinge.configuration._store import EditResult
from tarragonhinge.configuration._store import TABLE_KEY
from tarragonhinge.configuration._store import TableView
from tarragonhinge.configuration._table import OperatorsTable

__all__ = [
    "TABLE_KEY",
    "Accepted",
    "ConfigurationStore",
    "EditConflict",
    "EditRefused",
    "EditResult",
    "KeySource",
    "OperatorsTable",
    "ServerEntry",
    "ServiceRow",
    "TablePoller",
    "TableView",
]
