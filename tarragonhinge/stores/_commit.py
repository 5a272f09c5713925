"""Writes whose outcome is always resolved."""

import random
import uuid

from tarragonhinge import base
from tarragonhinge.stores import _rows
from tarragonhinge.stores import _table

RETRY_BASE_MS = 50
RETRY_CAP_MS = 2000


def make_write_id() -> base.WriteId:
    """Return a new unique write id."""
    return base.WriteId(uuid.uuid4().hex)


class Committer:
    """Resolves lost answers of the table service by reading back.

    A write whose answer was lost is neither repeated nor reported until
    a read shows whether it took effect.

    Parameters
    ----------
    table : TableClient
        The service.
    clock : Clock
        Paces the reads.
    rng : random.Random
        Source of jitter.
    """

    def __init__(
        self,
        *,
        table: _table.TableClient,
        clock: base.Clock,
        rng: random.Random | None = None,
    ) -> None:
        self._table = table
        self._clock = clock
        self._rng = rng or random.Random()

    async def commit(
        self, transaction: _rows.Transaction
    ) -> _rows.Committed | _rows.Conflict | _rows.Unavailable:
        """Apply a transaction and return how it ended, once known.

        Returns
        -------
        Committed, Conflict, or Unavailable with ``maybe_written`` False
            The last means that it certainly took no effect.
        """
        result = await self._table.transact(transaction)
        if not isinstance(result, _rows.Unavailable):
            return result
        if not result.maybe_written:
            return result
        return await self._resolve(transaction)

    async def _resolve(
        self, transaction: _rows.Transaction
    ) -> _rows.Committed | _rows.Conflict:
        """Read back until the rows tell whether the write was applied.

        The checked rows move past the checked version sooner or later:
        if the write was not applied, a further write with the same
        checks decides the race between it and a delayed original.
        """
        delay_ms = RETRY_BASE_MS
        while True:
            await self._clock.sleep(self._rng.randint(delay_ms // 2, delay_ms))
            delay_ms = min(delay_ms * 2, RETRY_CAP_MS)
            rows = await self._table.read([p.key for p in transaction.puts])
            if isinstance(rows, _rows.Unavailable):
                continue
            if any(r.write_id == transaction.write_id for r in rows):
                return _rows.Committed()
            result = await self._table.transact(transaction)
            if not isinstance(result, _rows.Unavailable):
                if isinstance(result, _rows.Committed):
                    return result
                return await self._settle_conflict(transaction)

    async def _settle_conflict(
        self, transaction: _rows.Transaction
    ) -> _rows.Committed | _rows.Conflict:
        """Tell a lost race from the delayed original having won it."""
        while True:
            rows = await self._table.read([p.key for p in transaction.puts])
            if not isinstance(rows, _rows.Unavailable):
                break
            await self._clock.sleep(self._rng.randint(1, RETRY_CAP_MS))
        if any(r.write_id == transaction.write_id for r in rows):
            return _rows.Committed()
        return _rows.Conflict()
