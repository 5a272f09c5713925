"""Stand-in for the platform's HTTP services."""

from aiohttp import web
import msgspec
import xxhash

from tarragonhinge import base
from tarragonhinge import membership
from tarragonhinge import stores


class StandinPlatform:
    """Table service, object store and list of instances in memory.

    Attributes
    ----------
    table : MemoryTable
        Content of the table service.
    objects : MemoryObjects
        Content of the object store.
    instances : dict
        Entries of the list of instances, by name of the instance.
    down : bool
        Whether the table service and the object store respond with status
        503; the list of instances stays available.
    """

    def __init__(self) -> None:
        self.table = stores.MemoryTable()
        self.objects = stores.MemoryObjects()
        self.instances: dict[base.InstanceId, membership.InstanceEntry] = {}
        self.down = False

    def make_application(self) -> web.Application:
        """Return the aiohttp application."""
        application = web.Application(client_max_size=2**26)
        router = application.router
        router.add_post("/table/read", self._read)
        router.add_post("/table/transact", self._transact)
        router.add_get("/objects/{name:.+}", self._get_object)
        router.add_put("/objects/{name:.+}", self._put_object)
        router.add_get("/instances", self._list_instances)
        return application

    async def _read(self, request: web.Request) -> web.Response:
        if self.down:
            return web.Response(status=503)
        try:
            message = msgspec.json.decode(
                await request.read(), type=stores.ReadRequest
            )
        except msgspec.DecodeError as error:
            return web.Response(status=400, text=str(error))
        rows = await self.table.read(message.keys)
        return web.Response(body=msgspec.json.encode(rows))

    async def _transact(self, request: web.Request) -> web.Response:
        if self.down:
            return web.Response(status=503)
        try:
            message = msgspec.json.decode(
                await request.read(), type=stores.Transaction
            )
        except msgspec.DecodeError as error:
            return web.Response(status=400, text=str(error))
        result = await self.table.transact(message)
        if isinstance(result, stores.Conflict):
            return web.Response(status=412)
        return web.Response(status=200)

    async def _get_object(self, request: web.Request) -> web.Response:
        body = await self.objects.get(request.match_info["name"])
        if self.down:
            return web.Response(status=503)
        if body is None:
            return web.Response(status=404)
        return web.Response(body=body)

    async def _put_object(self, request: web.Request) -> web.Response:
        if self.down:
            return web.Response(status=503)
        name = request.match_info["name"]
        await self.objects.put(name, await request.read())
        return web.Response(status=204)

    async def _list_instances(self, request: web.Request) -> web.Response:
        body = msgspec.json.encode(list(self.instances.values()))
        etag = f'"{xxhash.xxh3_64_hexdigest(body)}"'
        if request.headers.get("If-None-Match") == etag:
            return web.Response(status=304, headers={"ETag": etag})
        return web.Response(body=body, headers={"ETag": etag})
