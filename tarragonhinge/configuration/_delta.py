"""Deltas between versions of the operators' table."""

import collections

import msgspec

from tarragonhinge import base
from tarragonhinge.configuration import _row
from tarragonhinge.configuration import _table

#: Maximum number of previous versions kept as bases of deltas.
MAX_DELTA_BASES = 16


class TableDelta(msgspec.Struct, frozen=True, kw_only=True):
    """Difference between a version of the table and an earlier one.

    Parameters
    ----------
    base_version : TableVersion
        Version to which the delta applies; 0 for the empty table.
    version : TableVersion
        Version that results from applying the delta.
    services : list of ServiceName or None
        All services in the order of their rows; None if the services of
        the base version are the same, in the same order.
    rows : list of ServiceRow
        Rows that were added or changed.
    """

    base_version: base.TableVersion
    version: base.TableVersion
    services: list[base.ServiceName] | None = None
    rows: list[_row.ServiceRow] = []

    def apply(
        self, table: _table.OperatorsTable
    ) -> _table.OperatorsTable | None:
        """Return the version that results from applying the delta.

        Parameters
        ----------
        table : OperatorsTable
            The base version.

        Returns
        -------
        OperatorsTable or None
            None if `table` is not the base version, or if a listed
            service has a row in neither the table nor the delta.
        """
        if table.version != self.base_version:
            return None
        rows_by_service = {row.service: row for row in table.rows}
        services = (
            list(rows_by_service) if self.services is None else self.services
        )
        rows_by_service.update((row.service, row) for row in self.rows)
        if any(service not in rows_by_service for service in services):
            return None
        return _table.OperatorsTable(
            version=self.version,
            rows=[rows_by_service[name] for name in services],
        )


def compute_delta(
    old: _table.OperatorsTable, new: _table.OperatorsTable
) -> TableDelta:
    """Return the delta from one version to another.

    Examples
    --------
    >>> old = _table.OperatorsTable(
    ...     version=1, rows=[_row.ServiceRow(service="a")])
    >>> new = _table.OperatorsTable(
    ...     version=2, rows=[_row.ServiceRow(service="a", slots=3)])
    >>> compute_delta(old, new).apply(old) == new
    True
    """
    old_rows = {row.service: row for row in old.rows}
    services = [row.service for row in new.rows]
    return TableDelta(
        base_version=old.version,
        version=new.version,
        services=None if services == list(old_rows) else services,
        rows=[row for row in new.rows if old_rows.get(row.service) != row],
    )


class DeltaEncoder:
    """Encodes deltas from earlier versions to the current one.

    Each encoded delta is cached until the version changes.

    Parameters
    ----------
    empty : OperatorsTable
        The empty table, version 0.
    """

    def __init__(self, *, empty: _table.OperatorsTable) -> None:
        self._empty = empty
        self._current = empty
        self._previous: collections.OrderedDict[
            base.TableVersion, _table.OperatorsTable
        ] = collections.OrderedDict()
        self._encoded: dict[base.TableVersion, bytes] = {}

    def advance(self, table: _table.OperatorsTable) -> None:
        """Make a version the current one if it is newer."""
        if table.version <= self._current.version:
            return
        self._previous[self._current.version] = self._current
        while len(self._previous) > MAX_DELTA_BASES:
            self._previous.popitem(last=False)
        self._current = table
        self._encoded.clear()

    def encode(self, version: base.TableVersion) -> bytes:
        """Return the encoded delta from a version to the current one.

        The result is empty if `version` is not older than the current
        one.  For a version that is no longer kept, the delta has the empty
        table as its base.
        """
        if version >= self._current.version:
            return b""
        base_table = self._previous.get(version, self._empty)
        content = self._encoded.get(base_table.version)
        if content is None:
            delta = compute_delta(base_table, self._current)
            content = msgspec.msgpack.encode(delta)
            self._encoded[base_table.version] = content
        return content
