"""Daemon and command line as separate processes."""

import signal
import subprocess
import sys

import pytest

from tarragonhinge import demo
from tarragonhinge import settings

TIMEOUT_S = 60


def _command(*arguments):
    code = "from tarragonhinge import cli; cli.main()"
    return [sys.executable, "-c", code, *arguments]


def _write_settings(tmp_path):
    text = settings.format_example()
    for port in (8080, 8081, 8082):
        address = demo.find_free_address("127.0.0.1")
        text = text.replace(f"127.0.0.1:{port}", address)
    text = text.replace("# notice_ms = 3000", "notice_ms = 0")
    path = tmp_path / "instance.ini"
    path.write_text(text, encoding="utf-8")
    return path


def test_daemon_exits_cleanly_on_sigterm(tmp_path):
    path = _write_settings(tmp_path)
    process = subprocess.Popen(
        _command("serve", f"--settings={path}"),
        stderr=subprocess.PIPE,
        text=True,
    )
    for line in process.stderr:
        if "serving" in line:
            break
    process.send_signal(signal.SIGTERM)
    _, log = process.communicate(timeout=TIMEOUT_S)
    assert process.returncode == 0, log
    assert "cut_off=0" in log


@pytest.mark.parametrize(
    ("arguments", "status", "expected_text"),
    [
        (["settings", "check", "missing.ini"], 2, "missing.ini"),
        (["serve", "--settings=missing.ini"], 2, "settings example"),
        (["dump", "--address=127.0.0.1:1"], 2, "operators"),
        (["settings", "example"], 0, "[instance]"),
        (["serve", "--settings=missing-1.ini"], 2, "missing-1.ini"),
    ],
)
def test_commands_exit_with_status_and_remedy(
    arguments, status, expected_text
):
    result = subprocess.run(
        _command(*arguments),
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
        check=False,
    )
    assert result.returncode == status, result.stderr
    assert expected_text in result.stdout + result.stderr
    assert "SyntaxWarning" not in result.stderr
