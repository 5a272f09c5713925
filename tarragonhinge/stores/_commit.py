"""Commits whose outcome is known even after a lost response."""

import random
import uuid

from tarragonhinge import base
from tarragonhinge.stores import _rows
from tarragonhinge.stores import _table

#: Maximum delay before the first read that resolves a lost response; it is
#: doubled for each further read.
RETRY_BASE_MS = 50

#: Upper limit of the delay between two of these reads.
RETRY_CAP_MS = 2000


def make_write_id() -> base.WriteId:
    """Return a new unique write id."""
    return base.WriteId(uuid.uuid4().hex)


class Committer:
    """Commits transactions and resolves lost responses by reading back.

    After a lost response, the rows are read back before the transaction is
    repeated or its outcome is reported.

    Parameters
    ----------
    table : TableClient
        Client of the table service.
    clock : Clock
        Clock for the delays between reads.
    rng : random.Random or None
        Source of jitter for the delays.
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
        """Apply a transaction and return its outcome once it is known.

        Returns
        -------
        Committed, Conflict, or Unavailable with ``maybe_written`` False
            Unavailable guarantees that the transaction had no effect.
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
        """Read back until the rows show whether the write was applied.

        If a read does not show the write, the same transaction is sent
        again.  The original may still be delayed and arrive later, but
        its checks let only one of the two take effect.  The checked rows
        thus eventually advance past the checked versions, which decides
        the outcome.
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
                return await self._resolve_conflict(transaction)

    async def _resolve_conflict(
        self, transaction: _rows.Transaction
    ) -> _rows.Committed | _rows.Conflict:
        """Return the outcome of a transaction whose repetition conflicted.

        Either the delayed original was applied after all, or another
        write was applied first.
        """
        while True:
            rows = await self._table.read([p.key for p in transaction.puts])
            if not isinstance(rows, _rows.Unavailable):
                break
            await self._clock.sleep(self._rng.randint(1, RETRY_CAP_MS))
        if any(r.write_id == transaction.write_id for r in rows):
            return _rows.Committed()
        return _rows.Conflict()
