"""The platform's row store over HTTP, with its faults."""

import asyncio
import base64
import collections
import time

from aiohttp import web

from tarragonhinge import base
from tarragonhinge import stores
from tarragonhinge import testing

#: Longest wait of one watch.
_WAIT_LIMIT_MS = 30_000


class StandInStore:
    """Rows in memory behind the platform's calls.

    Attributes
    ----------
    mode : str
        ``ok``, ``silent``, ``busy``, ``slow`` (each call 250 ms later),
        ``lost`` (writes are done and not answered), ``late`` (writes are
        done after 1.5 s and not answered).
    calls : Counter
        Calls by name.
    """

    def __init__(self) -> None:
        self.rows = testing.MemoryRows()
        self.mode = "ok"
        self.calls: collections.Counter[str] = collections.Counter()
        self._late: set[asyncio.Task] = set()

    def make_application(self) -> web.Application:
        """Return the calls as an application."""
        application = web.Application(middlewares=[self._disturb])
        application.router.add_get("/tarragonhinge/rows-get", self._get)
        application.router.add_get("/tarragonhinge/rows-feed", self._feed)
        application.router.add_post("/tarragonhinge/rows-tx", self._write)
        return application

    @web.middleware
    async def _disturb(
        self, request: web.Request, handler
    ) -> web.StreamResponse:
        self.calls[request.path.rpartition("/")[2]] += 1
        if self.mode == "silent":
            await asyncio.sleep(60)
        if self.mode == "busy":
            return web.json_response({"error": "busy"}, status=503)
        if self.mode == "slow":
            await asyncio.sleep(0.25)
        answer = await handler(request)
        if self.mode == "silent":
            await asyncio.sleep(60)
        return answer

    def put(self, table: str, key: str, value: bytes) -> None:
        """Write a row, as the operator and the servers do."""
        self.rows.apply([], [stores.RowPut(table=table, key=key, value=value)])

    def drop(self, table: str, key: str) -> None:
        """Remove a row."""
        self.rows.apply([], [], [(table, key)])

    async def _get(self, request: web.Request) -> web.Response:
        table = request.query["table"]
        rows = [r for r in self.rows.list_rows(table) if not r.dropped]
        return self._answer(sorted(rows, key=lambda row: row.key))

    async def _feed(self, request: web.Request) -> web.Response:
        table, after = request.query["table"], int(request.query["after"])
        wait_ms = min(int(request.query["waitMs"]), _WAIT_LIMIT_MS)
        ends_at = time.monotonic() + wait_ms / base.MS_PER_S
        while not (rows := self.rows.list_rows(table, after=after)):
            left_s = ends_at - time.monotonic()
            if left_s <= 0:
                break
            await self.rows.wait_change(int(left_s * base.MS_PER_S) + 1)
        return self._answer(sorted(rows, key=lambda row: row.version))

    async def _write(self, request: web.Request) -> web.Response:
        body = await request.json()
        checks = [
            stores.RowCheck(table=c["table"], key=c["key"], version=c["ver"])
            for c in body["expectedRev"]
        ]
        puts = [
            stores.RowPut(
                table=p["table"],
                key=p["key"],
                value=base64.b64decode(p["value"]),
            )
            for p in body["puts"]
        ]
        if self.mode == "late":
            task = asyncio.create_task(self._apply_late(checks, puts))
            self._late.add(task)
            task.add_done_callback(self._late.discard)
            await asyncio.sleep(60)
        is_applied = self.rows.apply(checks, puts)
        if self.mode == "lost":
            await asyncio.sleep(60)
        status = 200 if is_applied else 412
        return web.json_response({"ver": self.rows.version}, status=status)

    async def _apply_late(
        self, checks: list[stores.RowCheck], puts: list[stores.RowPut]
    ) -> None:
        await asyncio.sleep(1.5)
        self.rows.apply(checks, puts)

    def _answer(self, rows: list[stores.StoredRow]) -> web.Response:
        return web.json_response(
            {
                "rows": [
                    {
                        "table": row.table,
                        "part": "",
                        "key": row.key,
                        "value": base64.b64encode(row.value).decode(),
                        "ver": row.version,
                        "tombstone": row.dropped,
                    }
                    for row in rows
                ],
                "ver": self.rows.version,
                "now": int(time.monotonic() * base.MS_PER_S),
                "hasMore": False,
            }
        )
