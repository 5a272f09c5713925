"""The operators' table and its versions."""

from tarragonhinge.configuration._check import check_table
from tarragonhinge.configuration._check import EditFlags
from tarragonhinge.configuration._check import KnownNames
from tarragonhinge.configuration._columns import COLUMN_NAMES
from tarragonhinge.configuration._columns import COLUMNS
from tarragonhinge.configuration._columns import ColumnSpec
from tarragonhinge.configuration._columns import format_page
from tarragonhinge.configuration._columns import format_row
from tarragonhinge.configuration._poller import TablePoller
from tarragonhinge.configuration._problem import CellProblem
from tarragonhinge.configuration._problem import ProblemKind
from tarragonhinge.configuration._problem import TableError
from tarragonhinge.configuration._row import KeySource
from tarragonhinge.configuration._row import ServerEntry
from tarragonhinge.configuration._row import ServiceRow
from tarragonhinge.configuration._sheet import format_csv
from tarragonhinge.configuration._sheet import parse_cells
from tarragonhinge.configuration._sheet import parse_csv
from tarragonhinge.configuration._store import Accepted
from tarragonhinge.configuration._store import ConfigurationStore
from tarragonhinge.configuration._store import EditConflict
from tarragonhinge.configuration._store import EditRefused
from tarragonhinge.configuration._store import EditResult
from tarragonhinge.configuration._store import TABLE_KEY
from tarragonhinge.configuration._store import TableView
from tarragonhinge.configuration._table import OperatorsTable

__all__ = [
    "Accepted",
    "COLUMNS",
    "COLUMN_NAMES",
    "CellProblem",
    "ColumnSpec",
    "ConfigurationStore",
    "EditConflict",
    "EditFlags",
    "EditRefused",
    "EditResult",
    "KeySource",
    "KnownNames",
    "OperatorsTable",
    "ProblemKind",
    "ServerEntry",
    "ServiceRow",
    "TABLE_KEY",
    "TableError",
    "TablePoller",
    "TableView",
    "check_table",
    "format_csv",
    "format_page",
    "format_row",
    "parse_cells",
    "parse_csv",
]
