"""Writes the record of a service while this instance is the coordinator."""

import asyncio
from collections.abc import Sequence

import msgspec

from tarragonhinge import base
from tarragonhinge import catalog
from tarragonhinge.ranges import _record
from tarragonhinge import stores

#: First and longest backoff before a failed store call is retried. With a
#: longest one of 1 s, a server that drained right after an outage kept its
#: keys for 1 s more, of the 3 s that it may get requests.
RETRY_DELAY_MS = 150
MAX_RETRY_DELAY_MS = 300

#: Age of the last successful write up to which the store counts as
#: writable.
RECENT_WRITE_MS = 250

#: Number of fencing tokens to skip, for each restore of the store since the
#: record was written, if it may lack the last ones.
SKIPPED_FENCES = 10_000

#: Size of the record, as a fraction of the bound of a row, from which no move
#: adds segments. The rest is for moves that are in progress.
FULL_ROW_FRACTION = 0.9


class LeadershipLostError(base.TarragonhingeError):
    """Another instance has become the coordinator."""


class RangeRecorder:
    """Maintains the stored record of one service.

    Changes that arrive while a write is in progress are batched into the
    next write.

    Parameters
    ----------
    store : RowStore
        Store that holds the record.
    service : ServiceName
        Service whose holders are recorded.
    claim : Claim
        Claim of this instance to be the coordinator.
    first_era : int or UnsetType
        Earliest era in which any instance may have been the coordinator;
        unset if unknown. A record that is missing in a later era may have
        been lost.
    clock : Clock
        This process's clock.
    row_bytes : int
        Longest value of a row that the store accepts, in bytes of base64.

    Attributes
    ----------
    owners : OwnerMap
        Lease holders as last recorded.
    encoded_bytes : int
        Length of the last record written, in bytes of base64.
    is_outdated : bool
        Whether the record that was loaded, or is missing, may lack changes,
        since the store had come back from an older copy.
    is_damaged : bool
        Whether the record that was loaded can't be decoded. It may be of the
        current era.
    """

    def __init__(
        self,
        *,
        store: stores.RowStore,
        service: base.ServiceName,
        claim: stores.Claim,
        first_era: int | msgspec.UnsetType,
        clock: base.Clock,
        row_bytes: int = _record.DEFAULT_ROW_BYTES,
    ) -> None:
        self._store = store
        self._service = service
        self._claim = claim
        self._first_era = first_era
        self._clock = clock
        self._row_bytes = row_bytes
        self.encoded_bytes = 0
        self._is_rejected = False
        self._version = 0
        self._era = 0
        self._next_fence = 1
        self._pending: list[tuple[list[catalog.Segment], asyncio.Future]] = []
        self._wake = asyncio.Event()
        self._written_at: int | None = None
        self._is_writing = False
        self.owners = catalog.OwnerMap()
        self.is_outdated = False
        self.is_damaged = False

    async def load(self) -> None:
        """Read the record; retry until the store answers."""
        row = await self._read_row()
        record = _record.RangeRecord(
            term=self._claim.term, era=self._first_era
        )
        if row is None:
            self.is_outdated = self._first_era != self._era
        else:
            try:
                record = _record.decode_record(row.value)
                self.is_outdated = record.is_outdated(self._era)
            except base.CodecError:
                # What a damaged record held is lost as by a restore.
                self.is_outdated = self.is_damaged = True
            self._next_fence = record.next_fence
            self.owners = catalog.OwnerMap(segments=record.segments)
        if self.is_outdated:
            self._skip_lost_fences(record)

    def _skip_lost_fences(self, record: _record.RangeRecord) -> None:
        """Skip the fencing tokens that the record may lack.

        A former coordinator may have skipped tokens of the same record in an
        earlier era, and used the next ones.
        """
        restores = max(1, self._era - (record.era or 0))
        self._next_fence += restores * SKIPPED_FENCES

    async def _read_row(self) -> stores.StoredRow | None:
        """Read the record's row, its version and the era.

        Retries until the store answers in the era of the claim.
        """
        while True:
            await self._claim.wait_until_current(self._store)
            rows = await self._store.read(_record.TABLE)
            if (
                isinstance(rows, stores.Snapshot)
                and rows.era == self._claim.era
            ):
                break
            await self._clock.sleep(RETRY_DELAY_MS)
        row = next((r for r in rows.rows if r.key == self._service), None)
        self._version = row.version if row is not None else 0
        self._era = rows.era
        return row

    def adopt(self, owners: catalog.OwnerMap) -> None:
        """Take the lease holders from elsewhere instead of the record."""
        self.owners = owners

    def record_again(self) -> None:
        """Write the record once more, since the store has lost it."""
        self._pending.append(([], asyncio.get_running_loop().create_future()))
        self._wake.set()

    def skip_fences(self, fence: int) -> None:
        """Allocate no fencing token up to one that is known to be used."""
        self._next_fence = max(self._next_fence, fence + 1)

    def allocate_fence(self) -> int:
        """Return a fencing token higher than all previous ones."""
        fence = self._next_fence
        self._next_fence += 1
        return fence

    @property
    def is_full(self) -> bool:
        """Whether the record is too long for moves that add segments."""
        return self._is_rejected or (
            self.encoded_bytes >= FULL_ROW_FRACTION * self._row_bytes
        )

    def check_writable(self) -> bool:
        """Return whether the store accepted a write recently.

        If it did not, a write that changes nothing is started, so that a
        later call can return True. After a rejected write, only a change can
        help. A move that starts while the store is
        unavailable would leave its keys released and unserved until the
        outage ends.
        """
        now = self._clock.read_boottime()
        if (
            self._written_at is not None
            and now - self._written_at < RECENT_WRITE_MS
        ):
            return True
        if not (self._is_writing or self._pending or self._is_rejected):
            self._pending.append(
                ([], asyncio.get_running_loop().create_future())
            )
            self._wake.set()
        return False

    async def commit(self, segments: Sequence[catalog.Segment]) -> None:
        """Record new holders; return once the write has succeeded.

        Raises
        ------
        LeadershipLostError
            If another instance has become the coordinator.
        """
        future = asyncio.get_running_loop().create_future()
        self._pending.append((list(segments), future))
        self._wake.set()
        await future

    async def run(self) -> None:
        """Write pending changes until cancelled.

        Raises
        ------
        LeadershipLostError
            If another instance has become the coordinator.
        """
        while True:
            await self._wake.wait()
            self._wake.clear()
            batch, self._pending = self._pending, []
            if not batch:
                continue
            changed = [s for segments, _ in batch for s in segments]
            self._is_writing = True
            try:
                self._is_rejected = not await self._write(
                    self.owners.replace(changed)
                )
            except LeadershipLostError as error:
                for _, future in batch:
                    if not future.done():
                        future.set_exception(error)
                raise
            finally:
                self._is_writing = False
            if self._is_rejected:
                # It is written again together with the next change.
                self._written_at = None
                self._pending = batch + self._pending
                continue
            self._written_at = self._clock.read_boottime()
            for _, future in batch:
                if not future.done():
                    future.set_result(None)

    async def _write(self, owners: catalog.OwnerMap) -> bool:
        """Write the record; read it back if the response was lost.

        Writes again in each era of the store that begins meanwhile.

        Returns
        -------
        bool
            False if the store rejects the record.
        """
        backoff_ms = RETRY_DELAY_MS
        while True:
            await self._claim.wait_until_current(self._store)
            if self._era != self._claim.era:
                await self._read_row()
            value = _record.encode_record(
                _record.RangeRecord(
                    term=self._claim.term,
                    next_fence=self._next_fence,
                    segments=list(owners.segments),
                    era=self._era or msgspec.UNSET,
                ),
                row_bytes=self._row_bytes,
            )
            self.encoded_bytes = stores.compute_encoded_bytes(value)
            result = await self._store.write(
                checks=[
                    self._claim.check,
                    stores.RowCheck(
                        table=_record.TABLE,
                        key=self._service,
                        version=self._version,
                    ),
                ],
                puts=[
                    stores.RowPut(
                        table=_record.TABLE, key=self._service, value=value
                    )
                ],
                era=self._era,
            )
            if isinstance(result, stores.Rejected):
                return False
            if await self._is_written(result, value):
                self.owners = owners
                return True
            await self._clock.sleep(backoff_ms)
            backoff_ms = min(MAX_RETRY_DELAY_MS, 2 * backoff_ms)

    async def _is_written(
        self, result: stores.TransactResult, value: bytes
    ) -> bool:
        """Return whether the write succeeded, and update the row version.

        Raises
        ------
        LeadershipLostError
            If another instance has changed the row.
        """
        if isinstance(result, stores.Unavailable) and not result.maybe_written:
            return False
        if isinstance(result, stores.Committed) and result.version:
            self._version = result.version
            return True
        rows = await self._store.read(_record.TABLE)
        if isinstance(rows, stores.Unavailable) or rows.era != self._era:
            return False
        row = next((r for r in rows.rows if r.key == self._service), None)
        if row is not None and row.value == value:
            self._version = row.version
            return True
        if row is not None and self._is_own(row):
            # A write whose response was lost was applied late.
            self._version = row.version
            return False
        if isinstance(result, stores.Conflict):
            raise LeadershipLostError(
                problem=f"the record of {self._service} was changed by another"
                " instance",
                remedy="step down and follow the new coordinator",
            )
        return False

    def _is_own(self, row: stores.StoredRow) -> bool:
        """Return whether an unexpected version was written in this term."""
        if row.version == self._version:
            return False
        try:
            record = _record.decode_record(row.value)
        except base.CodecError:
            return False
        return record.term == self._claim.term
