"""The operators' table as kept in the platform's services."""

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

TABLE_KEY = "configuration/table"

#: Advice to an operator whose edit met an outage.
RETRY_MS = 2000

#: How long an edit waits for a lost answer to be resolved.
RESOLVE_LIMIT_MS = 8000


class ConfigurationStore:
    """Reads the operators' table and applies edits to it.

    Each version is an immutable object, stored before the small row
    that names it is replaced.

    Parameters
    ----------
    table : TableClient
        The platform's table service.
    objects : ObjectClient
        The platform's object store.
    committer : Committer
        Resolves lost answers.
    clock : Clock or None
        Gives the wall time of edits and bounds waits.

    Attributes
    ----------
    fetches : int
        Objects read.
    damaged : int
        Rows and objects that could not be decoded.
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
        """Return the stored table; version 0 if there is none."""
        head = await self.load_head()
        if isinstance(head, stores.Unavailable):
            return head
        if head is None:
            return _table.OperatorsTable()
        record = await self._fetch(head.latest)
        if isinstance(record, stores.Unavailable):
            return record
        self._cached = record
        return record.make_table()

    async def load_head(
        self,
    ) -> _version.TableHead | None | stores.Unavailable:
        """Return the row that names the stored version, or None."""
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
        """Return a version of the history, or None if there is none."""
        head = await self.load_head()
        while isinstance(head, _version.TableHead):
            edit = head.find_edit(version)
            if edit is not None:
                return await self._fetch(edit)
            oldest = head.edits[0]
            if not 0 < version < oldest.version:
                return None
            record = await self._fetch(oldest)
            if isinstance(record, stores.Unavailable):
                return record
            head = record.head
        return head

    async def load_history(
        self, *, limit: int = 100
    ) -> list[_edit.EditSummary] | stores.Unavailable:
        """Return the latest accepted edits, the newest first."""
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
            record = await self._fetch(edits[-1])
            if isinstance(record, stores.Unavailable):
                return record
            head = record.head
        return head or []

    async def _fetch(
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

    def _report_damage(self, name: str, why: object) -> stores.Unavailable:
        if not self.damaged:
            logging.error("stored table damaged name=%s why=%s", name, why)
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
            The whole content.
        expected : TableVersion
            Version that was edited.
        note : EditNote or None
            Id, reason and author.

        Raises
        ------
        EditIdReused
            If the id belongs to an accepted edit of other content.
        """
        note = note or _edit.EditNote(edit_id=_edit.make_edit_id())
        head = await self.load_head()
        if isinstance(head, stores.Unavailable):
            return _refuse()
        edits = head.edits if head else []
        if expected != (head.latest.version if head else 0):
            return await self._settle(expected, note, rows)
        if head is not None:
            record = await self._fetch(head.latest)
            if isinstance(record, stores.Unavailable):
                return _refuse()
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
            edits=[*edits, edit][-_version.RECENT_EDITS :]
        )
        if not await self._put_object(head, encoded):
            return _refuse()
        result = await self._commit(head, expected)
        if result is None:
            return await self._settle(expected, note, rows)
        return result

    async def _put_object(
        self, head: _version.TableHead, encoded: bytes
    ) -> bool:
        """Store a version's object, unless an earlier try did."""
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
        """Replace the row; None if it had another version already."""
        transaction = stores.Transaction(
            write_id=stores.make_write_id(),
            checks=[stores.Check(key=TABLE_KEY, version=expected)],
            puts=[stores.Put(key=TABLE_KEY, value=msgspec.json.encode(head))],
        )
        note = head.latest.note
        try:
            result = await asyncio.wait_for(
                self._committer.commit(transaction),
                RESOLVE_LIMIT_MS / base.MS_PER_S,
            )
        except TimeoutError:
            return _edit.EditUnresolved(
                edit_id=note.edit_id, retry_after_ms=RETRY_MS
            )
        if isinstance(result, stores.Unavailable):
            return _refuse()
        if isinstance(result, stores.Conflict):
            return None
        logging.info(
            "edit accepted version=%d edit_id=%s",
            head.latest.version,
            note.edit_id,
        )
        return _edit.Accepted(version=head.latest.version)

    async def _settle(
        self,
        expected: base.TableVersion,
        note: _edit.EditNote,
        rows: list[_row.ServiceRow],
    ) -> _edit.EditResult:
        """Tell a lost race from an edit that was stored before.

        An edit is stored as the version after the expected one or not
        at all, so that version of the history decides.
        """
        version = base.TableVersion(expected + 1)
        record = await self.load_version(version)
        if isinstance(record, stores.Unavailable):
            return _unresolve(note)
        if record is not None and record.edit_id == note.edit_id:
            return _recognize(record, rows)
        return await self._describe_conflict(expected)

    async def _describe_conflict(
        self, expected: base.TableVersion
    ) -> _edit.EditResult:
        current = await self.load()
        record = await self.load_version(expected)
        if isinstance(current, stores.Unavailable):
            return _refuse()
        if isinstance(record, stores.Unavailable):
            return _refuse()
        before = record.rows if record else []
        if expected > current.version:
            before = current.rows
        return _edit.EditConflict(
            current=current, changes=_diff.diff_rows(before, current.rows)
        )


def _refuse() -> _edit.EditRefused:
    return _edit.EditRefused(retry_after_ms=RETRY_MS)


def _unresolve(note: _edit.EditNote) -> _edit.EditUnresolved:
    return _edit.EditUnresolved(edit_id=note.edit_id, retry_after_ms=RETRY_MS)


def _recognize(
    record: _version.VersionRecord, rows: list[_row.ServiceRow]
) -> _edit.Accepted:
    stored = record.head.latest
    if record.rows != rows:
        raise _edit.EditIdReused(
            problem=f"edit_id={stored.note.edit_id!r} is that of version "
            f"{stored.version}, whose content is another",
            remedy="leave the id out, or give a new one",
        )
    return _edit.Accepted(version=stored.version)


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
