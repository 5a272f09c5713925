"""HTTP endpoints for health checks, metrics and the state."""

from collections.abc import Callable

from aiohttp import web
import msgspec
import prometheus_client

from tarragonhinge import base
from tarragonhinge import http1


class HealthServer:
    """Serves the load balancer's health checks and metric scrapes.

    Parameters
    ----------
    address : Address
        Address to listen on for health checks.
    ready_path : str
        Path of the readiness check.
    metrics_address : Address
        Address to listen on for scrapes.
    is_ready : callable
        Returns whether the load balancer should send callers here.
    registry : CollectorRegistry
        Metrics to expose.
    describe : callable
        Returns the state dump.
    """

    def __init__(
        self,
        *,
        address: base.Address,
        ready_path: str,
        metrics_address: base.Address,
        is_ready: Callable[[], bool],
        registry: prometheus_client.CollectorRegistry,
        describe: Callable[[], dict],
    ) -> None:
        self._address = address
        self._ready_path = ready_path
        self._metrics_address = metrics_address
        self._is_ready = is_ready
        self._registry = registry
        self._describe = describe
        self._runners: list[web.AppRunner] = []

    async def start(self) -> None:
        """Start to listen."""
        health = web.Application()
        health.router.add_get(self._ready_path, self._handle_ready)
        metrics = web.Application()
        metrics.router.add_get("/metrics", self._handle_metrics)
        metrics.router.add_get("/state", self._handle_state)
        self._runners = [
            await http1.listen(health, self._address),
            await http1.listen(metrics, self._metrics_address),
        ]

    async def _handle_ready(self, _: web.Request) -> web.Response:
        return web.Response(status=200 if self._is_ready() else 503)

    async def _handle_metrics(self, _: web.Request) -> web.Response:
        return web.Response(
            body=prometheus_client.generate_latest(self._registry),
            content_type="text/plain",
        )

    async def _handle_state(self, _: web.Request) -> web.Response:
        state = msgspec.json.encode(self._describe())
        return web.Response(
            body=msgspec.json.format(state, indent=2),
            content_type="application/json",
        )

    async def stop(self) -> None:
        """Close the listeners."""
        for runner in self._runners:
            await runner.cleanup()
