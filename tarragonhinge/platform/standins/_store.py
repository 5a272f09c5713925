"""HTTP server of an in-memory row store that injects faults."""

import asyncio
import base64
import collections
import time

from aiohttp import web

from tarragonhinge import base
from tarragonhinge import stores
from tarragonhinge import testing

#: Longest time that one watch waits for a change.
_WAIT_LIMIT_MS = 30_000


class StandInStore:
    """Serves rows in memory through the platform's HTTP calls.

    Attributes
    ----------
    mode : str
        ``ok``, ``silent`` (no response), ``busy`` (status 503), ``slow``
        (each call is delayed by 250 ms), ``lost`` (writes are applied
        without a response), ``late`` (writes are applied after 1.5 s
        without a response), ``away`` (connections are reset).
    calls : Counter
        Number of calls by name.
    """

    def __init__(self) -> None:
        self.rows = testing.MemoryRows()
        self.mode = "ok"
        self.calls: collections.Counter[str] = collections.Counter()
        self._late_writes: set[asyncio.Task] = set()

    def make_application(self) -> web.Application:
        """Return the web application that serves the calls."""
        application = web.Application(
            middlewares=[self._inject_fault],
            client_max_size=testing.MAX_CALL_BYTES,
        )
        application.router.add_get("/tarragonhinge/rows-get", self._get)
        application.router.add_get("/tarragonhinge/rows-feed", self._watch)
        application.router.add_post("/tarragonhinge/rows-tx", self._write)
        return application

    @web.middleware
    async def _inject_fault(
        self, request: web.Request, handler
    ) -> web.StreamResponse:
        self.calls[request.path.rpartition("/")[2]] += 1
        if self.mode == "silent":
            await asyncio.sleep(60)
        if self.mode == "busy":
            return web.json_response(
                {"error": "busy"},
                status=503,
                headers={"Store-Era": str(self.rows.era)},
            )
        if self.mode == "slow":
            await asyncio.sleep(0.25)
        if self.mode == "away":
            return _reset(request)
        response = await handler(request)
        if self.mode == "silent":
            await asyncio.sleep(60)
        if self.mode == "away":
            return _reset(request)
        response.headers["Store-Era"] = str(self.rows.era)
        return response

    def leave(self) -> None:
        """Go away: reset all connections, and each new one."""
        self.mode = "away"
        self.rows.wake_watches()

    def return_from(self, copied: testing.MemoryRows) -> None:
        """Come back from a copy of the rows."""
        self.rows.restore(copied)
        self.mode = "ok"

    def put(self, table: str, key: str, value: bytes) -> None:
        """Write a row on behalf of an operator or a server."""
        self.rows.apply([], [stores.RowPut(table=table, key=key, value=value)])

    def remove(self, table: str, key: str) -> None:
        """Delete a row."""
        self.rows.apply([], [], [(table, key)])

    async def _get(self, request: web.Request) -> web.Response:
        table = request.query["table"]
        rows, has_more = self.rows.list_page(
            table,
            first=request.query.get("from", ""),
            end=request.query.get("to"),
        )
        response = self._make_response(rows, has_more=has_more)
        self.rows.after_page(table, has_more)
        return response

    async def _watch(self, request: web.Request) -> web.Response:
        table, after = request.query["table"], int(request.query["after"])
        if not self.rows.kept_from <= after <= self.rows.version:
            return web.json_response({"error": "gone"}, status=410)
        wait_ms = min(int(request.query["waitMs"]), _WAIT_LIMIT_MS)
        ends_at = time.monotonic() + wait_ms / base.MS_PER_S
        while not (rows := self.rows.list_rows(table, after=after)):
            left_s = ends_at - time.monotonic()
            if left_s <= 0 or self.mode == "away":
                break
            await self.rows.wait_change(int(left_s * base.MS_PER_S) + 1)
        return self._make_response(sorted(rows, key=lambda row: row.version))

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
        drops = [(row["table"], row["key"]) for row in body["remove"]]
        parts = [
            row["part"]
            for name in ("expectedRev", "puts", "remove")
            for row in body[name]
        ]
        problem = self.rows.find_problem(checks, puts, drops, parts=parts)
        if problem:
            return web.json_response({"error": problem}, status=400)
        if self.mode == "late":
            task = asyncio.create_task(self._apply_late(checks, puts))
            self._late_writes.add(task)
            task.add_done_callback(self._late_writes.discard)
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

    def _make_response(
        self, rows: list[stores.StoredRow], *, has_more: bool = False
    ) -> web.Response:
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
                "hasMore": has_more,
            }
        )


def _reset(request: web.Request) -> web.Response:
    """Reset a connection; the returned response is not sent."""
    if request.transport is not None:
        request.transport.abort()
    return web.Response()
