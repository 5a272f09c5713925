"""Backend server as the platform's pages describe it, with its faults."""

import asyncio
import contextlib
import json

_CRLF = "\r\n"


class StandInServer:
    """Serves requests, grants and releases on a loopback port.

    Attributes
    ----------
    mode : str
        What happens to a request: ``ok``, ``shed``, ``hang``, ``cut``
        (the answer breaks off), ``reset`` (after the run), ``stray``
        (another answer comes first), ``unsealed``, ``foreign`` (the
        answer of another attempt), ``error``, ``busy_error`` (503
        without a word that it did not run), ``silent``.
    ran : list of str
        Attempts that it ran.
    """

    def __init__(self, name="i-1", *, is_keyed=False):
        self.name = name
        self.is_keyed = is_keyed
        self.mode = "ok"
        self.modes = []
        self.ran = []
        self.seen = []
        self.left = []
        self.arrived = asyncio.Event()
        self.work = asyncio.Event()
        self.work.set()
        self.held = []
        self.fences = []
        self._tasks = set()

    async def start(self, port=0):
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", port
        )
        self.port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{self.port}"
        return self

    async def stop(self):
        self._server.close()
        for task in self._tasks:
            task.cancel()

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                line, *rest = head.decode("latin-1").split(_CRLF)
                fields = {
                    name.lower(): value
                    for name, _, value in (r.partition(": ") for r in rest)
                    if name
                }
                length = int(fields.get("content-length", 0))
                body = await reader.readexactly(length)
                if not await self._answer(line, fields, body, writer, reader):
                    break
        except (OSError, EOFError):
            pass
        except asyncio.CancelledError:
            pass
        finally:
            self._tasks.discard(task)
            with contextlib.suppress(OSError):
                writer.close()

    async def _answer(self, line, fields, body, writer, reader):
        target = line.split(" ")[1]
        if target.endswith("/grant") or target.endswith("/release"):
            return self._take_order(target, json.loads(body), writer)
        attempt = fields.get("tarragonhinge-request-attempt-id", "")
        self.seen.append((line, fields, body))
        self.arrived.set()
        expected = fields.get("tarragonhinge-expect-instance", self.name)
        key = int(fields.get("tarragonhinge-shard-key", -1))
        if expected != self.name or (self.is_keyed and not self.holds(key)):
            self._write(
                writer, 421, [("Tarragonhinge-Not-Executed", "1")], "no"
            )
            return True
        mode = self.modes.pop(0) if self.modes else self.mode
        if mode == "shed":
            self._write(
                writer, 503, [("Tarragonhinge-Not-Executed", "1")], "full"
            )
            return True
        if mode == "hang":
            await reader.read()
            return False
        self.ran.append(attempt)
        if not await self._work(attempt, reader):
            return False
        return await self._write_mode(mode, attempt, writer, reader)

    async def _work(self, attempt, reader):
        """Return False if the caller left before the work was done."""
        gone = asyncio.create_task(reader.read(1))
        done = asyncio.create_task(self.work.wait())
        await asyncio.wait({gone, done}, return_when=asyncio.FIRST_COMPLETED)
        done.cancel()
        if gone.done():
            self.left.append(attempt)
            return False
        gone.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await gone
        return True

    async def _write_mode(self, mode, attempt, writer, reader):
        own = [
            ("Tarragonhinge-Request-Attempt-Id", attempt),
            ("Tarragonhinge-Upstream-Seal", "3e.1"),
            ("Tarragonhinge-Upstream-Load", "1,0,2"),
        ]
        body = f"of {self.name}"
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

    def _write(self, writer, status, fields, body, *, cut=0):
        lines = [f"HTTP/1.1 {status} X"]
        lines += [f"{name}: {value}" for name, value in fields]
        lines.append(f"Content-Length: {len(body)}")
        text = _CRLF.join(lines) + _CRLF * 2 + body
        writer.write(text[: len(text) - cut].encode())

    def holds(self, key):
        return any(first <= key <= last for first, last, _ in self.held)

    def _take_order(self, target, order, writer):
        first, last, fence = order["from"], order["to"], order["fence"]
        overlaps = [f for a, b, f in self.fences if a <= last and first <= b]
        fields = []
        if target.endswith("/grant"):
            if overlaps and max(overlaps) > fence:
                self._write(writer, 409, [], "")
                return True
            self.held.append((first, last, fence))
        else:
            self.held = [h for h in self.held if h[1] < first or h[0] > last]
            fields.append(("Tarragonhinge-Duty-Handover", "token"))
        self.fences.append((first, last, fence))
        self._write(writer, 200, fields, "")
        return True
