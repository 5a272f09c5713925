"""Checks of operators' edits before they are stored."""

import collections

from tarragonhinge import base
from tarragonhinge.configuration import _check
from tarragonhinge.configuration import _edit
from tarragonhinge.configuration import _problem
from tarragonhinge.configuration import _row
from tarragonhinge.configuration import _store
from tarragonhinge import stores


class VersionUnknown(base.TarragonhingeError):
    """The requested version is not in the history."""


class TableEditor:
    """Checks edits of the table and stores those that pass.

    Parameters
    ----------
    store : ConfigurationStore
        Store of the table.
    known : KnownNames
        Registered names that cells may refer to.

    Attributes
    ----------
    results : Counter
        Number of edits by the class name of their result.
    """

    #: Class names that are counted in `results`.
    RESULTS = (
        _edit.Accepted.__name__,
        _edit.Unchanged.__name__,
        _edit.EditConflict.__name__,
        _edit.EditRefused.__name__,
        _edit.EditUnresolved.__name__,
        _problem.TableError.__name__,
    )

    def __init__(
        self,
        *,
        store: _store.ConfigurationStore,
        known: _check.KnownNames,
    ) -> None:
        self.store = store
        self.results: collections.Counter[str] = collections.Counter()
        self._known = known

    async def apply(
        self,
        rows: list[_row.ServiceRow],
        *,
        expected: base.TableVersion,
        note: _edit.EditNote,
        flags: _check.EditFlags | None = None,
    ) -> _edit.EditResult:
        """Check rows against the stored version and store them.

        Parameters
        ----------
        rows : list of ServiceRow
            All rows of the edited table.
        expected : TableVersion
            Version on which the edit is based.
        note : EditNote
            Id, reason and author of the edit.
        flags : EditFlags or None
            Kinds of problems to override; None for none.

        Raises
        ------
        TableError
            With every problem that `flags` does not permit.
        """
        result = await self._apply(rows, expected, note, flags)
        self.results[type(result).__name__] += 1
        return result

    async def _apply(
        self,
        rows: list[_row.ServiceRow],
        expected: base.TableVersion,
        note: _edit.EditNote,
        flags: _check.EditFlags | None,
    ) -> _edit.EditResult:
        current = await self.store.load()
        if isinstance(current, stores.Unavailable):
            return _edit.EditRefused(retry_after_ms=_store.RETRY_AFTER_MS)
        if current.version == expected and rows != current.rows:
            self._check_rows(rows, current.rows, flags)
        return await self.store.apply_edit(rows, expected=expected, note=note)

    async def check(
        self,
        rows: list[_row.ServiceRow],
        *,
        flags: _check.EditFlags | None = None,
    ) -> base.TableVersion | stores.Unavailable:
        """Check rows against the stored version and return its number.

        Raises
        ------
        TableError
            With every problem that `flags` does not permit.
        """
        current = await self.store.load()
        if isinstance(current, stores.Unavailable):
            return current
        self._check_rows(rows, current.rows, flags)
        return current.version

    def _check_rows(
        self,
        rows: list[_row.ServiceRow],
        current: list[_row.ServiceRow],
        flags: _check.EditFlags | None,
    ) -> None:
        try:
            _check.check_table(
                rows, known=self._known, current=current, flags=flags
            )
        except _problem.TableError:
            self.results["TableError"] += 1
            raise

    async def rollback(
        self,
        version: base.TableVersion,
        *,
        expected: base.TableVersion,
        note: _edit.EditNote,
        flags: _check.EditFlags | None = None,
    ) -> _edit.EditResult:
        """Store the content of an earlier version as a new one.

        Raises
        ------
        VersionUnknown
            If the version is not in the history.
        TableError
            If the content of that version no longer passes the checks.
        """
        record = await self.store.load_version(version)
        if isinstance(record, stores.Unavailable):
            return _edit.EditRefused(retry_after_ms=_store.RETRY_AFTER_MS)
        if record is None:
            raise VersionUnknown(
                problem=f"version={version} is not in the history",
                remedy="choose one that the history lists",
            )
        return await self.apply(
            record.rows, expected=expected, note=note, flags=flags
        )
