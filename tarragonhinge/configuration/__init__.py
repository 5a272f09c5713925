"""The operators' table: its columns, checks, edits and versions."""

from tarragonhinge.configuration._check import check_table
from tarragonhinge.configuration._check import EditFlags
from tarragonhinge.configuration._check import KnownNames
from tarragonhinge.configuration._columns import COLUMN_NAMES
from tarragonhinge.configuration._columns import COLUMNS
from tarragonhinge.configuration._columns import ColumnSpec
from tarragonhinge.configuration._columns import format_limits
from tarragonhinge.configuration._columns import format_markdown_table
from tarragonhinge.configuration._columns import format_row
from tarragonhinge.configuration._delta import compute_delta
from tarragonhinge.configuration._delta import DeltaEncoder
from tarragonhinge.configuration._delta import TableDelta
from tarragonhinge.configuration._diff import CellChange
from tarragonhinge.configuration._diff import diff_rows
from tarragonhinge.configuration._edit import Accepted
from tarragonhinge.configuration._edit import EditConflict
from tarragonhinge.configuration._edit import EditIdReused
from tarragonhinge.configuration._edit import EditNote
from tarragonhinge.configuration._edit import EditRefused
from tarragonhinge.configuration._edit import EditResult
from tarragonhinge.configuration._edit import EditSummary
from tarragonhinge.configuration._edit import EditUnresolved
from tarragonhinge.configuration._edit import make_edit_id
from tarragonhinge.configuration._edit import Unchanged
from tarragonhinge.configuration._editor import TableEditor
from tarragonhinge.configuration._editor import VersionUnknown
from tarragonhinge.configuration._poller import TablePoller
from tarragonhinge.configuration._problem import CellProblem
from tarragonhinge.configuration._problem import ProblemKind
from tarragonhinge.configuration._problem import TableError
from tarragonhinge.configuration._row import KeySource
from tarragonhinge.configuration._row import ServerEntry
from tarragonhinge.configuration._row import ServiceRow
from tarragonhinge.configuration._spreadsheet import format_csv
from tarragonhinge.configuration._spreadsheet import parse_cells
from tarragonhinge.configuration._spreadsheet import parse_csv
from tarragonhinge.configuration._store import ConfigurationStore
from tarragonhinge.configuration._store import RETRY_AFTER_MS
from tarragonhinge.configuration._store import TABLE_KEY
from tarragonhinge.configuration._store import TableView
from tarragonhinge.configuration._table import OperatorsTable
from tarragonhinge.configuration._version import TableHead
from tarragonhinge.configuration._version import VersionRecord

__all__ = [
    "Accepted",
    "COLUMNS",
    "COLUMN_NAMES",
    "CellChange",
    "CellProblem",
    "ColumnSpec",
    "ConfigurationStore",
    "DeltaEncoder",
    "EditConflict",
    "EditFlags",
    "EditIdReused",
    "EditNote",
    "EditRefused",
    "EditResult",
    "EditSummary",
    "EditUnresolved",
    "KeySource",
    "KnownNames",
    "OperatorsTable",
    "ProblemKind",
    "ServerEntry",
    "ServiceRow",
    "RETRY_AFTER_MS",
    "TABLE_KEY",
    "TableDelta",
    "TableEditor",
    "TableError",
    "TableHead",
    "TablePoller",
    "TableView",
    "Unchanged",
    "VersionRecord",
    "VersionUnknown",
    "check_table",
    "compute_delta",
    "diff_rows",
    "format_csv",
    "format_limits",
    "format_markdown_table",
    "format_row",
    "make_edit_id",
    "parse_cells",
    "parse_csv",
]
