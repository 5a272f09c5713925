"""Storage of the operators' table in the platform's services."""

import asyncio

from absl import logging
import msgspec
import reactivex.subject

from tarragonhinge import base
from tarragonhinge.configuration import _diff
from tarragonhinge.configuration import _edit
from tarragonhinge.configuration import _row
from tarragonhinge.configuration import _table
from tarragonhinge.configuration import _version
from tarragonhinge import stores

#: Key of the polled row in the platform's table service.
TABLE_KEY = "configuration/table"

#: Delay after which an operator should retry an edit that failed because
#: the store was unavailable.
RETRY_AFTER_MS = 2000

#: Timeout for committing an edit, including the resolution of a lost
#: response.
RESOLVE_TIMEOUT_MS = 8000


class ConfigurationStore:
    """Reads the operators' table and applies edits to it.

    Each version is an immutable object in the object store.  The object
    is stored before the small row that refers to it is replaced, so that
    the row never refers to a missing object.

    Parameters
    ----------
    table : TableClient
        The platform's table service.
    objects : ObjectClient
        The platform's object store.
    committer : Committer
        Commits transactions and resolves lost responses.
    clock : Clock or None
        Source of the wall time of edits.

    Attributes
    ----------
    fetches : int
        Number of versions that were read from the object store.
    damaged : int
        Number of reads whose row or object was missing or could not be
        decoded.
    """

    def __init__(
        self,
        *,
        table: stores.TableClient,
        objects: stores.ObjectClient,
        committer: stores.Committer,
        clock: base.Clock | None = None,
    ) -> None:
        self.fetches = 0
        self.damaged = 0
        self._table = table
        self._objects = objects
        self._committer = committer
        self._clock = clock or base.Clock()
        self._cached: _version.VersionRecord | None = None
        self._head_decoder = msgspec.json.Decoder(_version.TableHead)

    # Reading -------------------------------------------------------------

    async def load(self) -> _table.OperatorsTable | stores.Unavailable:
        """Return the stored table, or version 0 if there is none."""
        head = await self.load_head()
        if isinstance(head, stores.Unavailable):
            return head
        if head is None:
            return _table.OperatorsTable()
        record = await self._fetch_version(head.latest)
        if isinstance(record, stores.Unavailable):
            return record
        self._cached = record
        return record.make_table()

    async def load_head(
        self,
    ) -> _version.TableHead | None | stores.Unavailable:
        """Return the row with the latest edits, or None if there is none."""
        rows = await self._table.read([TABLE_KEY])
        if isinstance(rows, stores.Unavailable):
            return rows
        if not rows[0].version:
            return None
        try:
            return self._head_decoder.decode(rows[0].value)
        except msgspec.DecodeError as error:
            return self._report_damage(TABLE_KEY, error)

    async def load_version(
        self, version: base.TableVersion
    ) -> _version.VersionRecord | None | stores.Unavailable:
        """Return a version of the table; None if it is not in the history."""
        head = await self.load_head()
        while isinstance(head, _version.TableHead):
            edit = head.find_edit(version)
            if edit is not None:
                return await self._fetch_version(edit)
            oldest = head.edits[0]
            if not 0 < version < oldest.version:
                return None
            record = await self._fetch_version(oldest)
            if isinstance(record, stores.Unavailable):
                return record
            head = record.head
        return head

    async def load_history(
        self, *, limit: int = 100
    ) -> list[_edit.EditSummary] | stores.Unavailable:
        """Return at most `limit` accepted edits, newest first."""
        head = await self.load_head()
        edits: list[_edit.EditSummary] = []
        while isinstance(head, _version.TableHead):
            edits += [
                edit
                for edit in reversed(head.edits)
                if not edits or edit.version < edits[-1].version
            ]
            if len(edits) >= limit or edits[-1].version == 1:
                return edits[:limit]
            record = await self._fetch_version(edits[-1])
            if isinstance(record, stores.Unavailable):
                return record
            head = record.head
        return head or []

    async def _fetch_version(
        self, edit: _edit.EditSummary
    ) -> _version.VersionRecord | stores.Unavailable:
        cached = self._cached
        if cached is not None and cached.head.latest == edit:
            return cached
        name = _version.make_object_name(edit)
        body = await self._objects.get(name)
        self.fetches += 1
        if isinstance(body, stores.Unavailable):
            return body
        if body is None:
            return self._report_damage(name, "missing")
        try:
            return _version.decode_version(body, digest=edit.digest)
        except (msgspec.DecodeError, _version.DigestError) as error:
            return self._report_damage(name, error)

    def _report_damage(self, name: str, reason: object) -> stores.Unavailable:
        if not self.damaged:
            logging.error(
                "stored table damaged name=%s reason=%s", name, reason
            )
        self.damaged += 1
        return stores.Unavailable()

    # Editing -------------------------------------------------------------

    async def apply_edit(
        self,
        rows: list[_row.ServiceRow],
        *,
        expected: base.TableVersion,
        note: _edit.EditNote | None = None,
    ) -> _edit.EditResult:
        """Store `rows` as the version after `expected`.

        Parameters
        ----------
        rows : list of ServiceRow
            All rows of the edited table.
        expected : TableVersion
            Version on which the edit is based.
        note : EditNote or None
            Id, reason and author; None for a new id.

        Raises
        ------
        EditIdReused
            If the id was used for an accepted edit of other content.
        """
        note = note or _edit.EditNote(edit_id=_edit.make_edit_id())
        head = await self.load_head()
        if isinstance(head, stores.Unavailable):
            return _make_refused()
        edits = head.edits if head else []
        if expected != (head.latest.version if head else 0):
            return await self._resolve_mismatch(expected, note, rows)
        if head is not None:
            record = await self._fetch_version(head.latest)
            if isinstance(record, stores.Unavailable):
                return _make_refused()
            if record.rows == rows:
                return _edit.Unchanged(version=expected)
        encoded = _version.encode_rows(rows)
        edit = _edit.EditSummary(
            version=base.TableVersion(expected + 1),
            note=note,
            at_ms=self._clock.read_wall_time(),
            digest=_version.compute_digest(encoded),
        )
        head = _version.TableHead(
            edits=[*edits, edit][-_version.MAX_HEAD_EDITS :]
        )
        if not await self._put_object(head, encoded):
            return _make_refused()
        result = await self._commit(head, expected)
        if result is None:
            return await self._resolve_mismatch(expected, note, rows)
        return result

    async def _put_object(
        self, head: _version.TableHead, encoded: bytes
    ) -> bool:
        """Store a version's object if missing; return False on failure."""
        name = _version.make_object_name(head.latest)
        present = await self._objects.get(name)
        if isinstance(present, stores.Unavailable):
            return False
        if present is not None:
            return True
        body = _version.encode_version(head, encoded)
        return await self._objects.put(name, body)

    async def _commit(
        self, head: _version.TableHead, expected: base.TableVersion
    ) -> _edit.EditResult | None:
        """Replace the polled row; return None on a version mismatch."""
        transaction = stores.Transaction(
            write_id=stores.make_write_id(),
            checks=[stores.Check(key=TABLE_KEY, version=expected)],
            puts=[stores.Put(key=TABLE_KEY, value=msgspec.json.encode(head))],
        )
        note = head.latest.note
        try:
            result = await asyncio.wait_for(
                self._committer.commit(transaction),
                RESOLVE_TIMEOUT_MS / base.MS_PER_S,
            )
        except TimeoutError:
            return _edit.EditUnresolved(
                edit_id=note.edit_id, retry_after_ms=RETRY_AFTER_MS
            )
        if isinstance(result, stores.Unavailable):
            return _make_refused()
        if isinstance(result, stores.Conflict):
            return None
        logging.info(
            "edit accepted version=%d edit_id=%s",
            head.latest.version,
            note.edit_id,
        )
        return _edit.Accepted(version=head.latest.version)

    async def _resolve_mismatch(
        self,
        expected: base.TableVersion,
        note: _edit.EditNote,
        rows: list[_row.ServiceRow],
    ) -> _edit.EditResult:
        """Return the result of an edit whose expected version is not stored.

        Either an earlier attempt stored the edit, or another edit was
        accepted first.  An edit is only ever stored as the version after
        the expected one, so the edit id of that version decides.
        """
        version = base.TableVersion(expected + 1)
        record = await self.load_version(version)
        if isinstance(record, stores.Unavailable):
            return _make_unresolved(note)
        if record is not None and record.edit_id == note.edit_id:
            return _accept_resent_edit(record, rows)
        return await self._describe_conflict(expected)

    async def _describe_conflict(
        self, expected: base.TableVersion
    ) -> _edit.EditResult:
        current = await self.load()
        record = await self.load_version(expected)
        if isinstance(current, stores.Unavailable):
            return _make_refused()
        if isinstance(record, stores.Unavailable):
            return _make_refused()
        before = record.rows if record else []
        if expected > current.version:
            before = current.rows
        return _edit.EditConflict(
            current=current, changes=_diff.diff_rows(before, current.rows)
        )


def _make_refused() -> _edit.EditRefused:
    return _edit.EditRefused(retry_after_ms=RETRY_AFTER_MS)


def _make_unresolved(note: _edit.EditNote) -> _edit.EditUnresolved:
    return _edit.EditUnresolved(
        edit_id=note.edit_id, retry_after_ms=RETRY_AFTER_MS
    )


def _accept_resent_edit(
    record: _version.VersionRecord, rows: list[_row.ServiceRow]
) -> _edit.Accepted:
    stored = record.head.latest
    if record.rows != rows:
        raise _edit.EditIdReused(
            problem=f"edit_id={stored.note.edit_id!r} was used for version "
            f"{stored.version}, which has other content",
            remedy="omit the edit id or use a new one",
        )
    return _edit.Accepted(version=stored.version)


class TableView:
    """The version in force on this instance, which never decreases."""

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
        """Return the stream of versions, starting with the current one."""
        return self._subject

    def advance(self, table: _table.OperatorsTable) -> bool:
        """Put a version in force; return False if it is not newer."""
        if table.version <= self.current.version:
            return False
        self._subject.on_next(table)
        return True
