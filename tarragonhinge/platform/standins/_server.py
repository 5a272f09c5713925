"""Backend server that follows the platform's protocol and injects faults."""

import asyncio
from collections.abc import Callable
import contextlib
import dataclasses
import enum
import json
import math
import socket
import struct
import time
import urllib.parse

#: Path of the health check.
HEALTH_PATH = "/healthz"

_CRLF = "\r\n"
_NOT_EXECUTED = [("Tarragonhinge-Not-Executed", "1")]

#: Factor by which grants last longer, as on a server whose clock runs slow.
_SLOW_CLOCK_FACTOR = 1.02

#: Time from the start of an execution to the crash that it causes.
_CRASH_DELAY_S = 0.03

#: Modes in which a request that was executed is answered properly.
_ANSWERING_MODES = frozenset({"ok", "error", "busy_error"})

#: Status of a response by mode; 200 in any other mode.
_STATUSES_BY_MODE = {
    "error": "500",
    "busy_error": "503",
    "undefined": "999",
    "zero": "000",
}


class ExecutionState(enum.Enum):
    """State of an execution.

    RUNNING: not ended. ANSWERED: ended and answered. ABANDONED: the caller
    closed the connection meanwhile. BROKEN_OFF: the server stopped, or did
    not answer properly.
    """

    RUNNING = "running"
    ANSWERED = "answered"
    ABANDONED = "abandoned"
    BROKEN_OFF = "broken off"


@dataclasses.dataclass(kw_only=True, slots=True)
class Execution:
    """Execution of an attempt by a server.

    Parameters
    ----------
    attempt : str
        Id of the attempt.
    server : str
        Name of the server.
    key : int
        Shard key; -1 if there is none.
    began_at, ended_at : float
        Monotonic times in seconds; the end is infinite while it runs.
    state : ExecutionState
        Its state.
    source : str
        Address from which the attempt came.
    """

    attempt: str
    server: str
    key: int
    began_at: float
    ended_at: float = math.inf
    state: ExecutionState = ExecutionState.RUNNING
    source: str = ""

    def end(self, state: ExecutionState) -> None:
        """Record the end."""
        self.ended_at = time.monotonic()
        self.state = state


class StandInServer:
    """Serves requests, grants and releases on a local address.

    Parameters
    ----------
    name : str
        Id of the server.
    is_keyed : bool
        Whether it executes only requests whose key it owns.
    slots : int
        Number of concurrent requests that it reports as its capacity.

    Attributes
    ----------
    mode : str
        How requests are handled: ``ok``, ``shed`` (rejected as not
        executed), ``full`` (connection reset without an execution),
        ``late_shed`` (as ``shed``, once work is allowed), ``hang``
        (neither executed nor answered), ``cut`` (truncated response),
        ``reset`` (connection reset after the execution), ``stray`` (the
        response to another attempt comes first), ``unsealed`` (response
        without a seal), ``foreign`` (response to another attempt only),
        ``error`` (status 500), ``busy_error`` (status 503 without the field
        that denies the execution), ``undefined`` (status 999), ``zero``
        (status 000), ``silent`` (executed, no response).
    next_modes : list of str
        Modes of the next requests; once empty, `mode` applies.
    executed, abandoned : list of str
        Executed attempts, and those whose caller closed the connection
        during the execution.
    received : list
        Request line, fields and body of each request.
    arrivals : list of tuple of float and str
        Monotonic time in seconds and attempt of each request that arrived.
    sources : list of str
        Address from which each of them came.
    executions : list of Execution
        All executions, in the order of their start.
    version : str
        Version of its software.
    crashing_targets : set of str
        Targets of the requests whose execution crashes the server.
    crashed_at : float
        Monotonic time of the crash in seconds; infinite before it.
    crashed_by : str
        Target of the request that crashed it; empty before that.
    on_crash : callable or None
        Called when the server has crashed.
    names_refused : bool
        Whether its refusals name the attempt that they refuse.
    repeats_refusals : bool
        Whether it writes each refusal once more on its connection, when it
        has received the next request there.
    leaving : str or None
        Value of the field in its responses that says that it leaves; None
        for no field.
    wait : str or None
        Time in seconds for which it turns each request away, as stated in
        its responses; None if it takes requests.
    limit : str or None
        Requests per second that it names in its responses; None for no
        limit.
    connection_limit : int or None
        Number of connections above which it resets new ones; None for any.
    warm_up_ms : str or None
        Time for which it stays cold, as its health responses state; None for
        no field.
    health_checks : list of str
        Address from which each health check came.
    work_s : float
        Duration of an execution, in seconds; a request overrides it by the
        parameter ``work`` of its target, in milliseconds.
    padding_bytes : int
        Size of what the responses to executions have in addition.
    reads_bodies : bool
        Whether it reads the bodies of requests; otherwise it never answers.
    """

    def __init__(
        self, name: str = "i-1", *, is_keyed: bool = False, slots: int = 2
    ) -> None:
        self.name = name
        self.is_keyed = is_keyed
        self.slots = slots
        self.mode = "ok"
        self.next_modes: list[str] = []
        self.executed: list[str] = []
        self.abandoned: list[str] = []
        self.received: list[tuple[str, dict, bytes]] = []
        self.arrivals: list[tuple[float, str]] = []
        self.sources: list[str] = []
        self.executions: list[Execution] = []
        self.crashing_targets: set[str] = set()
        self.crashed_at = math.inf
        self.crashed_by = ""
        self.on_crash: Callable[[StandInServer], None] | None = None
        self.names_refused = False
        self.repeats_refusals = False
        self._repeated: dict[asyncio.StreamWriter, tuple] = {}
        self.leaving: str | None = None
        self.wait: str | None = None
        self.limit: str | None = None
        self.connection_limit: int | None = None
        self.warm_up_ms: str | None = None
        self.health_checks: list[str] = []
        self.request_arrived = asyncio.Event()
        self.work_allowed = asyncio.Event()
        self.work_allowed.set()
        self.work_s = 0.0
        self.padding_bytes = 0
        self.reads_bodies = True
        self.leases: list[tuple[int, int, int, float]] = []
        self.fences: list[tuple[int, int, int]] = []
        self.running = 0
        self.born_ms = 1
        self.version = "v1"
        self._tasks: set[asyncio.Task] = set()

    async def start(
        self, host: str = "127.0.0.1", port: int = 0
    ) -> "StandInServer":
        """Start listening."""
        self._server = await asyncio.start_server(self._serve, host, port)
        self.port = self._server.sockets[0].getsockname()[1]
        self.address = f"{host}:{self.port}"
        return self

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        self._end()

    def _end(self) -> None:
        self._server.close()
        for task in list(self._tasks):
            task.cancel()

    def _crash(self, target: str) -> None:
        """End as a process does that fails: all connections break off."""
        if self.crashed_at < math.inf:
            return
        self.crashed_at = time.monotonic()
        self.crashed_by = target
        self.leases = []
        self._end()
        if self.on_crash is not None:
            self.on_crash(self)

    def own(self, first: int, last: int, fence: int = 1) -> None:
        """Own a range of keys without an expiry."""
        self.leases.append((first, last, fence, float("inf")))

    def list_owned(self) -> list[tuple[int, int]]:
        """Drop expired leases and return the owned ranges."""
        now = time.monotonic()
        self.leases = [lease for lease in self.leases if lease[3] > now]
        return [(first, last) for first, last, _, _ in self.leases]

    def owns(self, key: int) -> bool:
        """Return whether the server owns a key now."""
        return any(first <= key <= last for first, last in self.list_owned())

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if (
            self.connection_limit is not None
            and len(self._tasks) >= self.connection_limit
        ):
            _reset_connection(writer)
            return
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
        """Handle one request; return whether the connection stays open."""
        head = await reader.readuntil(b"\r\n\r\n")
        line, *field_lines = head.decode("latin-1").split(_CRLF)
        parts = (text.partition(": ") for text in field_lines)
        fields = {name.lower(): value for name, _, value in parts if name}
        if not self.reads_bodies:
            # Cancelled when the server stops.
            await asyncio.get_running_loop().create_future()
        body = await reader.readexactly(int(fields.get("content-length", 0)))
        target = line.split(" ")[1]
        if target.endswith(("/grant", "/release")):
            self._handle_grant_or_release(target, json.loads(body), writer)
            return True
        if target == HEALTH_PATH:
            self._handle_health_check(writer)
            return True
        return await self._handle_request(line, fields, body, reader, writer)

    def _handle_health_check(self, writer: asyncio.StreamWriter) -> None:
        self.health_checks.append(writer.get_extra_info("peername")[0])
        fields = [("Tarragonhinge-Instance-Id", self.name)]
        if self.warm_up_ms is not None:
            fields.append(("Tarragonhinge-Warmup-Ms", self.warm_up_ms))
        self._write_response(writer, 200, fields, "ok")

    async def _handle_request(
        self,
        line: str,
        fields: dict[str, str],
        body: bytes,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        attempt = fields.get("tarragonhinge-request-attempt-id", "")
        self.received.append((line, fields, body))
        if writer in self._repeated:
            self._write_response(writer, *self._repeated.pop(writer))
        self.arrivals.append((time.monotonic(), attempt))
        self.sources.append(writer.get_extra_info("peername")[0])
        self.request_arrived.set()
        expected = fields.get("tarragonhinge-expect-instance", self.name)
        key = int(fields.get("tarragonhinge-shard-key", -1))
        if expected != self.name:
            refusal = [
                *_NOT_EXECUTED,
                ("Tarragonhinge-Instance-Id", self.name),
            ]
            self._refuse(writer, 421, refusal, attempt)
            return True
        if self.is_keyed and not self.owns(key):
            self._refuse(writer, 421, _NOT_EXECUTED, attempt)
            return True
        if self.wait is not None:
            refusal = [*_NOT_EXECUTED, ("Retry-After", self.wait)]
            self._refuse(writer, 503, refusal, attempt)
            return True
        mode = self.next_modes.pop(0) if self.next_modes else self.mode
        if mode == "late_shed":
            await self.work_allowed.wait()
        if mode in ("shed", "late_shed"):
            self._refuse(writer, 503, _NOT_EXECUTED, attempt)
            return True
        if mode == "full":
            _reset_connection(writer)
            return False
        if mode == "hang":
            await reader.read()
            return False
        self.executed.append(attempt)
        execution = Execution(
            attempt=attempt,
            server=self.name,
            key=key,
            began_at=time.monotonic(),
            source=self.sources[-1],
        )
        self.executions.append(execution)
        self.running += 1
        try:
            target = line.split(" ")[1]
            if target in self.crashing_targets:
                await asyncio.sleep(_CRASH_DELAY_S)
                self._crash(target)
            work_s = self._read_work_s(target)
            if not await self._simulate_work(attempt, work_s, reader):
                execution.end(ExecutionState.ABANDONED)
                return False
        except asyncio.CancelledError:
            execution.end(ExecutionState.BROKEN_OFF)
            raise
        finally:
            self.running -= 1
        execution.end(
            ExecutionState.ANSWERED
            if mode in _ANSWERING_MODES
            else ExecutionState.BROKEN_OFF
        )
        return await self._respond(mode, attempt, writer, reader)

    def _refuse(
        self,
        writer: asyncio.StreamWriter,
        status: int,
        fields: list[tuple[str, str]],
        attempt: str,
    ) -> None:
        """Respond that a request is not executed."""
        if self.names_refused:
            named = ("Tarragonhinge-Request-Attempt-Id", attempt)
            fields = [*fields, named]
        self._write_response(writer, status, fields, "no")
        if self.repeats_refusals:
            self._repeated[writer] = (status, fields, "no")

    def _read_work_s(self, target: str) -> float:
        query = urllib.parse.urlsplit(target).query
        work = urllib.parse.parse_qs(query).get("work")
        return int(work[0]) / 1000 if work else self.work_s

    async def _simulate_work(
        self, attempt: str, work_s: float, reader: asyncio.StreamReader
    ) -> bool:
        """Return False if the caller closes the connection before the end."""
        caller_left = asyncio.create_task(reader.read(1))
        work_done = asyncio.create_task(self._wait_for_work(work_s))
        await asyncio.wait(
            {caller_left, work_done}, return_when=asyncio.FIRST_COMPLETED
        )
        work_done.cancel()
        if caller_left.done():
            self.abandoned.append(attempt)
            return False
        caller_left.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await caller_left
        return True

    async def _wait_for_work(self, work_s: float) -> None:
        await self.work_allowed.wait()
        await asyncio.sleep(work_s)

    async def _respond(
        self,
        mode: str,
        attempt: str,
        writer: asyncio.StreamWriter,
        reader: asyncio.StreamReader,
    ) -> bool:
        load = f"{self.running},0,{self.slots}"
        fields = [
            ("Tarragonhinge-Request-Attempt-Id", attempt),
            ("Tarragonhinge-Upstream-Seal", "3e.1"),
            ("Tarragonhinge-Upstream-Load", load),
        ]
        body = f"{attempt} of {self.name}" + "x" * self.padding_bytes
        if mode == "silent":
            await reader.read()
            return False
        if mode == "reset":
            writer.transport.abort()
            return False
        if mode == "cut":
            self._write_response(writer, 200, fields, body, cut_bytes=3)
            return False
        if mode == "stray":
            other = [("Tarragonhinge-Request-Attempt-Id", "old"), fields[1]]
            self._write_response(writer, 200, other, "old")
        if mode == "foreign":
            fields[0] = ("Tarragonhinge-Request-Attempt-Id", "old")
        if mode == "unsealed":
            del fields[1]
        status = _STATUSES_BY_MODE.get(mode, "200")
        self._write_response(writer, status, fields, body)
        return mode != "foreign"

    def _write_response(
        self,
        writer: asyncio.StreamWriter,
        status: int | str,
        fields: list[tuple[str, str]],
        body: str,
        *,
        cut_bytes: int = 0,
    ) -> None:
        lines = [f"HTTP/1.1 {status} X"]
        lines += [f"{name}: {value}" for name, value in fields]
        if self.limit is not None:
            lines.append(f"Server-Limit: {self.limit}")
        if self.leaving is not None:
            lines.append(f"Server-Leaving: {self.leaving}")
        lines.append(f"Content-Length: {len(body)}")
        text = _CRLF.join(lines) + _CRLF * 2 + body
        writer.write(text[: len(text) - cut_bytes].encode())

    def _handle_grant_or_release(
        self, target: str, call: dict, writer: asyncio.StreamWriter
    ) -> None:
        """Apply a grant or a release and respond to it."""
        first, last, fence = call["from"], call["to"], call["fence"]
        known_fences = [
            known_fence
            for low, high, known_fence in self.fences
            if low <= last and first <= high
        ]
        if target.endswith("/grant") and max(known_fences, default=0) > fence:
            self._write_response(writer, 409, [], "")
            return
        self.fences.append((first, last, fence))
        self._remove_range(first, last)
        fields = []
        if target.endswith("/grant"):
            expires_at = (
                time.monotonic()
                + call["hold_time"] * _SLOW_CLOCK_FACTOR / 1000
            )
            self.leases.append((first, last, fence, expires_at))
        else:
            fields.append(("Tarragonhinge-Duty-Handover", "token"))
        self._write_response(writer, 200, fields, "")

    def _remove_range(self, first: int, last: int) -> None:
        """Remove a range from the leases and keep what lies outside it."""
        kept = []
        for low, high, fence, expires_at in self.leases:
            if low < first:
                kept.append((low, min(high, first - 1), fence, expires_at))
            if high > last:
                kept.append((max(low, last + 1), high, fence, expires_at))
        self.leases = kept


def _reset_connection(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a reset, not with an orderly end."""
    writer.get_extra_info("socket").setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
    )
    writer.transport.abort()
