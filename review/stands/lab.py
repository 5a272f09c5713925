"""Stand-ins for the platform, upstreams and clients, and the processes.

Each case starts the project's own program as separate processes, with the
commands of the deploy file, on loopback addresses. Everything here needs the
standard library only.
"""

import asyncio
import base64
import bisect
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import dataclasses
import json
import os
import pathlib
import random
import signal
import socket
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]

#: Largest page of the store, in rows and bytes (PROTOCOL.md).
PAGE_ROWS, PAGE_BYTES = 500, 1_000_000

NODE_FILE = """\
node={name}
role=instance
machineClass=edge
serves=edge
ip={ip}
zone={zone}
region={region}
zones.za=ra
zones.zb=rb
listen.front={ip}:{port}
listen.ready={ip}:{ready}
internalPorts={inner},{last}
bootstrap=true
inTolerance=false
limits.cpuShare=0.86
limits.cpuCores=1
limits.memoryMb=300
limits.maxFds=4100
limits.linkMbps=1000.0
limits.diskMb=0
discovery=platform
entry=vip
heartbeat=870
contracts=base,drain,config,cost,retry,recover,own,platform
faultTolerance.machines=2
bounds.seedLag=3
bounds.reuseAfter=2
bounds.contact=3000
bounds.ack=4000
bounds.catchUp=4
bounds.drain=2500
bounds.grace=6
bounds.lossSlack=200
bounds.configApply=2500
bounds.revertSlack=250
bounds.skewMax=5000
bounds.retryRatio=0.2
bounds.budgetWindow=10
bounds.retrySlack=64
bounds.recovery=15
bounds.holdMax=10000
bounds.thaw=300
grants=rpc
platform.address={store}
platform.form=table
platform.writesPerS=400
platform.readsPerS=2000
platform.tx=5.0
platform.partWritesS=200
platform.rowBytes=65536
platform.across=false
platform.history=20
"""


class Record:
    """Writes what was sent, answered and run to ``record.txt``."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._began_at = time.monotonic()

    def now(self) -> float:
        """Return the time since the start, in seconds."""
        return time.monotonic() - self._began_at

    def write(self, text: str) -> None:
        """Write one line with the time."""
        self._file.write(f"{self.now():9.3f} {text}\n")

    def close(self) -> None:
        """Write everything to the disk."""
        self._file.close()


@dataclasses.dataclass(kw_only=True)
class Message:
    """A request or a response; names of fields are in lower case."""

    first: str
    fields: dict[str, str]
    body: bytes = b""

    @property
    def parts(self) -> list[str]:
        """Return the parts of the first line."""
        return self.first.split(" ", 2)

    @property
    def status(self) -> int:
        """Return the status of a response."""
        return int(self.parts[1])


async def read_head(reader: asyncio.StreamReader) -> Message:
    """Read the head of a message."""
    raw = await reader.readuntil(b"\r\n\r\n")
    lines = raw.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, separator, value = line.partition(":")
        if separator:
            fields[name.strip().lower()] = value.strip()
    return Message(first=lines[0], fields=fields)


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read a message whose body has a length or is in chunks."""
    message = await read_head(reader)
    if message.fields.get("transfer-encoding") == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if not size:
                break
        message.body = body
    elif "content-length" in message.fields:
        length = int(message.fields["content-length"])
        message.body = await reader.readexactly(length)
    return message


def encode(
    status: int, fields: dict[str, str] | None = None, body: bytes = b""
) -> bytes:
    """Encode a response."""
    lines = [f"HTTP/1.1 {status} S"]
    lines += [f"{name}: {value}" for name, value in (fields or {}).items()]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


class Store:
    """The platform's store: tables, transactions, feeds and pages.

    Attributes
    ----------
    way_s : float
        Network delay of one way.
    answer_s : float
        Time for one answer.
    pages : list
        Time, table and position of each page that was served.
    """

    def __init__(self, record: Record) -> None:
        self._record = record
        self.rows: dict[str, dict[str, tuple[bytes, int]]] = {}
        self._keys: dict[str, list[str]] = {}
        self._log: list[tuple[int, str, str, bytes | None]] = []
        self._kept_from = 0
        self.version = 1
        self.way_s = 0.0
        self.answer_s = 0.004
        self.pages: list[tuple[float, str, str]] = []
        self._changed = asyncio.Event()
        self.address = ""

    async def start(self, host: str) -> None:
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, host, 0)
        self.address = f"{host}:{server.sockets[0].getsockname()[1]}"

    def put(self, table: str, key: str, value: dict) -> int:
        """Write a row on behalf of the operator or an upstream."""
        return self._apply([(table, key, json.dumps(value).encode())])

    def drop(self, table: str, key: str) -> int:
        """Remove a row."""
        return self._apply([(table, key, None)])

    def forget_history(self) -> None:
        """Discard the history."""
        self._kept_from = self.version
        self._log.clear()
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _apply(self, writes: list[tuple[str, str, bytes | None]]) -> int:
        self.version += 1
        for table, key, value in writes:
            rows = self.rows.setdefault(table, {})
            keys = self._keys.setdefault(table, [])
            if value is None:
                if rows.pop(key, None) is not None:
                    keys.remove(key)
            else:
                if key not in rows:
                    bisect.insort(keys, key)
                rows[key] = (value, self.version)
            self._log.append((self.version, table, key, value))
        self._wake()
        return self.version

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                call = await read_message(reader)
                await asyncio.sleep(self.way_s)
                status, body = await self._answer(call)
                await asyncio.sleep(self.answer_s + self.way_s)
                writer.write(
                    encode(
                        status,
                        {"Content-Type": "application/json"},
                        json.dumps(body).encode(),
                    )
                )
                await writer.drain()
        except (OSError, EOFError, ValueError):
            pass
        finally:
            writer.transport.abort()

    async def _answer(self, call: Message) -> tuple[int, dict]:
        method, target, _ = call.parts
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
        name = url.path.rpartition("/")[2]
        if name == "rows-get":
            return 200, self._get(query)
        if name == "rows-feed":
            return await self._feed(query)
        if name == "rows-tx" and method == "POST":
            return self._transact(json.loads(call.body))
        return 404, {}

    def _stamp(self, body: dict) -> dict:
        now = int(time.monotonic() * 1000)
        return {**body, "ver": self.version, "now": now}

    @staticmethod
    def _encode_row(table: str, key: str, value: bytes, ver: int) -> dict:
        return {
            "table": table,
            "part": "",
            "key": key,
            "value": base64.b64encode(value).decode(),
            "ver": ver,
        }

    def _get(self, query: dict[str, str]) -> dict:
        table, first = query["table"], query.get("from", "")
        rows, size, has_more = [], 0, False
        if not query.get("part"):
            keys = self._keys.get(table, [])
            limit = min(PAGE_ROWS, int(query.get("limit", PAGE_ROWS)))
            for key in keys[bisect.bisect_left(keys, first) :]:
                if "to" in query and key >= query["to"]:
                    break
                row = self._encode_row(table, key, *self.rows[table][key])
                size += len(json.dumps(row))
                if len(rows) >= limit or size > PAGE_BYTES:
                    has_more = True
                    break
                rows.append(row)
        self.pages.append((self._record.now(), table, first))
        if has_more or first:
            self._record.write(
                f"store: a page of {table} from {first!r}, {len(rows)} rows,"
                f" hasMore={has_more}, ver={self.version}"
            )
        return self._stamp({"rows": rows, "hasMore": has_more})

    async def _feed(self, query: dict[str, str]) -> tuple[int, dict]:
        after, table = int(query["after"]), query["table"]
        wait_s = min(30.0, int(query.get("waitMs", 0)) / 1000)
        ends_at = time.monotonic() + wait_s
        while True:
            if after < self._kept_from or after > self.version:
                return 410, {}
            found = {}
            start = bisect.bisect_right(self._log, after, key=lambda e: e[0])
            for ver, where, key, value in self._log[start:]:
                if where == table:
                    found.pop(key, None)
                    found[key] = (ver, value)
            left_s = ends_at - time.monotonic()
            if found or left_s <= 0:
                break
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left_s):
                    await self._changed.wait()
        rows = []
        for key, (ver, value) in found.items():
            row = self._encode_row(table, key, value or b"", ver)
            if value is None:
                row["tombstone"] = True
            rows.append(row)
        return 200, self._stamp({"rows": rows})

    def _transact(self, body: dict) -> tuple[int, dict]:
        for check in body.get("expectedRev", []):
            rows = self.rows.get(check["table"], {})
            if rows.get(check["key"], (b"", 0))[1] != check["ver"]:
                return 412, self._stamp({"rows": []})
        writes = [
            (put["table"], put["key"], base64.b64decode(put["value"]))
            for put in body.get("puts", [])
        ]
        writes += [(r["table"], r["key"], None) for r in body["remove"]]
        self._apply(writes)
        return 200, self._stamp({})


@dataclasses.dataclass(kw_only=True)
class Arrival:
    """A request that reached an upstream."""

    at: float
    upstream: str
    attempt: str
    target: str
    ran: bool = False
    ended: str = ""


class Upstream:
    """One upstream.

    It runs `slots` requests at a time, queues `queue` more, and rejects what
    goes beyond. One with `sharded` runs a request only while it holds its
    key.
    """

    def __init__(
        self,
        name: str,
        *,
        record: Record,
        service: str,
        zone: str = "za",
        sharded: bool = False,
        slots: int = 2,
        queue: int = 8,
        work_s: float = 0.1,
        is_quiet: bool = False,
    ) -> None:
        self.name = name
        self.service = service
        self.zone = zone
        self.sharded = sharded
        self.slots, self.queue = slots, queue
        self.work_s = work_s
        self._record = record
        self._is_quiet = is_quiet
        self.arrivals: list[Arrival] = []
        self.state = "ready"
        self.extra_fields: dict[str, str] = {}
        self.running = self.waiting = 0
        self._free = asyncio.Condition()
        self._held: list[tuple[int, int, float, int]] = []
        self._seen: list[tuple[int, int, int]] = []
        self._at_work: dict[int, int] = {}
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self.born = int(time.time() * 1000)
        self.address = ""

    async def start(self, host: str) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, host, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{host}:{port}"

    def make_entry(self) -> dict:
        """Return the entry for the store."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "warmupLeft": 0,
            "seq": 1,
            "born": self.born,
        }

    async def end(self) -> None:
        """End: close the listener and all connections."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def holds(self, key: int) -> bool:
        """Return whether it holds a key."""
        now = time.monotonic()
        return any(a <= key <= b and now < t for a, b, t, _ in self._held)

    def _cut(self, first: int, last: int) -> None:
        held = []
        for a, b, until, fence in self._held:
            if b < first or a > last:
                held.append((a, b, until, fence))
                continue
            if a < first:
                held.append((a, first - 1, until, fence))
            if b > last:
                held.append((last + 1, b, until, fence))
        self._held = held

    def _note_fence(self, first: int, last: int, fence: int) -> None:
        self._seen = [
            (a, b, f)
            for a, b, f in self._seen
            if not (first <= a and b <= last and f <= fence)
        ]
        self._seen.append((first, last, fence))

    def _grant(self, body: dict) -> int:
        first, last, fence = body["from"], body["to"], body["fence"]
        if any(
            f > fence and a <= last and b >= first for a, b, f in self._seen
        ):
            return 409
        self._note_fence(first, last, fence)
        self._cut(first, last)
        until = time.monotonic() + body["hold_time"] / 1000
        self._held.append((first, last, until, fence))
        return 200

    async def _release(self, body: dict) -> None:
        first, last = body["from"], body["to"]
        self._note_fence(first, last, body["fence"])
        self._cut(first, last)
        async with self._free:
            await self._free.wait_for(
                lambda: not any(first <= k <= last for k in self._at_work)
            )

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while True:
                request = await read_message(reader)
                response = asyncio.create_task(self._respond(request))
                gone = asyncio.create_task(_wait_for_end(reader))
                await asyncio.wait(
                    [response, gone], return_when=asyncio.FIRST_COMPLETED
                )
                gone.cancel()
                if not response.done():
                    response.cancel()
                    break
                writer.write(response.result())
                await writer.drain()
        except (OSError, EOFError, ValueError):
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _respond(self, request: Message) -> bytes:
        method, target, _ = request.parts
        expected = request.fields.get("tarragonhinge-expect-instance")
        own = {"Tarragonhinge-Instance-Id": self.name}
        if expected not in (None, self.name):
            return encode(421, own)
        if target == "/tarragonhinge/grant":
            return encode(self._grant(json.loads(request.body)))
        if target == "/tarragonhinge/release":
            await self._release(json.loads(request.body))
            return encode(200, {"Tarragonhinge-Duty-Handover": "5c0e"})
        if target == "/healthz":
            return encode(200 if self.state == "ready" else 503, own)
        return await self._run(request, target)

    async def _run(self, request: Message, target: str) -> bytes:
        attempt = request.fields.get("tarragonhinge-request-attempt-id", "")
        arrival = Arrival(
            at=self._record.now(),
            upstream=self.name,
            attempt=attempt,
            target=target,
        )
        self.arrivals.append(arrival)
        key = int(request.fields.get("tarragonhinge-shard-key", -1))
        refusal = {"Tarragonhinge-Not-Executed": "1"}
        if self.sharded and not self.holds(key):
            arrival.ended = "421"
            return encode(421, {**refusal, **self.extra_fields})
        if self.running >= self.slots and self.waiting >= self.queue:
            arrival.ended = "503"
            return encode(503, {**refusal, **self.extra_fields})
        self.waiting += 1
        try:
            async with self._free:
                await self._free.wait_for(lambda: self.running < self.slots)
                self.running += 1
        finally:
            self.waiting -= 1
        arrival.ran = True
        arrival.ended = "broken off"
        self._at_work[key] = self._at_work.get(key, 0) + 1
        if not self._is_quiet:
            self._record.write(f"{self.name}: runs {attempt} {target}")
        try:
            await asyncio.sleep(self.work_s)
            arrival.ended = "200"
        finally:
            self._at_work[key] -= 1
            if not self._at_work[key]:
                del self._at_work[key]
            self.running -= 1
            if not self._is_quiet:
                self._record.write(f"{self.name}: {attempt} {arrival.ended}")
            async with self._free:
                self._free.notify_all()
        fields = {
            "Tarragonhinge-Request-Attempt-Id": attempt,
            "Tarragonhinge-Upstream-Seal": f"3e1b.{self.name}",
            "Tarragonhinge-Upstream-Load": (
                f"{self.running},{self.waiting},{self.slots}"
            ),
            "Keep-Alive": "timeout=10",
        }
        body = self.make_body(target, attempt)
        return encode(200, {**fields, **self.extra_fields}, body)

    def make_body(self, target: str, attempt: str) -> bytes:
        """Return the body of an answer."""
        return f"{self.name} {target} {attempt}".encode()


async def _wait_for_end(reader: asyncio.StreamReader) -> None:
    """Wait until the peer closes; it sends nothing meanwhile."""
    while True:
        if reader.at_eof() or reader.exception() is not None:
            return
        await asyncio.sleep(0.01)


class Instance:
    """One process of the system."""

    def __init__(
        self,
        name: str,
        *,
        ip: str,
        zone: str,
        store: str,
        folder: pathlib.Path,
        record: Record,
        changes: dict[str, str] | None = None,
    ) -> None:
        self.name, self.ip = name, ip
        self._record = record
        ports = _find_ports(ip, 3)
        inner = _find_pair(ip)
        self.front = f"{ip}:{ports[0]}"
        self.ready = f"{ip}:{ports[1]}"
        self.settings = folder / f"{name}.conf"
        self.log = folder / f"{name}.log"
        text = NODE_FILE.format(
            name=name,
            ip=ip,
            zone=zone,
            region=zone.replace("z", "r"),
            port=ports[0],
            ready=ports[1],
            inner=inner,
            last=inner + 15,
            store=store,
        )
        for field, value in (changes or {}).items():
            text += f"{field}={value}\n"
        self.settings.write_text(text, encoding="utf-8")
        self.process: asyncio.subprocess.Process | None = None
        self.disturbed_at: list[float] = []

    async def start(self) -> None:
        """Start the process with the command of the deploy file."""
        self.disturbed_at.append(self._record.now())
        variables = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/tmp"),
            "LANG": os.environ.get("LANG", "C.UTF-8"),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "TARRAGONHINGE_NODE_FILE": str(self.settings),
        }
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "python3",
                "-m",
                "tarragonhinge",
                "run",
                cwd=ROOT,
                env=variables,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self._record.write(f"{self.name}: started")

    @property
    def is_running(self) -> bool:
        """Whether the process runs."""
        return self.process is not None and self.process.returncode is None

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        self.disturbed_at.append(self._record.now())
        self._record.write(f"{self.name}: {number.name}")
        if self.is_running:
            self.process.send_signal(number)

    async def end(self) -> None:
        """Kill the process."""
        if self.is_running:
            self.process.kill()
        if self.process is not None:
            await self.process.wait()

    def read_rss(self) -> int:
        """Return the resident memory in bytes; 0 if it has ended."""
        with contextlib.suppress(OSError):
            path = pathlib.Path(f"/proc/{self.process.pid}/statm")
            return int(path.read_text().split()[1]) * os.sysconf("SC_PAGESIZE")
        return 0

    async def is_ready(self) -> bool:
        """Ask for readiness."""
        try:
            async with asyncio.timeout(1):
                response = await call(self.ready, "GET", READY_PATH)
        except (OSError, EOFError, ValueError, TimeoutError):
            return False
        return response.status == 200

    async def read_state(self) -> dict:
        """Return the events that the process has logged last."""
        text = self.log.read_text(encoding="utf-8", errors="replace")
        return {"log": text}


READY_PATH = "/tarragonhinge/readyz"


class MemoryWatch:
    """Does what the platform does when a process exceeds its memory.

    "A process that exceeds `memoryMb` is killed" (DEPLOY.md), and started
    again after a short delay.

    Attributes
    ----------
    ends : dict of str to int
        Number of ends by machine.
    """

    def __init__(
        self, record: Record, *, memory_bytes: int, restart_s: float = 1.0
    ) -> None:
        self._record = record
        self._memory_bytes = memory_bytes
        self._restart_s = restart_s
        self.ends: dict[str, int] = {}

    async def run(self, instance: Instance) -> None:
        """Watch the process of one instance until cancelled."""
        largest = 0
        while True:
            await asyncio.sleep(0.02)
            used = instance.read_rss()
            if used > largest + 20_000_000:
                largest = used
                self._record.write(
                    f"{instance.name}: uses {used / 1e6:.0f} MB"
                )
            if used <= self._memory_bytes:
                continue
            self._record.write(
                f"{instance.name}: {used / 1e6:.0f} MB exceed the"
                f" {self._memory_bytes / 1e6:.0f} MB of its machine"
            )
            instance.send(signal.SIGKILL)
            await instance.process.wait()
            self.ends[instance.name] = self.ends.get(instance.name, 0) + 1
            largest = 0
            await asyncio.sleep(self._restart_s)
            await instance.start()

    def judge(self) -> list[str]:
        """Return the machines whose processes ended too often.

        The rule is broken from three ends on two machines.
        """
        self._record.write(f"processes killed for their memory: {self.ends}")
        often = [name for name, count in self.ends.items() if count >= 3]
        if len(often) < 2:
            return []
        return [
            f"Fault: the process of {name} ended {self.ends[name]} times by"
            " itself, with its memory over the limit"
            for name in often
        ]


def _find_ports(ip: str, count: int) -> list[int]:
    socks = [socket.create_server((ip, 0)) for _ in range(count)]
    ports = [sock.getsockname()[1] for sock in socks]
    for sock in socks:
        sock.close()
    return ports


def _find_pair(ip: str) -> int:
    """Return the first of two adjacent free ports."""
    while True:
        port = random.randint(20_000, 30_000)
        with contextlib.suppress(OSError):
            for number in (port, port + 1):
                socket.create_server((ip, number)).close()
            return port


def find_subnet() -> str:
    """Return the beginning of loopback addresses that are free."""
    while True:
        subnet = f"127.{random.randint(20, 220)}.{random.randint(1, 250)}"
        with contextlib.suppress(OSError):
            socket.create_server((f"{subnet}.1", 9464)).close()
            return subnet


async def call(
    address: str,
    method: str,
    target: str,
    *,
    fields: dict[str, str] | None = None,
    body: bytes = b"",
) -> Message:
    """Send one request on a new connection and return the response."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        lines = [f"{method} {target} HTTP/1.1"]
        fields = {"Host": address, **(fields or {})}
        lines += [f"{n}: {v}" for n, v in fields.items()]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        writer.write("\r\n".join([*lines, "", ""]).encode() + body)
        return await read_message(reader)
    finally:
        writer.transport.abort()


@dataclasses.dataclass(kw_only=True)
class Attempt:
    """An attempt of a client and its outcome."""

    number: str
    instance: str
    sent_at: float
    ended_at: float = 0.0
    outcome: str = "none"
    seal: str = ""
    body: bytes = b""
    fields: dict[str, str] = dataclasses.field(default_factory=dict)


class Clients:
    """Clients that send requests and record the outcomes."""

    def __init__(self, record: Record, host: str) -> None:
        self._record = record
        self._host = host
        self.attempts: dict[str, Attempt] = {}
        self._tasks: set[asyncio.Task] = set()
        self._count = 0

    async def send(
        self,
        instance: Instance,
        method: str,
        target: str,
        *,
        key: int | None = None,
        deadline_ms: int = 5_000,
        body: bytes = b"",
        is_quiet: bool = False,
    ) -> Attempt:
        """Send one attempt and wait for its end."""
        self._count += 1
        number = f"{self._count:08x}"
        attempt = Attempt(
            number=number,
            instance=instance.name,
            sent_at=self._record.now(),
        )
        self.attempts[number] = attempt
        fields = {
            "Host": self._host,
            "Tarragonhinge-Request-Attempt-Id": number,
            "Tarragonhinge-Deadline-Ms": str(deadline_ms),
        }
        if key is not None:
            fields["Tarragonhinge-Shard-Key"] = str(key)
        if not is_quiet:
            self._record.write(
                f"client: sends {number} {method} {target} to {instance.name}"
            )
        try:
            async with asyncio.timeout(deadline_ms / 1000 + 1):
                response = await call(
                    instance.front, method, target, fields=fields, body=body
                )
            attempt.outcome = str(response.status)
            attempt.fields = response.fields
            attempt.seal = response.fields.get(
                "tarragonhinge-upstream-seal", ""
            )
            attempt.body = response.body
        except TimeoutError:
            attempt.outcome = "no answer"
        except (OSError, EOFError, ValueError) as error:
            attempt.outcome = f"closed ({type(error).__name__})"
        attempt.ended_at = self._record.now()
        if not is_quiet:
            self._record.write(f"client: {number} ends: {attempt.outcome}")
        return attempt

    def start(self, instance: Instance, *args: object, **more: object) -> None:
        """Send one attempt in the background."""
        task = asyncio.create_task(self.send(instance, *args, **more))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def finish(self) -> None:
        """Wait until all attempts have ended."""
        if self._tasks:
            await asyncio.wait(self._tasks)


def make_route(
    name: str,
    host: str,
    prefix: str,
    kind: str,
    service: str,
    *,
    timeout: int = 5_000,
    goal: int = 800,
    attempts: int = 2,
    priority: int = 1,
) -> dict:
    """Return a route of the manifest."""
    return {
        "name": name,
        "host": host,
        "prefix": prefix,
        "kind": kind,
        "timeout": timeout,
        "goalLatency": goal,
        "priority": priority,
        "service": service,
        "maxAttempts": attempts,
    }


def make_service(name: str, *, sharded: bool = False) -> dict:
    """Return a service of the manifest."""
    service = {
        "name": name,
        "healthPath": "/healthz",
        "maxConns": 130,
        "protocol": "h1",
        "tls": False,
    }
    if sharded:
        service.update(sharded=True, warm=2.0, grants="rpc")
    return service


LIMITS = {
    "maxHeaderBytes": 16_384,
    "maxBodyBytes": 67_108_864,
    "headerTimeout": 3_000,
    "idleTimeout": 15_000,
}


class Lab:
    """Everything that one run of a case starts."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = Record(folder)
        self.record.write(f"TROUBLE={int(self.has_trouble)}")
        self.temporary = tempfile.TemporaryDirectory()
        self.path = pathlib.Path(self.temporary.name)
        self.subnet = find_subnet()
        self.store = Store(self.record)
        self.instances: list[Instance] = []
        self.upstreams: dict[str, Upstream] = {}
        self.version = 1

    async def start_store(self) -> None:
        """Start the store."""
        await self.store.start(f"{self.subnet}.1")

    def write_manifest(self, routes: list[dict], services: list[dict]) -> None:
        """Write the next version of the manifest."""
        self.version += 2
        self.store.put(
            "op",
            "config",
            {
                "version": self.version,
                "routes": routes,
                "services": services,
                "limits": LIMITS,
            },
        )

    async def add_upstream(self, upstream: Upstream) -> None:
        """Start an upstream and register it."""
        if not upstream.address:
            await upstream.start(f"{self.subnet}.2")
        self.upstreams[upstream.name] = upstream
        self.store.put("servers", upstream.name, upstream.make_entry())

    async def start_instances(
        self,
        count: int,
        *,
        zones: str = "ab",
        changes: dict[str, str] | None = None,
    ) -> None:
        """Start instances and wait until all are ready."""
        for number in range(count):
            self.instances.append(
                Instance(
                    f"e{number + 1}",
                    ip=f"{self.subnet}.{10 + number}",
                    zone=f"z{zones[number % len(zones)]}",
                    store=self.store.address,
                    folder=self.path,
                    record=self.record,
                    changes=changes,
                )
            )
        await asyncio.gather(*(i.start() for i in self.instances))
        await self.wait_ready(self.instances, timeout_s=30)

    async def wait_ready(
        self, instances: list[Instance], *, timeout_s: float
    ) -> None:
        """Wait until instances say that they are ready.

        Raises
        ------
        RuntimeError
            If they are not in time.
        """
        ends_at = time.monotonic() + timeout_s
        while not all([await i.is_ready() for i in instances]):
            if time.monotonic() > ends_at:
                raise RuntimeError("the instances do not get ready")
            await asyncio.sleep(0.1)
        self.record.write("ready: " + " ".join(i.name for i in instances))

    def find_coordinator(self) -> Instance:
        """Return the instance that leads, as the last claim names it."""
        value, _ = self.store.rows["tarragonhinge-leadership"]["coordinator"]
        name = json.loads(value)["instance"]
        return next(i for i in self.instances if i.name == name)

    async def end(self) -> None:
        """End everything."""
        own = asyncio.current_task()
        others = [t for t in asyncio.all_tasks() if t is not own]
        for task in others:
            task.cancel()
        await asyncio.gather(*others, return_exceptions=True)
        for upstream in self.upstreams.values():
            await upstream.end()
        await asyncio.sleep(0.1)
        for instance in self.instances:
            await instance.end()
        keep = os.environ.get("LAB_LOGS")
        if keep:
            for instance in self.instances:
                target = pathlib.Path(keep) / instance.log.name
                target.write_bytes(instance.log.read_bytes())
        self.record.close()
        self.temporary.cleanup()


def run_case(
    folder: pathlib.Path, case: Callable[[Lab], Awaitable[list[str]]]
) -> int:
    """Run a case; return 1 if it names broken rules, 0 if not, or 2."""

    async def run() -> int:
        lab = Lab(folder)
        task = asyncio.create_task(case(lab))
        # A signal ends the case, and with it all processes.
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        try:
            async with asyncio.timeout(112):
                broken = await task
        except (Exception, asyncio.CancelledError) as error:
            lab.record.write(f"the case could not run: {error!r}")
            print(f"the case could not run: {error!r}", file=sys.stderr)
            return 2
        else:
            for line in broken:
                lab.record.write(f"BROKEN {line}")
                print(f"BROKEN {line}")
            lab.record.write("rule broken" if broken else "rule held")
            print("rule broken" if broken else "rule held")
            return 1 if broken else 0
        finally:
            await lab.end()

    return asyncio.run(run())
