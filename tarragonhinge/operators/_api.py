"""Web application of the HTTP interface for operators."""

from collections.abc import Callable

from aiohttp import web
import msgspec

from tarragonhinge.operators import _metrics
from tarragonhinge.operators import _page
from tarragonhinge.operators import _table
from tarragonhinge.operators import _token

#: Maximum size of the body of an edit, in bytes.
MAX_TABLE_BYTES = 8 * 1024 * 1024


def make_application(
    *,
    dump: Callable[[], dict],
    is_ready: Callable[[], bool],
    collector: _metrics.InstanceCollector,
    table: _table.TableApi | None = None,
    tokens: _token.TokenCheck | None = None,
) -> web.Application:
    """Return the application that serves the operators' address.

    Parameters
    ----------
    dump : callable
        Returns the state of the instance for ``/state``.
    is_ready : callable
        Returns whether the instance is ready to receive requests of
        callers.
    collector : InstanceCollector
        Source of the metrics for ``/metrics``.
    table : TableApi or None
        Handlers of the operators' table; None to serve neither the
        table nor the web page.
    tokens : TokenCheck or None
        Authorizes requests; None to allow reading only.
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

    check = tokens or _token.TokenCheck()
    application = web.Application(
        middlewares=[_token.make_middleware(check)],
        client_max_size=MAX_TABLE_BYTES,
    )
    application.router.add_get("/healthz", show_live)
    application.router.add_get("/readyz", show_ready)
    application.router.add_get("/state", show_state)
    application.router.add_get("/metrics", show_metrics)
    if table is not None:
        table.add_routes(application.router)
        _page.add_page(application.router)
    return application
