"""Stored form of the versions of the operators' table."""

import hashlib

import msgspec

from tarragonhinge import base
from tarragonhinge.configuration import _edit
from tarragonhinge.configuration import _row
from tarragonhinge.configuration import _table

#: Maximum number of edits in a `TableHead`.  The object of each version
#: holds the head of that version, so older edits are found by following
#: the objects back from the polled row.
MAX_HEAD_EDITS = 8


class TableHead(msgspec.Struct, frozen=True, kw_only=True):
    """Latest edits of the table: the small row that all instances poll.

    Parameters
    ----------
    edits : list of EditSummary
        The latest accepted edits, oldest first; the last one created the
        stored version.
    """

    edits: list[_edit.EditSummary]

    @property
    def latest(self) -> _edit.EditSummary:
        """Return the edit that created the stored version."""
        return self.edits[-1]

    def find_edit(
        self, version: base.TableVersion
    ) -> _edit.EditSummary | None:
        """Return the edit that created a version, or None if not listed."""
        for edit in self.edits:
            if edit.version == version:
                return edit
        return None


class VersionRecord(msgspec.Struct, frozen=True, kw_only=True):
    """One version of the table with its latest edits.

    Parameters
    ----------
    head : TableHead
        The edit that created the version and the edits before it.
    rows : list of ServiceRow
        Rows of the version.
    """

    head: TableHead
    rows: list[_row.ServiceRow]

    @property
    def edit_id(self) -> str:
        """Return the id of the edit that created this version."""
        return self.head.latest.note.edit_id

    def make_table(self) -> _table.OperatorsTable:
        """Return this version as an operators' table."""
        version = self.head.latest.version
        return _table.OperatorsTable(version=version, rows=self.rows)


class _StoredVersion(msgspec.Struct, frozen=True, kw_only=True):
    """Encoded content of the immutable object of one version.

    The rows are kept as encoded by the release that wrote them.  A release
    with other columns would encode them differently and compute another
    digest.
    """

    head: TableHead
    rows: msgspec.Raw


class DigestError(base.CodecError):
    """The rows of an object do not match the digest in its edit."""


_stored_decoder = msgspec.json.Decoder(_StoredVersion)
_rows_decoder = msgspec.json.Decoder(list[_row.ServiceRow])


def encode_rows(rows: list[_row.ServiceRow]) -> bytes:
    """Return rows in their stored encoding, JSON."""
    return msgspec.json.encode(rows)


def compute_digest(encoded: bytes) -> str:
    """Return the SHA-256 digest of encoded rows, in hexadecimal."""
    return hashlib.sha256(encoded).hexdigest()


def encode_version(head: TableHead, encoded: bytes) -> bytes:
    """Return the content of a version's object."""
    stored = _StoredVersion(head=head, rows=msgspec.Raw(encoded))
    return msgspec.json.encode(stored)


def decode_version(body: bytes, *, digest: str) -> VersionRecord:
    """Return the version stored in an object.

    Raises
    ------
    msgspec.DecodeError
        If the content is not a valid encoded version.
    DigestError
        If the digest of the rows differs from `digest`.
    """
    stored = _stored_decoder.decode(body)
    encoded = bytes(stored.rows)
    if compute_digest(encoded) != digest:
        raise DigestError(
            problem="the digest of the stored rows does not match",
            remedy="restore the object in the object store",
        )
    return VersionRecord(head=stored.head, rows=_rows_decoder.decode(encoded))


def make_object_name(edit: _edit.EditSummary) -> str:
    """Return the name of a version's object.

    The name contains the edit id, so that two concurrent edits never
    write the same object.
    """
    return (
        f"configuration/{edit.version}-{edit.note.edit_id}-{edit.digest[:16]}"
    )
