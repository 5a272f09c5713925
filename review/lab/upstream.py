"""Backend server that follows the protocol page."""

import asyncio
import contextlib
import dataclasses
import json
import math
import time
import urllib.parse

_NOT_EXECUTED = [("Tarragonhinge-Not-Executed", "1")]


@dataclasses.dataclass(kw_only=True)
class Run:
    """One request that the server began to work on."""

    attempt: str
    server: str
    key: int
    began_at: float
    ended_at: float = math.inf
    end: str = "running"


@dataclasses.dataclass(kw_only=True)
class Hold:
    """Time for which the server holds a range of keys."""

    server: str
    first: int
    last: int
    fence: int
    since: float
    until: float


class Upstream:
    """Serves requests, grants and releases on a loopback address.

    A request works for the milliseconds that the parameter ``work`` of its
    target names, and is dropped when its connection closes.
    """

    def __init__(
        self,
        *,
        name: str,
        service: str,
        zone: str,
        host: str,
        keyed: bool = False,
        slots: int = 16,
    ) -> None:
        self.name = name
        self.service = service
        self.zone = zone
        self.host = host
        self.keyed = keyed
        self.slots = slots
        self.born_ms = 0
        self.address = ""
        self.state = "ready"
        self.runs: list[Run] = []
        self.holds: list[Hold] = []
        self._current: list[Hold] = []
        self._fences: list[tuple[int, int, int]] = []
        self._running = 0
        self._tasks: set[asyncio.Task] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Start to listen on a free port."""
        self._server = await asyncio.start_server(self._serve, self.host, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = self.address or f"{self.host}:{port}"
        self.born_ms = int(time.time() * 1000)

    @property
    def port(self) -> int:
        """Port that the server itself listens on."""
        return self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        self._server.close()
        for task in list(self._tasks):
            task.cancel()
        now = time.monotonic()
        for hold in self._current:
            hold.until = min(hold.until, now)
        self._current = []

    def make_entry(self) -> bytes:
        """Return the server's entry in the store, in its plain form."""
        return json.dumps(
            {
                "service": self.service,
                "address": self.address,
                "zone": self.zone,
                "version": "v1",
                "slots": self.slots,
                "state": self.state,
                "warmupLeft": 0,
                "seq": 1,
                "born": self.born_ms,
            }
        ).encode()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            while await self._serve_one(reader, writer):
                pass
        except (OSError, EOFError, asyncio.CancelledError):
            return
        finally:
            self._tasks.discard(task)
            with contextlib.suppress(OSError, RuntimeError):
                writer.close()

    async def _serve_one(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        head = await reader.readuntil(b"\r\n\r\n")
        line, *rest = head.decode("latin-1").split("\r\n")
        parts = (text.partition(":") for text in rest if text)
        fields = {name.lower(): value.strip() for name, _, value in parts}
        body = await reader.readexactly(int(fields.get("content-length", 0)))
        target = line.split(" ")[1]
        if fields.get("tarragonhinge-expect-instance", self.name) != self.name:
            refusal = [
                *_NOT_EXECUTED,
                ("Tarragonhinge-Instance-Id", self.name),
            ]
            self._write(writer, 421, refusal, b"")
            return True
        if target == "/tarragonhinge/grant":
            self._grant(json.loads(body), writer)
            return True
        if target == "/tarragonhinge/release":
            self._release(json.loads(body), writer)
            return True
        return await self.handle(target, fields, reader, writer)

    async def handle(
        self,
        target: str,
        fields: dict[str, str],
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Run a request; return whether the connection stays open."""
        attempt = fields.get("tarragonhinge-request-attempt-id", "")
        key = int(fields.get("tarragonhinge-shard-key", -1))
        if self.keyed and not self._holds(key):
            self._write(writer, 421, _NOT_EXECUTED, b"")
            return True
        run = Run(
            attempt=attempt,
            server=self.name,
            key=key,
            began_at=time.monotonic(),
        )
        self.runs.append(run)
        self._running += 1
        try:
            if not await self._work(target, reader):
                run.end = "dropped, its connection closed"
                return False
            run.end = "answered"
        except asyncio.CancelledError:
            run.end = "server stopped"
            raise
        finally:
            run.ended_at = time.monotonic()
            self._running -= 1
        self._write(writer, 200, self.make_fields(attempt), b"ok")
        return True

    def make_fields(self, attempt: str) -> list[tuple[str, str]]:
        """Return the fields of a response to a request that was run."""
        return [
            ("Tarragonhinge-Request-Attempt-Id", attempt),
            ("Tarragonhinge-Upstream-Seal", "3e1b.07"),
            (
                "Tarragonhinge-Upstream-Load",
                f"{self._running},0,{self.slots}",
            ),
        ]

    async def _work(self, target: str, reader: asyncio.StreamReader) -> bool:
        query = urllib.parse.parse_qs(urllib.parse.urlsplit(target).query)
        work_s = int(query.get("work", ["20"])[0]) / 1000
        left = asyncio.create_task(reader.read(1))
        try:
            await asyncio.wait([left], timeout=work_s)
            return not left.done()
        finally:
            left.cancel()
            with contextlib.suppress(asyncio.CancelledError, OSError):
                await left

    @staticmethod
    def _write(
        writer: asyncio.StreamWriter,
        status: int,
        fields: list[tuple[str, str]],
        body: bytes,
    ) -> None:
        lines = [f"HTTP/1.1 {status} X"]
        lines += [f"{name}: {value}" for name, value in fields]
        lines.append(f"Content-Length: {len(body)}")
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)

    def _holds(self, key: int) -> bool:
        now = time.monotonic()
        return any(
            hold.first <= key <= hold.last and hold.until > now
            for hold in self._current
        )

    def _grant(self, call: dict, writer: asyncio.StreamWriter) -> None:
        first, last, fence = call["from"], call["to"], call["fence"]
        seen = [
            known
            for low, high, known in self._fences
            if low <= last and first <= high
        ]
        if max(seen, default=0) > fence:
            self._write(writer, 409, [], b"")
            return
        self._fences.append((first, last, fence))
        now = time.monotonic()
        hold_ms = call["hold_time"]
        if isinstance(hold_ms, str):
            hold_ms = float(hold_ms.removesuffix("ms"))
        until = now + hold_ms / 1000
        for hold in self._current:
            is_same = (hold.first, hold.last, hold.fence) == (
                first,
                last,
                fence,
            )
            if is_same and hold.until > now:
                hold.until = until
                self._write(writer, 200, [], b"")
                return
        self._cut(first, last, now)
        hold = Hold(
            server=self.name,
            first=first,
            last=last,
            fence=fence,
            since=now,
            until=until,
        )
        self._current.append(hold)
        self.holds.append(hold)
        self._write(writer, 200, [], b"")

    def _release(self, call: dict, writer: asyncio.StreamWriter) -> None:
        self._fences.append((call["from"], call["to"], call["fence"]))
        self._cut(call["from"], call["to"], time.monotonic())
        fields = [("Tarragonhinge-Duty-Handover", "5c0e7a21d94b36f8")]
        self._write(writer, 200, fields, b"")

    def _cut(self, first: int, last: int, now: float) -> None:
        """End what the server holds of a range; the rest goes on."""
        kept = []
        for hold in self._current:
            if hold.until <= now:
                continue
            if hold.last < first or hold.first > last:
                kept.append(hold)
                continue
            until, hold.until = hold.until, now
            for low, high in (
                (hold.first, first - 1),
                (last + 1, hold.last),
            ):
                if low <= high:
                    rest = Hold(
                        server=self.name,
                        first=low,
                        last=high,
                        fence=hold.fence,
                        since=now,
                        until=until,
                    )
                    kept.append(rest)
                    self.holds.append(rest)
        self._current = kept
