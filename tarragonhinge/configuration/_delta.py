"""What changed between two versions of the operators' table."""

import collections

import msgspec

from tarragonhinge import base
from tarragonhinge.configuration import _row
from tarragonhinge.configuration import _table

#: Former versions to which a delta can be given.
FORMER_VERSIONS = 16


class TableDelta(msgspec.Struct, frozen=True, kw_only=True):
    """A version of the table as a change of an earlier one.

    Parameters
    ----------
    base_version : TableVersion
        What the delta applies to; 0 for the empty table.
    version : TableVersion
        What it gives.
    services : list of ServiceName or None
        All services in order; None if they are those of the base.
    rows : list of ServiceRow
        Rows that are new or differ.
    """

    base_version: base.TableVersion
    version: base.TableVersion
    services: list[base.ServiceName] | None = None
    rows: list[_row.ServiceRow] = []

    def apply(
        self, table: _table.OperatorsTable
    ) -> _table.OperatorsTable | None:
        """Return the version that the delta gives.

        Returns
        -------
        OperatorsTable or None
            None if `table` is not the base, or lacks a row.
        """
        if table.version != self.base_version:
            return None
        known = {row.service: row for row in table.rows}
        services = list(known) if self.services is None else self.services
        known.update((row.service, row) for row in self.rows)
        if any(service not in known for service in services):
            return None
        return _table.OperatorsTable(
            version=self.version, rows=[known[name] for name in services]
        )


def compute_delta(
    old: _table.OperatorsTable, new: _table.OperatorsTable
) -> TableDelta:
    """Return the change from one version to another.

    Examples
    --------
    >>> old = _table.OperatorsTable(
    ...     version=1, rows=[_row.ServiceRow(service="a")])
    >>> new = _table.OperatorsTable(
    ...     version=2, rows=[_row.ServiceRow(service="a", slots=3)])
    >>> compute_delta(old, new).apply(old) == new
    True
    """
    known = {row.service: row for row in old.rows}
    names = [row.service for row in new.rows]
    return TableDelta(
        base_version=old.version,
        version=new.version,
        services=None if names == list(known) else names,
        rows=[row for row in new.rows if known.get(row.service) != row],
    )


class DeltaEncoder:
    """Encodes what an instance with an earlier version lacks.

    Parameters
    ----------
    empty : OperatorsTable
        The version before the first.
    """

    def __init__(self, *, empty: _table.OperatorsTable) -> None:
        self._empty = empty
        self._current = empty
        self._former: collections.OrderedDict[
            base.TableVersion, _table.OperatorsTable
        ] = collections.OrderedDict()
        self._encoded: dict[base.TableVersion, bytes] = {}

    def advance(self, table: _table.OperatorsTable) -> None:
        """Take the version that is in force from now on."""
        if table.version <= self._current.version:
            return
        self._former[self._current.version] = self._current
        while len(self._former) > FORMER_VERSIONS:
            self._former.popitem(last=False)
        self._current = table
        self._encoded.clear()

    def encode(self, version: base.TableVersion) -> bytes:
        """Return the delta to the current version; empty if none is due.

        The delta of a version that is not kept any more starts from the
        empty table.
        """
        if version >= self._current.version:
            return b""
        old = self._former.get(version, self._empty)
        content = self._encoded.get(old.version)
        if content is None:
            delta = compute_delta(old, self._current)
            content = msgspec.msgpack.encode(delta)
            self._encoded[old.version] = content
        return content
