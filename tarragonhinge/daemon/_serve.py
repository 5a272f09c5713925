"""Daemon that runs one instance until it receives a signal."""

import asyncio
import signal

from absl import logging

from tarragonhinge.daemon import _instance
from tarragonhinge.daemon import _listeners
from tarragonhinge.daemon import _platform
from tarragonhinge import peers
from tarragonhinge import settings


async def serve(options: settings.Settings) -> int:
    """Run an instance until SIGTERM or SIGINT.

    The first signal starts a graceful stop; a second one stops the instance
    immediately.

    Returns
    -------
    int
        Exit status: 0 after a graceful stop, 1 if a second signal ended it.
    """
    keys = None
    if options.peer_keys:
        keys = peers.load_keys(options.peer_keys)
    instance = _instance.Instance(
        options=options,
        platform=_platform.connect_platform(options),
        transport=peers.ZmqTransport(address=options.peers, keys=keys),
    )
    listeners = _listeners.Listeners(instance=instance)
    signals: asyncio.Queue[signal.Signals] = asyncio.Queue()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, signals.put_nowait, number)
    await instance.start()
    await listeners.start()
    logging.info("serving callers=%s", options.callers)
    await signals.get()
    stopping = asyncio.create_task(instance.stop())
    second_signal = asyncio.create_task(signals.get())
    await asyncio.wait(
        {stopping, second_signal}, return_when=asyncio.FIRST_COMPLETED
    )
    if not stopping.done():
        stopping.cancel()
        logging.warning(
            "stop ended early cut_off=%d", instance.count_requests_in_flight()
        )
        await instance.frontend.abort()
        await instance.kill()
        return 1
    second_signal.cancel()
    await listeners.stop()
    return 0
