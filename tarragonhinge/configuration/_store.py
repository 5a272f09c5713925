"""The operators' table as kept in the platform's table service."""

import dataclasses

import msgspec
import reactivex.subject

from tarragonhinge import base
from tarragonhinge.configuration import _row
from tarragonhinge.configuration import _table
from tarragonhinge import stores

TABLE_KEY = "configuration/table"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Accepted:
    """An edit is stored as a new version."""

    version: base.TableVersion


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class EditConflict:
    """Another edit was accepted first."""

    current: _table.OperatorsTable


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class EditRefused:
    """The store is out of reach; nothing was stored."""

    retry_after_ms: int


EditResult = Accepted | EditConflict | EditRefused


class ConfigurationStore:
    """Reads the operators' table and applies edits to it.

    Parameters
    ----------
    table : TableClient
        The platform's table service.
    committer : Committer
        Resolves lost answers.
    """

    def __init__(
        self, *, table: stores.TableClient, committer: stores.Committer
    ) -> None:
        self._table = table
        self._committer = committer
        self._decoder = msgspec.json.Decoder(_table.OperatorsTable)

    async def load(self) -> _table.OperatorsTable | stores.Unavailable:
        """Return the stored table; version 0 if there is none."""
        rows = await self._table.read([TABLE_KEY])
        if isinstance(rows, stores.Unavailable):
            return rows
        if not rows[0].version:
            return _table.OperatorsTable()
        return self._decoder.decode(rows[0].value)

    async def apply_edit(
        self,
        rows: list[_row.ServiceRow],
        *,
        expected: base.TableVersion,
    ) -> EditResult:
        """Store `rows` as the version after `expected`."""
        edited = _table.OperatorsTable(
            version=base.TableVersion(expected + 1), rows=rows
        )
        result = await self._committer.commit(
            stores.Transaction(
                write_id=stores.make_write_id(),
                checks=[stores.Check(key=TABLE_KEY, version=expected)],
                puts=[
                    stores.Put(
                        key=TABLE_KEY, value=msgspec.json.encode(edited)
                    )
                ],
            )
        )
        if isinstance(result, stores.Committed):
            return Accepted(version=edited.version)
        if isinstance(result, stores.Unavailable):
            return EditRefused(retry_after_ms=2000)
        current = await self.load()
        if isinstance(current, stores.Unavailable):
            return EditRefused(retry_after_ms=2000)
        return EditConflict(current=current)


class TableView:
    """The version in force on this instance; it only moves forward."""

    def __init__(self) -> None:
        self._subject = reactivex.subject.BehaviorSubject(
            _table.OperatorsTable()
        )

    @property
    def current(self) -> _table.OperatorsTable:
        """Return the version in force."""
        return self._subject.value

    @property
    def changes(self) -> reactivex.Observable:
        """Return the stream of versions, starting with the current."""
        return self._subject

    def advance(self, table: _table.OperatorsTable) -> bool:
        """Put a version in force; False if it is not newer."""
        if table.version <= self.current.version:
            return False
        self._subject.on_next(table)
        return True
