"""Backend server as the platform's pages describe it, with its faults."""

import asyncio
import contextlib
import json
import time

_CRLF = "\r\n"
_NOT_RUN = [("Tarragonhinge-Not-Executed", "1")]

#: Factor by which the clock that measures grants is slow.
_SLOW_CLOCK = 1.02


class StandInServer:
    """Serves requests, grants and releases on a loopback port.

    Parameters
    ----------
    name : str
        Its id.
    is_keyed : bool
        Whether it runs only requests whose key it holds.
    slots : int
        Requests that it reports to run at once.

    Attributes
    ----------
    mode : str
        What happens to a request: ``ok``, ``shed``, ``hang``, ``cut``
        (the answer breaks off), ``reset`` (after the run), ``stray``
        (another answer comes first), ``unsealed``, ``foreign`` (the
        answer of another attempt), ``error``, ``busy_error`` (503
        without a word that it did not run), ``silent``.
    modes : list of str
        What happens to the next requests instead.
    ran, left : list of str
        Attempts that it ran, and those of them whose caller left.
    seen : list
        Every request: line, fields and body.
    begun : list
        Time and key of each run.
    work_s : float
        How long it works on a request.
    """

    def __init__(
        self, name: str = "i-1", *, is_keyed: bool = False, slots: int = 2
    ) -> None:
        self.name = name
        self.is_keyed = is_keyed
        self.slots = slots
        self.mode = "ok"
        self.modes: list[str] = []
        self.ran: list[str] = []
        self.left: list[str] = []
        self.seen: list[tuple[str, dict, bytes]] = []
        self.begun: list[tuple[float, int]] = []
        self.arrived = asyncio.Event()
        self.work = asyncio.Event()
        self.work.set()
        self.work_s = 0.0
        self.held: list[tuple[int, int, int, float]] = []
        self.fences: list[tuple[int, int, int]] = []
        self.running = 0
        self.born = 1
        self._tasks: set[asyncio.Task] = set()

    async def start(
        self, host: str = "127.0.0.1", port: int = 0
    ) -> "StandInServer":
        """Listen."""
        self._server = await asyncio.start_server(self._serve, host, port)
        self.port = self._server.sockets[0].getsockname()[1]
        self.address = f"{host}:{self.port}"
        return self

    async def stop(self) -> None:
        """Stop to listen, and end all connections."""
        self._server.close()
        for task in list(self._tasks):
            task.cancel()

    def hold(self, first: int, last: int, fence: int = 1) -> None:
        """Hold keys without an end."""
        self.held.append((first, last, fence, float("inf")))

    def list_held(self) -> list[tuple[int, int]]:
        """Return the ranges that it holds now."""
        now = time.monotonic()
        self.held = [hold for hold in self.held if hold[3] > now]
        return [(first, last) for first, last, _, _ in self.held]

    def holds(self, key: int) -> bool:
        """Return whether it holds a key now."""
        return any(first <= key <= last for first, last in self.list_held())

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
            with contextlib.suppress(OSError):
                writer.close()

    async def _serve_one(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Answer one request; return whether the connection stays."""
        head = await reader.readuntil(b"\r\n\r\n")
        line, *rest = head.decode("latin-1").split(_CRLF)
        parts = (text.partition(": ") for text in rest)
        fields = {name.lower(): value for name, _, value in parts if name}
        body = await reader.readexactly(int(fields.get("content-length", 0)))
        target = line.split(" ")[1]
        if target.endswith(("/grant", "/release")):
            self._take_order(target, json.loads(body), writer)
            return True
        return await self._run(line, fields, body, reader, writer)

    async def _run(
        self,
        line: str,
        fields: dict[str, str],
        body: bytes,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        attempt = fields.get("tarragonhinge-request-attempt-id", "")
        self.seen.append((line, fields, body))
        self.arrived.set()
        expected = fields.get("tarragonhinge-expect-instance", self.name)
        key = int(fields.get("tarragonhinge-shard-key", -1))
        if expected != self.name:
            own = [*_NOT_RUN, ("Tarragonhinge-Instance-Id", self.name)]
            self._write(writer, 421, own, "no")
            return True
        if self.is_keyed and not self.holds(key):
            self._write(writer, 421, _NOT_RUN, "no")
            return True
        mode = self.modes.pop(0) if self.modes else self.mode
        if mode == "shed":
            self._write(writer, 503, _NOT_RUN, "full")
            return True
        if mode == "hang":
            await reader.read()
            return False
        self.ran.append(attempt)
        self.begun.append((time.monotonic(), key))
        self.running += 1
        try:
            if not await self._work(attempt, reader):
                return False
        finally:
            self.running -= 1
        return await self._write_mode(mode, attempt, writer, reader)

    async def _work(self, attempt: str, reader: asyncio.StreamReader) -> bool:
        """Return False if the caller left before the work was done."""
        gone = asyncio.create_task(reader.read(1))
        done = asyncio.create_task(self._wait_work())
        await asyncio.wait({gone, done}, return_when=asyncio.FIRST_COMPLETED)
        done.cancel()
        if gone.done():
            self.left.append(attempt)
            return False
        gone.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await gone
        return True

    async def _wait_work(self) -> None:
        await self.work.wait()
        await asyncio.sleep(self.work_s)

    async def _write_mode(
        self,
        mode: str,
        attempt: str,
        writer: asyncio.StreamWriter,
        reader: asyncio.StreamReader,
    ) -> bool:
        load = f"{self.running},0,{self.slots}"
        own = [
            ("Tarragonhinge-Request-Attempt-Id", attempt),
            ("Tarragonhinge-Upstream-Seal", "3e.1"),
            ("Tarragonhinge-Upstream-Load", load),
        ]
        body = f"{attempt} of {self.name}"
        if mode == "silent":
            await reader.read()
            return False
        if mode == "reset":
            writer.transport.abort()
            return False
        if mode == "cut":
            self._write(writer, 200, own, body, cut=3)
            return False
        if mode == "stray":
            other = [("Tarragonhinge-Request-Attempt-Id", "old"), own[1]]
            self._write(writer, 200, other, "old")
        if mode == "foreign":
            own[0] = ("Tarragonhinge-Request-Attempt-Id", "old")
        if mode == "unsealed":
            del own[1]
        status = {"error": 500, "busy_error": 503}.get(mode, 200)
        self._write(writer, status, own, body)
        return mode != "foreign"

    def _write(
        self,
        writer: asyncio.StreamWriter,
        status: int,
        fields: list[tuple[str, str]],
        body: str,
        *,
        cut: int = 0,
    ) -> None:
        lines = [f"HTTP/1.1 {status} X"]
        lines += [f"{name}: {value}" for name, value in fields]
        lines.append(f"Content-Length: {len(body)}")
        text = _CRLF.join(lines) + _CRLF * 2 + body
        writer.write(text[: len(text) - cut].encode())

    def _take_order(
        self, target: str, order: dict, writer: asyncio.StreamWriter
    ) -> None:
        """Carry out a grant or a release."""
        first, last, fence = order["from"], order["to"], order["fence"]
        seen = [f for a, b, f in self.fences if a <= last and first <= b]
        if target.endswith("/grant") and max(seen, default=0) > fence:
            self._write(writer, 409, [], "")
            return
        self.fences.append((first, last, fence))
        self._cut_held(first, last)
        fields = []
        if target.endswith("/grant"):
            until = time.monotonic() + order["hold_time"] * _SLOW_CLOCK / 1000
            self.held.append((first, last, fence, until))
        else:
            fields.append(("Tarragonhinge-Duty-Handover", "token"))
        self._write(writer, 200, fields, "")

    def _cut_held(self, first: int, last: int) -> None:
        """Stop to hold a range, and keep what lies on either side."""
        kept = []
        for low, high, fence, until in self.held:
            if low < first:
                kept.append((low, min(high, first - 1), fence, until))
            if high > last:
                kept.append((max(low, last + 1), high, fence, until))
        self.held = kept
