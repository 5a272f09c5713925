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
    """One version with its history.

    Parameters
    ----------
    head : TableHead
        This edit and those before it.
    rows : list of ServiceRow
        The content.
    """

    head: TableHead
    rows: list[_row.ServiceRow]

    @property
    def edit_id(self) -> str:
        """Return the id of the edit that made the version."""
        return self.head.latest.note.edit_id

    def make_table(self) -> _table.OperatorsTable:
        """Return the version as a table."""
        version = self.head.latest.version
        return _table.OperatorsTable(version=version, rows=self.rows)


class _StoredVersion(msgspec.Struct, frozen=True, kw_only=True):
    """The immutable object that holds one version.

    The rows stay as they were written, since another release, which has
    other columns, would encode them differently.
    """

    head: TableHead
    rows: msgspec.Raw


class DigestError(base.CodecError):
    """The rows of an object are not those that its edit names."""


_stored_decoder = msgspec.json.Decoder(_StoredVersion)
_rows_decoder = msgspec.json.Decoder(list[_row.ServiceRow])


def encode_rows(rows: list[_row.ServiceRow]) -> bytes:
    """Return rows as they are stored."""
    return msgspec.json.encode(rows)


def compute_digest(encoded: bytes) -> str:
    """Return the SHA-256 of encoded rows, in hexadecimal."""
    return hashlib.sha256(encoded).hexdigest()


def encode_version(head: TableHead, encoded: bytes) -> bytes:
    """Return the object of a version with encoded rows."""
    stored = _StoredVersion(head=head, rows=msgspec.Raw(encoded))
    return msgspec.json.encode(stored)


def decode_version(body: bytes, *, digest: str) -> VersionRecord:
    """Return the version in an object.

    Raises
    ------
    msgspec.DecodeError
        If it is none.
    DigestError
        If its rows have another digest.
    """
    stored = _stored_decoder.decode(body)
    encoded = bytes(stored.rows)
    if compute_digest(encoded) != digest:
        raise DigestError(
            problem="the rows have another digest",
            remedy="restore the object in the object store",
        )
    return VersionRecord(head=stored.head, rows=_rows_decoder.decode(encoded))


def make_object_name(edit: _edit.EditSummary) -> str:
    """Return the name of a version's object.

    Racing edits have different names, since their ids differ.
    """
    return (
        f"configuration/{edit.version}-{edit.note.edit_id}-{edit.digest[:16]}"
    )
