"""Backend server in trouble: its answers have a body without an end.

A line on standard input, ``on`` or ``off``, begins or ends the trouble.
"""

import asyncio
import contextlib
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2]))

from review.lab import upstream  # noqa: E402

#: Chunks of one byte each, as a server writes that flushes each byte.
_CHUNKS = b"1\r\nx\r\n" * 2_000


class SickUpstream(upstream.Upstream):
    """Answers soundly, or with a body that never ends."""

    is_sick = False
    sick_answers = 0

    async def handle(
        self,
        target: str,
        fields: dict[str, str],
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Answer a request."""
        if not self.is_sick:
            return await super().handle(target, fields, reader, writer)
        self.sick_answers += 1
        attempt = fields.get("tarragonhinge-request-attempt-id", "")
        lines = ["HTTP/1.1 200 OK", "Transfer-Encoding: chunked"]
        lines += [f"{n}: {v}" for n, v in self.make_fields(attempt)]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
        while True:
            writer.write(_CHUNKS)
            await writer.drain()


async def main() -> None:
    """Serve until standard input ends."""
    name, service, zone, host = sys.argv[1:5]
    server = SickUpstream(
        name=name, service=service, zone=zone, host=host, slots=2
    )
    await server.start()
    print(server.address, server.born_ms, flush=True)
    loop = asyncio.get_running_loop()
    while line := await loop.run_in_executor(None, sys.stdin.readline):
        server.is_sick = line.strip() == "on"
    print(server.sick_answers, flush=True)
    await server.stop()


with contextlib.suppress(KeyboardInterrupt):
    asyncio.run(main())
