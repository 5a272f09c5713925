"""Differences between two tables, cell by cell."""

from collections.abc import Sequence

import msgspec

from tarragonhinge import base
from tarragonhinge.configuration import _columns
from tarragonhinge.configuration import _row


class CellChange(msgspec.Struct, frozen=True, kw_only=True):
    """A cell that differs between two tables.

    Parameters
    ----------
    service : ServiceName
        Service of the row.
    column : str
        Name of the column.
    before, after : str or None
        Text of the cell in either table; None if the table has no row
        for the service.
    """

    service: base.ServiceName
    column: str
    before: str | None
    after: str | None

    def __str__(self) -> str:
        """Return the change as one line."""
        before = "no row" if self.before is None else repr(self.before)
        after = "no row" if self.after is None else repr(self.after)
        return f"{self.service}, column {self.column}: {before} -> {after}"


def diff_rows(
    before: Sequence[_row.ServiceRow], after: Sequence[_row.ServiceRow]
) -> tuple[CellChange, ...]:
    """Return the cells that differ, ordered by service and column."""
    old_cells = {row.service: _columns.format_row(row) for row in before}
    new_cells = {row.service: _columns.format_row(row) for row in after}
    changes = []
    for service in dict.fromkeys([*old_cells, *new_cells]):
        for column in _columns.COLUMN_NAMES:
            old_text = (
                old_cells[service][column] if service in old_cells else None
            )
            new_text = (
                new_cells[service][column] if service in new_cells else None
            )
            if old_text != new_text:
                changes.append(
                    CellChange(
                        service=service,
                        column=column,
                        before=old_text,
                        after=new_text,
                    )
                )
    return tuple(changes)
