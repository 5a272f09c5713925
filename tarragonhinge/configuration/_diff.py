"""Differences of two tables, cell by cell."""

from collections.abc import Sequence

import msgspec

from tarragonhinge import base
from tarragonhinge.configuration import _columns
from tarragonhinge.configuration import _row


class CellChange(msgspec.Struct, frozen=True, kw_only=True):
    """A cell that differs; a row that came or went lacks one side.

    Parameters
    ----------
    service : ServiceName
        Names the row.
    column : str
        Names the column.
    before, after : str or None
        Its text; None where there is no such row.
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
    """Return what changed, by service and column."""
    old = {row.service: _columns.format_row(row) for row in before}
    new = {row.service: _columns.format_row(row) for row in after}
    changes = []
    for service in dict.fromkeys([*old, *new]):
        for column in _columns.COLUMN_NAMES:
            was = old[service][column] if service in old else None
            now = new[service][column] if service in new else None
            if was != now:
                changes.append(
                    CellChange(
                        service=service, column=column, before=was, after=now
                    )
                )
    return tuple(changes)
