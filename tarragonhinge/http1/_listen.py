"""Runs `aiohttp` applications."""

from aiohttp import web

from tarragonhinge import base


def split_address(address: base.Address) -> tuple[str, int]:
    """Return the host and the port of an address."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


async def listen(
    application: web.Application,
    address: base.Address,
    *,
    shutdown_timeout_s: float = 60.0,
) -> web.AppRunner:
    """Serve an application on an address.

    Parameters
    ----------
    application : Application
        Application to serve.
    address : Address
        Address to listen on.
    shutdown_timeout_s : float
        Time for which the cleanup waits for requests in flight, in seconds.

    Returns
    -------
    AppRunner
        The running server; its `cleanup` stops it.
    """
    runner = web.AppRunner(
        application,
        access_log=None,
        shutdown_timeout=shutdown_timeout_s,
        handler_cancellation=True,
    )
    await runner.setup()
    host, port = split_address(address)
    await web.TCPSite(runner, host, port).start()
    return runner
