"""Wait for an event with a timeout on the process's clock."""

import asyncio

from tarragonhinge import base


async def wait_event(
    event: asyncio.Event, *, clock: base.Clock, timeout_ms: int
) -> None:
    """Wait until an event is set or the timeout expires.

    Parameters
    ----------
    event : asyncio.Event
        The event.
    clock : Clock
        Clock on which the timeout is measured.
    timeout_ms : int
        Longest time to wait.
    """
    tasks = {
        asyncio.ensure_future(event.wait()),
        asyncio.ensure_future(clock.sleep(timeout_ms)),
    }
    try:
        await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
    finally:
        for task in tasks:
            task.cancel()
