"""The table's commands against an instance on loopback."""

import asyncio
import io
import sys
import threading

from aiohttp import test_utils
import pytest

from tarragonhinge import cli
from tarragonhinge import configuration
from tarragonhinge import propagation
from tarragonhinge import testing

ROW = testing.make_row()
TOKEN = "a-token-of-sixteen-or-more"


class Server:
    """The operators' address of an instance, in a thread of its own."""

    def __init__(self, token_file):
        self.token_file = token_file
        self.site = testing.OperatorsTestbed(token_file=token_file)
        self.address = ""
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever)

    def run(self, coroutine):
        return asyncio.run_coroutine_threadsafe(coroutine, self._loop).result()

    async def _start(self):
        await self.site.fill(ROW)
        self._server = test_utils.TestServer(self.site.application)
        await self._server.start_server()
        self.address = f"127.0.0.1:{self._server.port}"

    def start(self):
        self._thread.start()
        self.run(self._start())

    def stop(self):
        self.run(self._server.close())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()


@pytest.fixture
def server(tmp_path):
    path = tmp_path / "tokens"
    path.write_text(TOKEN)
    server = Server(str(path))
    server.start()
    yield server
    server.stop()


@pytest.fixture
def run_table(server, monkeypatch, capfdbinary):
    """Run a command and return its status, its output and its errors."""

    def run(command, *arguments, body=b"", token=True):
        words = ["tarragonhinge", "table", command, *arguments]
        words.append(f"--address={server.address}")
        if token:
            words.append(f"--token-file={server.token_file}")
        monkeypatch.setattr(sys, "argv", words)
        stdin = io.TextIOWrapper(io.BytesIO(body))
        monkeypatch.setattr(sys, "stdin", stdin)
        status = 0
        try:
            cli.main()
        except SystemExit as left:
            status = left.code
        sys.stdout.flush()
        output, errors = capfdbinary.readouterr()
        return status, output, errors.decode()

    return run


def _csv(**changes):
    cells = configuration.format_row(ROW) | changes
    rows = configuration.parse_cells([cells])
    return configuration.format_csv(rows).encode()


APPLY = ("apply", "--expect-version=1", "--reason=a, (b) and 'c'")


def test_an_export_is_applied_back_as_no_change(run_table):
    status, body, errors = run_table("export")
    assert (status, body) == (0, _csv())
    assert "--expect-version=1" in errors
    status, output, _ = run_table(*APPLY, body=body)
    assert (status, output) == (0, b"no change; version 1 stands\n")


@pytest.mark.parametrize(
    ("body", "arguments", "status", "said"),
    [
        (_csv(slots="3"), APPLY, 0, ""),
        (_csv(partitions="9"), APPLY, 2, "--allow-stranding"),
        (_csv(partitions="9"), (*APPLY, "--allow-stranding"), 0, ""),
        (_csv(concurrency="7"), (*APPLY, "--allow-over-limit"), 0, ""),
        (_csv().replace(b"lapsing", b"old"), APPLY, 2, "column dialect"),
        (b"", APPLY, 2, "export"),
        (_csv(), ("apply", "--expect-version=0", "--reason="), 3, "no row"),
        (_csv(), ("apply", "--expect-version=x", "--reason="), 2, "history"),
    ],
)
def test_an_edit_ends_with_a_status(run_table, body, arguments, status, said):
    done, _, errors = run_table(*arguments, body=body)
    assert done == status, errors
    assert said in errors


def test_an_edit_is_checked_compared_applied_and_rolled_back(run_table):
    body = _csv(slots="3")
    assert run_table("check", body=body)[0] == 0
    _, output, _ = run_table("diff", body=body)
    assert output == b"balances, column slots: '2' -> '3'\n"
    assert run_table(*APPLY, "--who=ana", body=body)[0] == 0
    _, output, _ = run_table("history")
    first = output.decode().splitlines()[0]
    assert first.startswith("version=2 ")
    assert "who='ana'" in first
    assert "a, (b) and 'c'" in first
    back = ("rollback", "--to=1", "--expect-version=2", "--reason=back")
    assert run_table(*back)[0] == 0
    assert run_table("export")[1] == _csv()
    assert run_table("export", "--version=2")[1] == body
    assert b"stored: 3" in run_table("in-force")[1]


def test_in_force_names_the_instances_that_lag(run_table, server):
    server.site.fleet = propagation.FleetVersion(
        version=1, instances=12, lagging=["i4"], silent=["i7", "i9"]
    )
    lines = run_table("in-force")[1].decode().splitlines()
    assert lines[1:] == [
        "in force on all 12 instances that report: 1",
        "lagging: i4",
        "silent: i7, i9",
    ]


def test_an_outage_and_a_wrong_token_are_told_apart(run_table, server):
    status, _, errors = run_table(*APPLY, body=_csv(slots="3"), token=False)
    assert (status, "--token-file" in errors) == (2, True)
    server.site.table.down = True
    status, _, errors = run_table(*APPLY, body=_csv(slots="3"))
    assert status == 4
    assert "try again" in errors
