"""In-memory table and object store, for stand-ins and tests."""

from collections.abc import Callable

from tarragonhinge.stores import _objects
from tarragonhinge.stores import _rows
from tarragonhinge.stores import _table


class MemoryTable(_table.TableClient):
    """In-memory table service with the semantics of `TableClient`.

    Attributes
    ----------
    read_count, write_count : int
        Number of reads, and of transactions whether committed or not.
    on_write : callable or None
        Called after each committed transaction.
    """

    def __init__(self) -> None:
        self._rows: dict[str, _rows.Row] = {}
        self.read_count = 0
        self.write_count = 0
        self.on_write: Callable[[], None] | None = None

    async def read(self, keys: list[str]) -> _rows.ReadResult:
        """Return the rows of `keys`, in the order of the keys."""
        self.read_count += 1
        return [self.get_row(key) for key in keys]

    async def transact(
        self, transaction: _rows.Transaction
    ) -> _rows.TransactResult:
        """Apply a transaction if all its checks hold."""
        self.write_count += 1
        for check in transaction.checks:
            if self.get_row(check.key).version != check.version:
                return _rows.Conflict()
        for put in transaction.puts:
            self._rows[put.key] = _rows.Row(
                value=put.value,
                version=self.get_row(put.key).version + 1,
                write_id=transaction.write_id,
            )
        if self.on_write is not None:
            self.on_write()
        return _rows.Committed()

    def get_row(self, key: str) -> _rows.Row:
        """Return a row; a row never written is empty and has version 0."""
        return self._rows.get(key, _rows.Row())


class MemoryObjects(_objects.ObjectClient):
    """In-memory object store."""

    def __init__(self) -> None:
        self._objects: dict[str, bytes] = {}

    async def get(self, name: str) -> bytes | None | _rows.Unavailable:
        """Return the content of an object, or None if it does not exist."""
        return self._objects.get(name)

    async def put(self, name: str, body: bytes) -> bool:
        """Store an object; return True."""
        self._objects[name] = body
        return True
