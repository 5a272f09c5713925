"""Batching of writes to a copy of the request history."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

from tarragonhinge import base

#: Writes a batch of keys to the copy; returns a refusal on failure.
BatchWriter = Callable[[list[int]], Awaitable[base.NotRun | None]]


class KeyBatcher:
    """Writes keys in batches.

    Keys that are added during a write form the next batch.

    Parameters
    ----------
    write : callable
        Writes one batch and returns a refusal on failure.
    """

    def __init__(self, *, write: BatchWriter) -> None:
        self.batch_count = 0
        self._write = write
        self._pending: dict[int, None] = {}
        self._batch_done: asyncio.Future | None = None
        self._task: asyncio.Task | None = None

    def add(self, key_id: int) -> asyncio.Future:
        """Add a key; the future resolves to the result of its batch."""
        self._pending[key_id] = None
        if self._batch_done is None:
            self._batch_done = asyncio.get_running_loop().create_future()
        if self._task is None or self._task.done():
            self._task = asyncio.create_task(self._flush())
        return self._batch_done

    async def _flush(self) -> None:
        while self._pending:
            batch = list(self._pending)
            done = self._batch_done
            self._pending = {}
            self._batch_done = None
            self.batch_count += 1
            done.set_result(await self._write(batch))

    def stop(self) -> None:
        """Stop writing and refuse the keys that wait for the next batch."""
        if self._task is not None:
            self._task.cancel()
        if self._batch_done is not None:
            self._batch_done.set_result(
                base.NotRun(reason=base.NotRunReason.NOT_LEADER)
            )
            self._batch_done = None
