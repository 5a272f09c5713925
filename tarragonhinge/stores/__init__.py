"""The platform's table service and object store."""

from tarragonhinge.stores._commit import Committer
from tarragonhinge.stores._commit import make_write_id
from tarragonhinge.stores._http import HttpObjectClient
from tarragonhinge.stores._http import HttpTableClient
from tarragonhinge.stores._http import ReadRequest
from tarragonhinge.stores._memory import MemoryObjects
from tarragonhinge.stores._memory import MemoryTable
from tarragonhinge.stores._objects import ObjectClient
from tarragonhinge.stores._rows import Check
from tarragonhinge.stores._rows import Committed
from tarragonhinge.stores._rows import Conflict
from tarragonhinge.stores._rows import Put
from tarragonhinge.stores._rows import ReadResult
from tarragonhinge.stores._rows import Row
from tarragonhinge.stores._rows import Transaction
from tarragonhinge.stores._rows import TransactResult
from tarragonhinge.stores._rows import Unavailable
from tarragonhinge.stores._table import TableClient

__all__ = [
    "Check",
    "Committed",
    "Committer",
    "Conflict",
    "HttpObjectClient",
    "HttpTableClient",
    "MemoryObjects",
    "MemoryTable",
    "ObjectClient",
    "Put",
    "ReadRequest",
    "ReadResult",
    "Row",
    "TableClient",
    "TransactResult",
    "Transaction",
    "Unavailable",
    "make_write_id",
]
