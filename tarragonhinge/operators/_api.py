"""HTTP interface for operators."""

from collections.abc import Callable

from aiohttp import web
import msgspec

from tarragonhinge.operators import _metrics


def make_application(
    *,
    dump: Callable[[], dict],
    is_ready: Callable[[], bool],
    collector: _metrics.InstanceCollector,
) -> web.Application:
    """Return the application on the operators' address.

    Parameters
    ----------
    dump : callable
        Returns the process's state.
    is_ready : callable
        Tells whether callers should be sent here.
    collector : InstanceCollector
        Source of the metrics.
    """

    async def show_live(request: web.Request) -> web.Response:
        return web.Response(text="live\n")

    async def show_ready(request: web.Request) -> web.Response:
        if is_ready():
            return web.Response(text="ready\n")
        return web.Response(status=503, text="not ready\n")

    async def show_state(request: web.Request) -> web.Response:
        body = msgspec.json.format(msgspec.json.encode(dump()), indent=2)
        return web.Response(body=body, content_type="application/json")

    async def show_metrics(request: web.Request) -> web.Response:
        body = _metrics.render_metrics(collector)
        return web.Response(body=body, content_type="text/plain")

    application = web.Application()
    application.router.add_get("/healthz", show_live)
    application.router.add_get("/readyz", show_ready)
    application.router.add_get("/state", show_state)
    application.router.add_get("/metrics", show_metrics)
    return application
