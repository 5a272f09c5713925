"""Commands for the table, run against an instance on loopback."""

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


class OperatorsServer:
    """Operators' address of an instance, served by a separate thread."""

    def __init__(self, token_file):
        self.token_file = token_file
        self.testbed = testing.OperatorsTestbed(token_file=token_file)
        self.address = ""
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever)

    def run(self, coroutine):
        return asyncio.run_coroutine_threadsafe(coroutine, self._loop).result()

    async def _start(self):
        await self.testbed.fill(ROW)
        self._server = test_utils.TestServer(self.testbed.application)
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
    server = OperatorsServer(str(path))
    server.start()
    yield server
    server.stop()


@pytest.fixture
def run_table(server, monkeypatch, capfdbinary):
    """Run a command; return its exit status, output and error output."""

    def run(command, *arguments, body=b"", token=True):
        argv = ["tarragonhinge", "table", command, *arguments]
        argv.append(f"--address={server.address}")
        if token:
            argv.append(f"--token-file={server.token_file}")
        monkeypatch.setattr(sys, "argv", argv)
        stdin = io.TextIOWrapper(io.BytesIO(body))
        monkeypatch.setattr(sys, "stdin", stdin)
        status = 0
        try:
            cli.main()
        except SystemExit as exit_request:
            status = exit_request.code
        sys.stdout.flush()
        output, errors = capfdbinary.readouterr()
        return status, output, errors.decode()

    return run


def _csv(**changes):
    cells = configuration.format_row(ROW) | changes
    rows = configuration.parse_cells([cells])
    return configuration.format_csv(rows).encode()


APPLY_ARGUMENTS = ("apply", "--expect-version=1", "--reason=a, (b) and 'c'")


def test_applying_an_export_changes_nothing(run_table):
    status, body, errors = run_table("export")
    assert (status, body) == (0, _csv())
    assert "--expect-version=1" in errors
    status, output, _ = run_table(*APPLY_ARGUMENTS, body=body)
    assert (status, output) == (0, b"no change; version 1 stands\n")


@pytest.mark.parametrize(
    ("body", "arguments", "status", "expected_text"),
    [
        (_csv(slots="3"), APPLY_ARGUMENTS, 0, ""),
        (_csv(partitions="9"), APPLY_ARGUMENTS, 2, "--allow-stranding"),
        (_csv(partitions="9"), (*APPLY_ARGUMENTS, "--allow-stranding"), 0, ""),
        (
            _csv(concurrency="7"),
            (*APPLY_ARGUMENTS, "--allow-over-limit"),
            0,
            "",
        ),
        (
            _csv().replace(b"lapsing", b"old"),
            APPLY_ARGUMENTS,
            2,
            "column dialect",
        ),
        (b"", APPLY_ARGUMENTS, 2, "export"),
        (_csv(), ("apply", "--expect-version=0", "--reason="), 3, "no row"),
        (_csv(), ("apply", "--expect-version=x", "--reason="), 2, "history"),
    ],
)
def test_edit_exits_with_status(
    run_table, body, arguments, status, expected_text
):
    exit_status, _, errors = run_table(*arguments, body=body)
    assert exit_status == status, errors
    assert expected_text in errors


def test_edit_can_be_checked_compared_applied_and_rolled_back(run_table):
    body = _csv(slots="3")
    assert run_table("check", body=body)[0] == 0
    _, output, _ = run_table("diff", body=body)
    assert output == b"balances, column slots: '2' -> '3'\n"
    assert run_table(*APPLY_ARGUMENTS, "--who=ana", body=body)[0] == 0
    _, output, _ = run_table("history")
    newest_line = output.decode().splitlines()[0]
    assert newest_line.startswith("version=2 ")
    assert "who='ana'" in newest_line
    assert "a, (b) and 'c'" in newest_line
    rollback_arguments = (
        "rollback",
        "--to=1",
        "--expect-version=2",
        "--reason=back",
    )
    assert run_table(*rollback_arguments)[0] == 0
    assert run_table("export")[1] == _csv()
    assert run_table("export", "--version=2")[1] == body
    assert b"stored: 3" in run_table("in-force")[1]


def test_in_force_lists_lagging_and_silent_instances(run_table, server):
    server.testbed.fleet = propagation.FleetVersion(
        version=1, instances=12, lagging=["i4"], silent=["i7", "i9"]
    )
    lines = run_table("in-force")[1].decode().splitlines()
    assert lines[1:] == [
        "in force on all 12 instances that report: 1",
        "lagging: i4",
        "silent: i7, i9",
    ]


def test_outage_and_missing_token_have_different_statuses(run_table, server):
    status, _, errors = run_table(
        *APPLY_ARGUMENTS, body=_csv(slots="3"), token=False
    )
    assert (status, "--token-file" in errors) == (2, True)
    server.testbed.table.down = True
    status, _, errors = run_table(*APPLY_ARGUMENTS, body=_csv(slots="3"))
    assert status == 4
    assert "try again" in errors
