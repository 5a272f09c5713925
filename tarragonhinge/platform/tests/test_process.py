"""Start, signals and invalid settings of an instance process."""

import asyncio
import contextlib
import json
import os
import signal
import subprocess
import sys

import pytest

from tarragonhinge import base
from tarragonhinge import http1
from tarragonhinge.platform import standins

#: Limit on each wait for a process, in seconds.
TIMEOUT_S = 30

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
"""

PRINT_SIGHUP_HANDLER = """
import runpy, signal, sys, types
stub = types.ModuleType("tarragonhinge.cli")
stub.main = lambda: print(signal.getsignal(signal.SIGHUP).name)
sys.modules["tarragonhinge.cli"] = stub
import tarragonhinge
tarragonhinge.cli = stub
runpy.run_module("tarragonhinge", run_name="__main__")
"""

#: The same for a process of the soak, which runs the program by a file of its
#: own; its first import of the product ends it.
PRINT_SIGHUP_HANDLER_OF_SOAK = """
import builtins, importlib.util, runpy, signal, sys
path = importlib.util.find_spec("tarragonhinge").submodule_search_locations[0]
real_import = builtins.__import__
def stop(name, *rest):
    if name.startswith("tarragonhinge"):
        print(signal.getsignal(signal.SIGHUP).name)
        sys.exit()
    return real_import(name, *rest)
builtins.__import__ = stop
runpy.run_path(path + "/platform/soak/_process.py", run_name="__main__")
"""


@pytest.mark.parametrize(
    "program", [PRINT_SIGHUP_HANDLER, PRINT_SIGHUP_HANDLER_OF_SOAK]
)
def test_sighup_is_ignored_during_start(program):
    completed = subprocess.run(
        [sys.executable, "-c", program],
        capture_output=True,
        text=True,
        check=True,
    )
    assert completed.stdout.strip() == "SIG_IGN"


@pytest.mark.parametrize(
    ("old", "new", "named"),
    [
        ("ip={ip}\n", "", "ip"),
        ("listen.front={ip}:8100", "listen.front={ip}:x", "listen.front"),
        (NODE, "", "ip"),
    ],
)
def test_invalid_setting_ends_process(tmp_path, old, new, named):
    path = tmp_path / "node.conf"
    path.write_text(NODE.replace(old, new, 1).format(ip="127.98.0.1"))
    completed = subprocess.run(
        [sys.executable, "-m", "tarragonhinge", "run", f"--settings={path}"],
        capture_output=True,
        text=True,
        check=False,
        timeout=TIMEOUT_S,
    )
    assert completed.returncode == 2
    assert named in completed.stderr


def test_error_names_missing_variable():
    environment = {k: v for k, v in os.environ.items() if "NODE_FILE" not in k}
    completed = subprocess.run(
        [sys.executable, "-m", "tarragonhinge", "run"],
        capture_output=True,
        text=True,
        check=False,
        timeout=TIMEOUT_S,
        env=environment,
    )
    assert completed.returncode == 2
    assert "TARRAGONHINGE_NODE_FILE" in completed.stderr


@contextlib.asynccontextmanager
async def _run_process(path, store, ip):
    """Run a store and an instance, and stop both on exit."""
    runner = await http1.listen(
        store.make_application(), base.Address(f"{ip}:8000")
    )
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "tarragonhinge",
        "run",
        f"--settings={path}",
        stdout=asyncio.subprocess.PIPE,
    )
    try:
        yield process
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()
        await runner.cleanup()


async def _read_event(stream, name):
    async with asyncio.timeout(TIMEOUT_S):
        while line := await stream.readline():
            event = json.loads(line)
            if event["event"] == name:
                return event
    raise AssertionError(f"the process ended without the event {name}")


def _write_rows(store, server):
    """Write a configuration and a server entry to the store."""
    entry = {
        "service": "books",
        "address": server.address,
        "zone": "za",
        "slots": 2,
        "state": "ready",
        "born": 1,
    }
    store.put("servers", server.name, json.dumps(entry).encode())
    route = {
        "name": "r",
        "host": "h.example",
        "prefix": "/x/",
        "kind": "unsafe",
        "timeout": 9000,
        "service": "books",
    }
    config = {
        "version": 1,
        "routes": [route],
        "services": [{"name": "books"}],
    }
    store.put("op", "config", json.dumps(config).encode())


async def _send_request(ip):
    """Send a request and return the streams of its connection.

    The connection stays open while the writer is referenced.
    """
    reader, writer = await asyncio.open_connection(ip, 8100)
    writer.write(
        b"POST /x/1 HTTP/1.1\r\nHost: h.example\r\n"
        b"Tarragonhinge-Request-Attempt-Id: a1\r\n"
        b"Content-Length: 0\r\n\r\n"
    )
    await writer.drain()
    return reader, writer


def test_stop_finishes_accepted_requests_and_rejects_late_ones(tmp_path):
    """Guards against requests that are accepted late and then aborted.

    This happened to a request that was accepted 5 s after SIGTERM.
    """

    async def run():
        ip = "127.98.0.3"
        path = tmp_path / "node.conf"
        path.write_text(NODE.format(ip=ip))
        store = standins.StandInStore()
        server = await standins.StandInServer().start(ip)
        server.work_allowed.clear()
        _write_rows(store, server)
        async with _run_process(path, store, ip) as process:
            await _read_event(process.stdout, "readiness")
            reader, writer = await _send_request(ip)
            await server.request_arrived.wait()
            process.send_signal(signal.SIGTERM)
            await _read_event(process.stdout, "stopping")
            with pytest.raises(ConnectionError):
                async with asyncio.timeout(TIMEOUT_S):
                    while True:
                        _, probe = await asyncio.open_connection(ip, 8100)
                        probe.close()
                        await asyncio.sleep(0.05)
            server.work_allowed.set()
            async with asyncio.timeout(TIMEOUT_S):
                response = await reader.read()
            writer.close()
            assert response.startswith(b"HTTP/1.1 200")
            event = await _read_event(process.stdout, "stopped")
            assert event["cut_off"] == 0
        await server.stop()

    asyncio.run(run())


def test_reload_and_graceful_stop(tmp_path):
    async def run():
        ip = "127.98.0.2"
        path = tmp_path / "node.conf"
        path.write_text(NODE.format(ip=ip))
        store = standins.StandInStore()
        async with _run_process(path, store, ip) as process:
            await _read_event(process.stdout, "started")
            path.write_text("node=e1\n")
            process.send_signal(signal.SIGHUP)
            event = await _read_event(process.stdout, "reloaded")
            assert event["outcome"].startswith("rejected: ip is missing")
            process.send_signal(signal.SIGTERM)
            assert await _read_event(process.stdout, "stopping")
            event = await _read_event(process.stdout, "stopped")
            assert event["cut_off"] == 0
            assert await process.wait() == 0

    asyncio.run(run())
