"""Waits for changes of the catalog view."""

import asyncio

from tarragonhinge import base
from tarragonhinge import catalog


class ViewWaiter:
    """Wakes waiting tasks when the view changes.

    Parameters
    ----------
    view : View
        View to watch.
    """

    def __init__(self, *, view: catalog.View) -> None:
        self._waiters: set[asyncio.Future[None]] = set()
        view.changes.subscribe(self._wake)

    def _wake(self, _: None) -> None:
        for waiter in self._waiters:
            if not waiter.done():
                waiter.set_result(None)

    async def wait(self, *, timeout_ms: float) -> None:
        """Wait until the view changes or `timeout_ms` has passed."""
        waiter = asyncio.get_running_loop().create_future()
        self._waiters.add(waiter)
        try:
            await asyncio.wait([waiter], timeout=timeout_ms / base.MS_PER_S)
        finally:
            self._waiters.discard(waiter)
