"""Writes a service's record under the condition of the leadership."""

import asyncio
from collections.abc import Sequence

from tarragonhinge import base
from tarragonhinge import catalog
from tarragonhinge.ranges import _record
from tarragonhinge import stores

#: Pauses after a write without an answer.
RETRY_MS = 150
RETRY_CAP_MS = 1_000

#: Age of the last write up to which another one is expected to succeed.
CONFIRMED_MS = 250


class LeadershipLostError(base.TarragonhingeError):
    """Another instance coordinates now."""


class RangeRecorder:
    """Keeps the stored record of one service.

    Changes that come while a write is under way share the next one.

    Parameters
    ----------
    store : RowStore
        The store.
    service : ServiceName
        The service.
    term : Term
        The leadership under which it writes.
    condition : RowCheck
        Holds only while the leadership does.
    clock : Clock
        This process's clock.

    Attributes
    ----------
    owners : OwnerMap
        The recorded holders.
    """

    def __init__(
        self,
        *,
        store: stores.RowStore,
        service: base.ServiceName,
        term: base.Term,
        condition: stores.RowCheck,
        clock: base.Clock,
    ) -> None:
        self._store = store
        self._service = service
        self._term = term
        self._condition = condition
        self._clock = clock
        self._version = 0
        self._next_fence = 1
        self._pending: list[tuple[list[catalog.Segment], asyncio.Future]] = []
        self._wake = asyncio.Event()
        self._written_at: int | None = None
        self._is_writing = False
        self.owners = catalog.OwnerMap()

    async def load(self) -> None:
        """Read the record."""
        while True:
            rows = await self._store.read(_record.TABLE)
            if not isinstance(rows, stores.Unavailable):
                break
            await self._clock.sleep(RETRY_MS)
        for row in rows.rows:
            if row.key == self._service:
                record = _record.decode_record(row.value)
                self._version = row.version
                self._next_fence = record.next_fence
                self.owners = catalog.OwnerMap(segments=record.segments)

    def take_fence(self) -> int:
        """Return a fencing token above all before."""
        fence = self._next_fence
        self._next_fence += 1
        return fence

    def confirm(self) -> bool:
        """Return whether the store has just taken a write.

        If it has not, a write that changes nothing is begun, so that a
        later call can tell.  A move that begins without it may leave its
        keys released and unserved until an outage ends.
        """
        now = self._clock.read_boot()
        if (
            self._written_at is not None
            and now - self._written_at < CONFIRMED_MS
        ):
            return True
        if not self._is_writing and not self._pending:
            self._pending.append(
                ([], asyncio.get_running_loop().create_future())
            )
            self._wake.set()
        return False

    async def commit(self, segments: Sequence[catalog.Segment]) -> None:
        """Return once new holders are recorded.

        Raises
        ------
        LeadershipLostError
            If another instance coordinates now.
        """
        future = asyncio.get_running_loop().create_future()
        self._pending.append((list(segments), future))
        self._wake.set()
        await future

    async def run(self) -> None:
        """Write what is pending until cancelled or deposed."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            batch, self._pending = self._pending, []
            if not batch:
                continue
            changed = [s for segments, _ in batch for s in segments]
            self._is_writing = True
            try:
                await self._write(self.owners.replace(changed))
            except LeadershipLostError as error:
                for _, future in batch:
                    if not future.done():
                        future.set_exception(error)
                raise
            finally:
                self._is_writing = False
            self._written_at = self._clock.read_boot()
            for _, future in batch:
                if not future.done():
                    future.set_result(None)

    async def _write(self, owners: catalog.OwnerMap) -> None:
        """Write a record; a lost answer is resolved by reading back."""
        value = _record.encode_record(
            _record.RangeRecord(
                term=self._term,
                next_fence=self._next_fence,
                segments=list(owners.segments),
            )
        )
        pause_ms = RETRY_MS
        while True:
            result = await self._store.write(
                checks=[
                    self._condition,
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
            )
            if await self._is_written(result, value):
                self.owners = owners
                return
            await self._clock.sleep(pause_ms)
            pause_ms = min(RETRY_CAP_MS, 2 * pause_ms)

    async def _is_written(
        self, result: stores.TransactResult, value: bytes
    ) -> bool:
        """Learn the row's version; return False if nothing was written."""
        if isinstance(result, stores.Unavailable) and not result.maybe_written:
            return False
        if isinstance(result, stores.Committed) and result.version:
            self._version = result.version
            return True
        rows = await self._store.read(_record.TABLE)
        if isinstance(rows, stores.Unavailable):
            return False
        row = next((r for r in rows.rows if r.key == self._service), None)
        if row is not None and row.value == value:
            self._version = row.version
            return True
        if isinstance(result, stores.Conflict):
            raise LeadershipLostError(
                problem=f"the record of {self._service} was changed",
                remedy="follow the instance that coordinates now",
            )
        return False
