"""HTTP listeners of an instance."""

from aiohttp import web

from tarragonhinge import base
from tarragonhinge.daemon import _instance
from tarragonhinge import operators


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
        What to serve.
    address : Address
        Where to listen.
    shutdown_timeout_s : float
        How long a cleanup waits for requests in flight, in seconds.
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


class Listeners:
    """The callers' and the operators' listeners of one instance.

    Parameters
    ----------
    instance : Instance
        Whose listeners they are.
    shutdown_timeout_s : float
        How long a stop waits for requests in flight, in seconds.
    """

    def __init__(
        self,
        *,
        instance: _instance.Instance,
        shutdown_timeout_s: float = 60.0,
    ) -> None:
        self._instance = instance
        self._shutdown_timeout_s = shutdown_timeout_s
        self._runners: list[web.AppRunner] = []

    async def start(self) -> None:
        """Listen on both addresses."""
        instance = self._instance
        collector = operators.InstanceCollector(
            read_samples=instance.read_samples
        )
        operators_application = operators.make_application(
            dump=instance.dump,
            is_ready=instance.is_ready,
            collector=collector,
            table=operators.TableApi(
                editor=instance.editor,
                view=instance.view,
                fetch_fleet=instance.propagator.fetch_fleet_version,
            ),
            tokens=instance.tokens,
        )
        callers_application = instance.front.make_application()
        self._runners = [
            await self._listen(
                operators_application, instance.options.operators
            ),
            await self._listen(callers_application, instance.options.callers),
        ]

    async def _listen(
        self, application: web.Application, address: base.Address
    ) -> web.AppRunner:
        return await listen(
            application,
            address,
            shutdown_timeout_s=self._shutdown_timeout_s,
        )

    async def stop(self) -> None:
        """Close both listeners."""
        for runner in self._runners:
            await runner.cleanup()
