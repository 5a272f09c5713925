"""Callers that send one request on a connection of its own."""

import asyncio
import contextlib
import dataclasses
import itertools
import math
import time


@dataclasses.dataclass(kw_only=True)
class Attempt:
    """One request and what its caller got."""

    attempt: str
    instance: str
    method: str
    target: str
    key: int
    sent_at: float
    ended_at: float = math.inf
    status: int = 0
    problem: str = ""


class Callers:
    """Sends requests and records their outcomes."""

    def __init__(self, *, host: str) -> None:
        self._host = host
        self._numbers = itertools.count(1)
        self.attempts: list[Attempt] = []
        self._tasks: set[asyncio.Task] = set()

    def begin(
        self,
        address: str,
        method: str,
        target: str,
        *,
        key: int = -1,
        deadline_ms: int = 5_000,
    ) -> asyncio.Task:
        """Send a request without waiting for its response."""
        task = asyncio.create_task(
            self.send(
                address, method, target, key=key, deadline_ms=deadline_ms
            )
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def finish(self) -> None:
        """Wait for all requests that were begun."""
        while self._tasks:
            await asyncio.wait(list(self._tasks))

    async def send(
        self,
        address: str,
        method: str,
        target: str,
        *,
        key: int = -1,
        deadline_ms: int = 5_000,
    ) -> Attempt:
        """Send a request and wait for its response, up to its deadline."""
        attempt = Attempt(
            attempt=f"{next(self._numbers):016x}",
            instance=address,
            method=method,
            target=target,
            key=key,
            sent_at=time.monotonic(),
        )
        self.attempts.append(attempt)
        try:
            async with asyncio.timeout(deadline_ms / 1000):
                await self._exchange(attempt, deadline_ms)
        except TimeoutError:
            attempt.problem = "no response before the deadline"
        except (OSError, EOFError, ValueError) as error:
            attempt.problem = repr(error)
        attempt.ended_at = time.monotonic()
        return attempt

    async def _exchange(self, attempt: Attempt, deadline_ms: int) -> None:
        host, _, port = attempt.instance.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            body = b"order" if attempt.method != "GET" else b""
            lines = [
                f"{attempt.method} {attempt.target} HTTP/1.1",
                f"Host: {self._host}",
                f"Tarragonhinge-Request-Attempt-Id: {attempt.attempt}",
                f"Tarragonhinge-Deadline-Ms: {deadline_ms}",
            ]
            if attempt.key >= 0:
                lines.append(f"Tarragonhinge-Shard-Key: {attempt.key}")
            if body:
                lines.append(f"Content-Length: {len(body)}")
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            head = await reader.readuntil(b"\r\n\r\n")
            line, *rest = head.decode("latin-1").split("\r\n")
            fields = {}
            for text in rest:
                name, _, value = text.partition(":")
                fields[name.lower()] = value.strip()
            status = int(line.split(" ")[1])
            await reader.readexactly(int(fields.get("content-length", 0)))
            attempt.status = status
        finally:
            with contextlib.suppress(OSError):
                writer.transport.abort()
