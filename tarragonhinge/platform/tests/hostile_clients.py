"""Fixture: one instance process and clients that nobody controls."""

import asyncio
import collections
import contextlib
import json
import os
import pathlib
import socket
import struct
import sys

from tarragonhinge import base
from tarragonhinge import http1
from tarragonhinge.platform import standins

#: Limit on each wait, in seconds.
TIMEOUT_S = 30

#: Time in which a crowd of clients sends what the instance takes, in seconds.
CROWD_S = 4

SERVER_COUNT = 4
BYTES_PER_MB = 1_000_000

#: State of a listening socket in ``/proc/net/tcp``.
LISTENING = "0A"

#: Interval at which descriptors and memory are counted, in seconds.
COUNT_INTERVAL_S = 0.02

PART = b"b" * 65_536

NODE = """\
node=e1
ip={ip}
zone=za
region=ra
zones.za=ra
listen.front={ip}:8100
listen.ready={ip}:8101
internalPorts=8102,8103
platform.address={ip}:8000
limits.memoryMb={memory_mb}
limits.maxFds={max_descriptors}
"""


class InstanceProcess:
    """An instance process with a store and servers on loopback addresses.

    Attributes
    ----------
    servers : list of StandInServer
        The servers.
    events : list of dict
        Events that the process has logged.
    most_descriptors : int
        Largest number of open descriptors that was counted.
    most_bytes : int
        Largest sum of resident memory and of what the kernel has received
        from clients and servers and the process has not read.
    """

    def __init__(self, path, *, ip, memory_mb, max_body_bytes, fds=1_024):
        self._path = pathlib.Path(path) / "node.conf"
        self._settings = NODE.format(
            ip=ip, memory_mb=memory_mb, max_descriptors=fds
        )
        self._max_body_bytes = max_body_bytes
        self.ip = ip
        self.servers = [
            standins.StandInServer(f"i-{number}", slots=8)
            for number in range(SERVER_COUNT)
        ]
        self.events = []
        self.most_descriptors = 0
        self.most_bytes = 0
        self._clients = []

    async def __aenter__(self):
        self._path.write_text(self._settings)
        store = standins.StandInStore()
        self._runner = await http1.listen(
            store.make_application(), base.Address(f"{self.ip}:8000")
        )
        for server in self.servers:
            # Keeps the test process from holding all bodies.
            server.received = collections.deque(maxlen=1)
            await server.start(self.ip)
        self._write_rows(store)
        self._process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "tarragonhinge",
            "run",
            f"--settings={self._path}",
            stdout=asyncio.subprocess.PIPE,
        )
        ready = asyncio.Event()
        self._log = asyncio.create_task(self._read_log(ready))
        self._watch = self._log
        try:
            async with asyncio.timeout(TIMEOUT_S):
                await ready.wait()
        except TimeoutError:
            await self.__aexit__()
            raise
        self._watch = asyncio.create_task(self._watch_process())
        return self

    async def __aexit__(self, *_):
        for writer in self._clients:
            writer.transport.abort()
        if self._process.returncode is None:
            self._process.kill()
            await self._process.wait()
        self._log.cancel()
        self._watch.cancel()
        for server in self.servers:
            await server.stop()
        await self._runner.cleanup()

    def _write_rows(self, store):
        for server in self.servers:
            entry = {
                "service": "books",
                "address": server.address,
                "zone": "za",
                "slots": 8,
                "state": "ready",
                "born": 1,
            }
            store.put("servers", server.name, json.dumps(entry).encode())
        routes = [
            {
                "name": name,
                "host": "h.example",
                "prefix": f"/{name}/",
                "kind": kind,
                "timeout": 20_000,
                "service": "books",
            }
            for name, kind in (("safe", "safe"), ("upload", "upload"))
        ]
        config = {
            "version": 1,
            "routes": routes,
            "services": [{"name": "books", "maxConns": 64}],
            "limits": {
                "maxBodyBytes": self._max_body_bytes,
                "headerTimeout": 20_000,
                "idleTimeout": 20_000,
            },
        }
        store.put("op", "config", json.dumps(config).encode())

    async def _read_log(self, ready):
        while line := await self._process.stdout.readline():
            event = json.loads(line)
            self.events.append(event)
            if event["event"] == "readiness" and event["ready"]:
                ready.set()

    def is_running(self):
        return self._process.returncode is None

    def read_peak_bytes(self):
        """Return the largest resident memory since the start."""
        status = pathlib.Path(f"/proc/{self._process.pid}/status").read_text()
        line = next(t for t in status.splitlines() if t.startswith("VmHWM"))
        return int(line.split()[1]) * 1_024

    def count_descriptors(self):
        folder = pathlib.Path(f"/proc/{self._process.pid}/fd")
        return len(list(folder.iterdir()))

    async def _watch_process(self):
        while self.is_running():
            with contextlib.suppress(OSError):
                self.most_descriptors = max(
                    self.most_descriptors, self.count_descriptors()
                )
                self.most_bytes = max(
                    self.most_bytes, self._read_bytes() + self._count_unread()
                )
            await asyncio.sleep(COUNT_INTERVAL_S)

    def _read_bytes(self):
        sizes = pathlib.Path(f"/proc/{self._process.pid}/statm").read_text()
        return int(sizes.split()[1]) * os.sysconf("SC_PAGESIZE")

    def _count_unread(self):
        """Return what the kernel has received and the process not read."""
        front = _encode_address(f"{self.ip}:8100")
        servers = {_encode_address(server.address) for server in self.servers}
        lines = pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]
        rows = [line.split() for line in lines]
        return sum(
            int(row[4].partition(":")[2], 16)
            for row in rows
            if row[3] != LISTENING and (row[1] == front or row[2] in servers)
        )

    async def connect(self):
        """Open a client's connection, which stays open until the end."""
        reader, writer = await asyncio.open_connection(self.ip, 8100)
        self._clients.append(writer)
        return reader, writer

    async def run_crowd(self, clients, *, limit_s=CROWD_S):
        """Run clients until all are done, or all that can send have sent."""
        tasks = [asyncio.create_task(client) for client in clients]
        await asyncio.wait(tasks, timeout=limit_s)
        for task in tasks:
            task.cancel()
        results = await asyncio.gather(*tasks, return_exceptions=True)
        for result in results:
            if isinstance(result, Exception) and not isinstance(
                result, OSError | EOFError
            ):
                raise result

    async def request(self, head_and_body):
        """Send a request on a new connection and return the response."""
        reader, writer = await asyncio.open_connection(self.ip, 8100)
        try:
            for part in head_and_body:
                writer.write(part)
                await writer.drain()
            return await reader.read()
        finally:
            writer.transport.abort()

    async def ask_until_answered(self, *request):
        """Send a request, by default an ordinary one, and retry it.

        Raises
        ------
        TimeoutError
            If there is no answer of a server.
        """
        head = make_head("GET", "/safe/ordinary", closes=True)
        request = request or (head,)
        async with asyncio.timeout(TIMEOUT_S):
            while True:
                with contextlib.suppress(OSError):
                    response = await self.request(request)
                    if response.startswith(b"HTTP/1.1 200"):
                        return response
                await asyncio.sleep(0.1)


def _encode_address(address):
    """Return an address as ``/proc/net/tcp`` shows it."""
    host, _, port = address.rpartition(":")
    number = int.from_bytes(socket.inet_aton(host), sys.byteorder)
    return f"{number:08X}:{int(port):04X}"


async def send_upload(
    writer, byte_count, *fields, target="/upload/1", is_chunked=False
):
    """Send a request with a body, whole."""
    length = f"Content-Length: {byte_count}"
    framing = "Transfer-Encoding: chunked" if is_chunked else length
    writer.write(make_head("POST", target, framing, *fields))
    while byte_count:
        part = PART[:byte_count]
        byte_count -= len(part)
        if is_chunked:
            writer.write(b"%x\r\n%b\r\n" % (len(part), part))
        else:
            writer.write(part)
        await writer.drain()
    if is_chunked:
        writer.write(b"0\r\n\r\n")


async def read_response(reader):
    """Return the head of a response whose body is read, too."""
    head = (await reader.readuntil(b"\r\n\r\n")).lower()
    _, _, rest = head.partition(b"content-length: ")
    await reader.readexactly(int(rest.split(b"\r\n")[0]))
    return head


def leave(writer, *, resets):
    """Close a connection, with a reset or with an orderly end."""
    if resets:
        writer.get_extra_info("socket").setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
        writer.transport.abort()
    else:
        writer.close()


def make_head(method, target, *fields, closes=False):
    lines = [
        f"{method} {target} HTTP/1.1",
        "Host: h.example",
        "Tarragonhinge-Request-Attempt-Id: a1",
        *fields,
    ]
    if closes:
        lines.append("Connection: close")
    return "\r\n".join([*lines, "", ""]).encode()
