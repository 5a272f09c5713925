"""How versions of the table are stored."""

import hashlib

import msgspec

from tarragonhinge import base
from tarragonhinge.configuration import _edit
from tarragonhinge.configuration import _row
from tarragonhinge.configuration import _table

#: Edits that the row names; each object names as many before its own,
#: so that the history is a chain of objects.
RECENT_EDITS = 8


class TableHead(msgspec.Struct, frozen=True, kw_only=True):
    """The small row that all instances poll.

    Parameters
    ----------
    edits : list of EditSummary
        The latest accepted edits, the newest last; the newest is the
        stored version.
    """

    edits: list[_edit.EditSummary]

    @property
    def latest(self) -> _edit.EditSummary:
        """Return the edit that made the stored version."""
        return self.edits[-1]

    def find_edit(
        self, version: base.TableVersion
    ) -> _edit.EditSummary | None:
        """Return the edit that made a version, if it is named here."""
        for edit in self.edits:
            if edit.version == version:
                return edit
        return None


class VersionRecord(msgspec.Struct, frozen=True, kw_only=True):
    """The immutable object that holds one version.

    Parameters
    ----------
    head : TableHead
        This edit and those before it.
    rows : list of ServiceRow
        The content.
    """

    head: TableHead
    rows: list[_row.ServiceRow]

    def make_table(self) -> _table.OperatorsTable:
        """Return the version as a table."""
        version = self.head.latest.version
        return _table.OperatorsTable(version=version, rows=self.rows)


def compute_digest(rows: list[_row.ServiceRow]) -> str:
    """Return the SHA-256 of rows, in hexadecimal."""
    return hashlib.sha256(msgspec.json.encode(rows)).hexdigest()


def make_object_name(edit: _edit.EditSummary) -> str:
    """Return the name of a version's object.

    Racing edits have different names, since their ids differ.
    """
    return (
        f"configuration/{edit.version}-{edit.note.edit_id}-{edit.digest[:16]}"
    )
