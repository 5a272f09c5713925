"""One stand-in in a process of its own, started by ``process_deployment.py``.

``python process_standins.py platform ADDRESS INSTANCES`` serves a platform
that lists the instances of a JSON file; ``POST /control/down`` and ``up``
switch its table service.  ``python process_standins.py server ADDRESS NAME
FILE`` serves a backend server that notes in a file which keyed requests it
has run, so that the notes outlast its loss.  Both run until standard input is
closed.
"""

import asyncio
import collections
import os
import pathlib
import sys

from aiohttp import web
import msgspec

from tarragonhinge import base
from tarragonhinge import http1
from tarragonhinge import membership
from tarragonhinge import standins

SERVICE_MS = 2
SLOTS = 4

#: Where a server tells how often it ran each keyed request.
EXECUTIONS_PATH = "/.executions"


class NotedCounter(collections.Counter):
    """Counter that writes each change to a file before it goes on.

    Parameters
    ----------
    path : Path
        The file; what it holds already is counted.
    """

    def __init__(self, *, path: pathlib.Path) -> None:
        super().__init__()
        self._file = None
        for key in path.read_text().split() if path.exists() else []:
            self[key] += 1
        self._file = os.open(path, os.O_CREAT | os.O_APPEND | os.O_WRONLY)

    def __setitem__(self, key: str, count: int) -> None:
        """Note one more run of a keyed request."""
        if not key:
            return
        super().__setitem__(key, count)
        if self._file is not None:
            os.write(self._file, f"{key}\n".encode())


def make_platform(path: str) -> web.Application:
    """Return a platform with a switch for its table service."""
    platform = standins.StandinPlatform()
    content = pathlib.Path(path).read_bytes()
    entries = msgspec.json.decode(content, type=list[membership.InstanceEntry])
    for entry in entries:
        platform.instances[entry.instance] = entry

    async def switch(request: web.Request) -> web.Response:
        platform.down = request.match_info["state"] == "down"
        return web.Response()

    application = platform.make_application()
    application.router.add_post("/control/{state:down|up}", switch)
    return application


def make_server(name: str, path: str) -> web.Application:
    """Return a backend server that tells what it has run."""
    server = standins.StandinServer(
        name=base.ServerId(name), service_ms=SERVICE_MS, slots=SLOTS
    )
    server.runs_by_idempotency_key = NotedCounter(path=pathlib.Path(path))

    @web.middleware
    async def show(request: web.Request, handler) -> web.StreamResponse:
        if request.path != EXECUTIONS_PATH:
            return await handler(request)
        return web.Response(
            body=msgspec.json.encode(server.runs_by_idempotency_key)
        )

    application = server.make_application()
    application.middlewares.append(show)
    return application


MAKERS = {"platform": make_platform, "server": make_server}


async def run(kind: str, address: str, *arguments: str) -> None:
    """Serve one stand-in until standard input is closed."""
    application = MAKERS[kind](*arguments)
    await http1.listen(
        application, base.Address(address), shutdown_timeout_s=0.1
    )
    await asyncio.to_thread(sys.stdin.read)


if __name__ == "__main__":
    asyncio.run(run(*sys.argv[1:]))
