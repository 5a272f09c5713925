"""HTTP listeners of an instance."""

from aiohttp import web

from tarragonhinge import base
from tarragonhinge.daemon import _instance
from tarragonhinge import http1
from tarragonhinge import operators


class Listeners:
    """HTTP listeners for callers and operators of one instance.

    Parameters
    ----------
    instance : Instance
        Instance that serves the requests.
    shutdown_timeout_s : float
        Time for which `stop` waits for requests in flight, in seconds.
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
        """Start listening for operators and for callers."""
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
        callers_application = instance.frontend.make_application()
        self._runners = [
            await self._listen(
                operators_application, instance.options.operators
            ),
            await self._listen(callers_application, instance.options.callers),
        ]

    async def _listen(
        self, application: web.Application, address: base.Address
    ) -> web.AppRunner:
        return await http1.listen(
            application,
            address,
            shutdown_timeout_s=self._shutdown_timeout_s,
        )

    async def stop(self) -> None:
        """Close both listeners."""
        for runner in self._runners:
            await runner.cleanup()
