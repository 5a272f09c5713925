"""Clients of the platform's table service, row store and object store."""

from tarragonhinge.stores._claim import Claim
from tarragonhinge.stores._commit import Committer
from tarragonhinge.stores._commit import make_write_id
from tarragonhinge.stores._http import HttpObjectClient
from tarragonhinge.stores._http import HttpTableClient
from tarragonhinge.stores._http import ReadRequest
from tarragonhinge.stores._memory import MemoryObjects
from tarragonhinge.stores._memory import MemoryTable
from tarragonhinge.stores._objects import ObjectClient
from tarragonhinge.stores._row_store import compute_encoded_bytes
from tarragonhinge.stores._row_store import HistoryLost
from tarragonhinge.stores._row_store import Page
from tarragonhinge.stores._row_store import RowCheck
from tarragonhinge.stores._row_store import RowPut
from tarragonhinge.stores._row_store import RowStore
from tarragonhinge.stores._row_store import Snapshot
from tarragonhinge.stores._row_store import StoredRow
from tarragonhinge.stores._row_store import WatchResult
from tarragonhinge.stores._rows import Check
from tarragonhinge.stores._rows import Committed
from tarragonhinge.stores._rows import Conflict
from tarragonhinge.stores._rows import Put
from tarragonhinge.stores._rows import ReadResult
from tarragonhinge.stores._rows import Rejected
from tarragonhinge.stores._rows import Row
from tarragonhinge.stores._rows import Transaction
from tarragonhinge.stores._rows import TransactResult
from tarragonhinge.stores._rows import Unavailable
from tarragonhinge.stores._table import TableClient

__all__ = [
    "Check",
    "Claim",
    "Committed",
    "Committer",
    "Conflict",
    "HistoryLost",
    "HttpObjectClient",
    "HttpTableClient",
    "MemoryObjects",
    "MemoryTable",
    "ObjectClient",
    "Page",
    "Put",
    "ReadRequest",
    "ReadResult",
    "Rejected",
    "Row",
    "RowCheck",
    "RowPut",
    "RowStore",
    "Snapshot",
    "StoredRow",
    "TableClient",
    "TransactResult",
    "Transaction",
    "Unavailable",
    "WatchResult",
    "compute_encoded_bytes",
    "make_write_id",
]
