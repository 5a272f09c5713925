"""Groups writes that would otherwise be made one by one."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

from tarragonhinge import base

#: Makes a batch of keys known elsewhere; a refusal if that failed.
BatchWriter = Callable[[list[int]], Awaitable[base.NotRun | None]]


class KeyBatcher:
    """Writes keys in batches: all that came while one was under way.

    Parameters
    ----------
    write : callable
        Writes one batch.
    """

    def __init__(self, *, write: BatchWriter) -> None:
        self.batch_count = 0
        self._write = write
        self._pending: dict[int, None] = {}
        self._batch_done: asyncio.Future | None = None
        self._task: asyncio.Task | None = None

    def add(self, number: int) -> asyncio.Future:
        """Add a key; the future tells how its batch went."""
        self._pending[number] = None
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
        """Drop what was not written."""
        if self._task is not None:
            self._task.cancel()
        if self._batch_done is not None:
            self._batch_done.set_result(
                base.NotRun(reason=base.NotRunReason.NOT_LEADER)
            )
            self._batch_done = None
