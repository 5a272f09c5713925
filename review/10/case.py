"""An upstream that reads an upload slowly while its machine is stopped."""

import asyncio
import contextlib
import pathlib
import signal
import socket
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "stands"))

import lab  # noqa: E402

HOST = "camp.example"

#: Largest upload of demands/raktasewa-gw-grown, and its deadline.
BODY_BYTES, DEADLINE_MS = 360_000, 12_000

#: Size of a segment on Ethernet, and of the upstream's receive buffer.
SEGMENT_BYTES, BUFFER_BYTES = 1_460, 32_768

#: Time for which the upstream works on the first part of a body.
PAUSE_S = 3.0

#: Time between SIGTERM and SIGKILL.
GRACE_S = 6.0

UPLOADS = 4


class Intake(lab.Upstream):
    """Upstream that works on an upload as it reads it."""

    def __init__(self, name: str, *, bed: lab.Lab) -> None:
        super().__init__(name, record=bed.record, service="intake", slots=6)
        self._bed = bed

    async def start(self, host: str) -> None:
        """Listen on a free port, as a machine on Ethernet."""
        sock = socket.create_server((host, 0))
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
        self._server = await asyncio.start_server(
            self._take, sock=sock, limit=8_192
        )
        self.address = f"{host}:{sock.getsockname()[1]}"

    async def _take(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                head = await lab.read_head(reader)
                await self._work(head, reader, writer)
        except (OSError, EOFError, ValueError):
            pass
        finally:
            writer.transport.abort()

    async def _work(
        self,
        head: lab.Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        attempt = head.fields["tarragonhinge-request-attempt-id"]
        arrival = lab.Arrival(
            at=self._record.now(),
            upstream=self.name,
            attempt=attempt,
            target=head.parts[1],
            ran=True,
            ended="broken off",
        )
        self.arrivals.append(arrival)
        self._record.write(f"{self.name}: runs {attempt}")
        try:
            length = int(head.fields["content-length"])
            first = length // 4
            await reader.readexactly(first)
            if self._bed.has_trouble:
                await asyncio.sleep(PAUSE_S)
                await reader.readexactly(length - first)
            else:
                await reader.readexactly(length - first)
                await asyncio.sleep(PAUSE_S)
            arrival.ended = "200"
        finally:
            self._record.write(f"{self.name}: {attempt} {arrival.ended}")
        fields = {
            "Tarragonhinge-Request-Attempt-Id": attempt,
            "Tarragonhinge-Upstream-Seal": f"3e1b.{self.name}",
            "Tarragonhinge-Upstream-Load": "1,0,6",
            "Keep-Alive": "timeout=10",
        }
        writer.write(lab.encode(200, fields, b"taken"))
        await writer.drain()


async def play(bed: lab.Lab) -> list[str]:
    """Stop a machine while uploads run, and return what was broken."""
    await bed.start_store()
    route = lab.make_route(
        "uploads", HOST, "/up/", "upload", "intake", timeout=DEADLINE_MS
    )
    bed.write_manifest([route], [lab.make_service("intake")])
    for number in range(4):
        await bed.add_upstream(Intake(f"i-{number}", bed=bed))
    await bed.start_instances(3)
    await asyncio.sleep(4)
    machine = next(
        i for i in bed.instances if i.name != bed.find_coordinator().name
    )
    clients = lab.Clients(bed.record, HOST)
    for _ in range(UPLOADS):
        clients.start(
            machine,
            "POST",
            "/up/form",
            body=bytes(BODY_BYTES),
            deadline_ms=DEADLINE_MS,
        )
    await asyncio.sleep(0.5)
    machine.send(signal.SIGTERM)
    stopped_at = bed.record.now()
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(GRACE_S):
            await machine.process.wait()
    if machine.is_running:
        machine.send(signal.SIGKILL)
    await clients.finish()
    return judge(bed, clients, stopped_at)


def judge(bed: lab.Lab, clients: lab.Clients, stopped_at: float) -> list[str]:
    """Return the uploads that were broken off around the stop.

    Not counted are those at which the upstream was still at work in the last
    sixth of the grace, and those that ended after their deadline.
    """
    broken = []
    for upstream in bed.upstreams.values():
        for arrival in upstream.arrivals:
            attempt = clients.attempts[arrival.attempt]
            if attempt.seal:
                continue
            if attempt.ended_at > stopped_at + GRACE_S * 5 / 6:
                continue
            if attempt.ended_at - attempt.sent_at >= DEADLINE_MS / 1000:
                continue
            broken.append(
                f"LOST: {attempt.number} at {attempt.instance}, stopped at"
                f" {stopped_at:.3f}, reached {upstream.name} at"
                f" {arrival.at:.3f}, which was at work; the client got"
                f" {attempt.outcome} at {attempt.ended_at:.3f}"
            )
    return broken


if __name__ == "__main__":
    sys.exit(lab.run_case(FOLDER, play))
