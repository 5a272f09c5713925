"""Waits for an event or for time, whichever comes first."""

import asyncio

from tarragonhinge import base


async def wait_event(
    event: asyncio.Event, *, clock: base.Clock, timeout_ms: int
) -> None:
    """Return once an event is set, after `timeout_ms` at the latest.

    The time passes on the process's own clock.
    """
    waits = {
        asyncio.ensure_future(event.wait()),
        asyncio.ensure_future(clock.sleep(timeout_ms)),
    }
    try:
        await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
    finally:
        for wait in waits:
            wait.cancel()
