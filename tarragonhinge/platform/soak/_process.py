"""Process of one instance of the soak.

It runs the program itself, in a network that the soak can cut: ``python -P
_process.py SETTINGS IP``, with one command on each line of its standard input.
"""

import signal

if __name__ == "__main__":
    # As in `tarragonhinge.__main__`, before the imports below.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

import asyncio  # noqa: E402
import json  # noqa: E402
import os  # noqa: E402
import pathlib  # noqa: E402
import sys  # noqa: E402

from tarragonhinge import platform  # noqa: E402
from tarragonhinge.platform import standins  # noqa: E402


def encode_cut(addresses: list[str], form: standins.CutForm | None) -> bytes:
    """Return the command that cuts addresses off; no form heals the cut."""
    command = {"addresses": addresses, "form": form.value if form else None}
    return json.dumps(command).encode() + b"\n"


def _apply(line: bytes, network: standins.Network) -> None:
    command = json.loads(line)
    if command["form"] is None:
        network.heal()
    else:
        form = standins.CutForm(command["form"])
        network.cut(command["addresses"], form)


async def _follow_commands(network: standins.Network) -> None:
    reader = asyncio.StreamReader()
    await asyncio.get_running_loop().connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
    )
    while line := await reader.readline():
        _apply(line, network)
    # The soak has ended without stopping this process.
    os._exit(1)


async def run(settings: str, ip: str) -> int:
    """Run an instance until it is stopped; return its exit status."""
    network = standins.Network(source=ip)
    network.enter()
    commands = asyncio.create_task(_follow_commands(network))
    try:
        return await platform.run_instance(pathlib.Path(settings))
    finally:
        commands.cancel()


if __name__ == "__main__":
    sys.exit(asyncio.run(run(*sys.argv[1:])))
