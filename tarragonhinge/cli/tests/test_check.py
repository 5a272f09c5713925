"""Check of a configuration: each kind of finding, and none without cause."""

import io
import json
import sys

import pytest

from tarragonhinge import cli
from tarragonhinge.platform.tests import test_codecs

ROUTE = {
    "name": "r1",
    "host": "a.example",
    "prefix": "/x/",
    "kind": "safe",
    "timeout": 2500,
    "goalLatency": 800,
    "maxAttempts": 2,
    "service": "s1",
}
SERVICE = {"name": "s1", "maxConns": 130}
SERVER = {
    "service": "s1",
    "address": "10.128.0.9:8080",
    "zone": "centro-a",
    "slots": 2,
    "state": "ready",
    "born": 1,
}


def make_config(*, routes=(), services=(), version=7, **changes):
    """Return a configuration with one route and one service, changed."""
    first = {**ROUTE, **changes.pop("route", {})}
    service = {**SERVICE, **changes.pop("service", {})}
    return {
        "version": version,
        "routes": [first, *({**ROUTE, **route} for route in routes)],
        "services": [service, *services],
        "limits": changes.pop("limits", {}),
    }


@pytest.fixture
def run_check(tmp_path, monkeypatch, capsys):
    """Run the command; return its exit status and its output."""

    def run(config, *arguments, stdin=b"", **files):
        argv = ["tarragonhinge", "table", "check"]
        if config is not None:
            files["new"] = config
        for name, content in files.items():
            path = tmp_path / name
            text = content if isinstance(content, str) else json.dumps(content)
            path.write_text(text)
            argv.append(str(path) if name == "new" else f"--{name}={path}")
        monkeypatch.setattr(sys, "argv", [*argv, *arguments])
        text_input = io.TextIOWrapper(io.BytesIO(stdin))
        monkeypatch.setattr(sys, "stdin", text_input)
        with pytest.raises(SystemExit) as exit_request:
            cli.main()
        return exit_request.value.code, capsys.readouterr().out

    return run


@pytest.mark.parametrize(
    ("changes", "expected"),
    [
        (
            {
                "route": {"service": "s9"},
                "routes": [{"name": "r2", "prefix": "/y/"}],
            },
            "error: routes[0].backends (r1)",
        ),
        ({"routes": [{"prefix": "/y/"}]}, "error: routes[1].name (r1)"),
        ({"routes": [{"name": "r2"}]}, "unreachable: routes[1].prefix (r2)"),
        ({"route": {"prefix": "/x"}}, "unreachable: routes[0].prefix (r1)"),
        (
            {"route": {"host": "a.example:80"}},
            "unreachable: routes[0].host (r1)",
        ),
        (
            {
                "route": {
                    "backends": [
                        {"service": "s1", "weight": 1},
                        {"service": "s2", "weight": 0},
                    ]
                },
                "routes": [{"name": "r2", "prefix": "/y/", "service": "s2"}],
                "services": [{"name": "s2"}],
            },
            "unreachable: routes[0].backends (r1): the weight of s2 is 0",
        ),
        ({"services": [{"name": "s2"}]}, "unreachable: services[1] (s2)"),
        (
            {"route": {"allowedRegions": ["nowhere"]}},
            "unreachable: routes[0].allowedRegions (r1): no availability zone",
        ),
        (
            {"route": {"allowedRegions": ["sur"]}},
            "unreachable: routes[0].allowedRegions (r1): s1 has no server",
        ),
        (
            {
                "route": {"allowedRegions": ["centro"]},
                "service": {"sharded": True},
                "routes": [{"name": "r2", "prefix": "/y/"}],
            },
            "conflict: services[0] (s1)",
        ),
        ({"route": {"timeout": 700}}, "conflict: routes[0].timeout (r1)"),
        (
            {"route": {"maxAttempts": 9}},
            "conflict: routes[0].maxAttempts (r1)",
        ),
        (
            {"service": {"coldPerS": 4.6}},
            "conflict: services[0].coldPerS (s1): there is a cold rate",
        ),
        (
            {"service": {"coldPerS": 0.2, "warmup": 3.0}},
            "conflict: services[0].coldPerS (s1): a rate of 0.2/s",
        ),
        (
            {"limits": {"headerTimeout": 9000, "idleTimeout": 5000}},
            "conflict: limits.headerTimeout",
        ),
        (
            {"limits": {"maxBodyBytes": 200_000_000}},
            "conflict: limits.maxBodyBytes",
        ),
    ],
)
def test_each_problem_is_found_once(run_check, changes, expected):
    """A contradiction would only show once callers are refused."""
    status, output = run_check(
        make_config(**changes),
        settings=test_codecs.NODE,
        servers={"i-1": SERVER},
    )
    assert status == 1
    problems = [line for line in output.splitlines() if line[0] != " "]
    assert len(problems) == 1
    assert problems[0].startswith(expected)


@pytest.mark.parametrize(
    "config", [make_config(), test_codecs.CONFIG.decode()], ids=["one", "all"]
)
def test_nothing_is_found_in_a_sound_configuration(run_check, config):
    assert run_check(config, settings=test_codecs.NODE) == (0, "")


@pytest.mark.parametrize(
    "config", ["", "{", "[1]", '{"version": "x"}', "[" * 5_000]
)
def test_what_instances_cannot_decode_is_an_error(run_check, config):
    status, output = run_check(config)
    assert status == 1
    assert output.startswith("error: configuration: ")


@pytest.mark.parametrize(
    ("changes", "expected"),
    [
        (
            {"route": {"timeout": 2000}},
            ["routes[0].timeout (r1): 2500 becomes 2000 [stricter]"],
        ),
        (
            {"route": {"timeout": 3000}},
            ["routes[0].timeout (r1): 2500 becomes 3000"],
        ),
        (
            {"route": {"allowedRegions": ["sur"]}},
            ["routes[0].allowedRegions (r1): none becomes sur [stricter]"],
        ),
        (
            {"service": {"coldPerS": 2.0, "warmup": 3.0}},
            [
                "services[0].warmup (s1): 0 becomes 3000 [stricter]",
                "services[0].coldPerS (s1): 0.0 becomes 2.0 [stricter]",
            ],
        ),
        (
            {"route": {"name": "r2"}},
            ["routes[0] (r2): is added", "routes (r1): is removed [stricter]"],
        ),
        (
            {"limits": {"maxBodyBytes": 1000}},
            ["limits.maxBodyBytes: 1048576 becomes 1000 [stricter]"],
        ),
    ],
)
def test_changes_are_listed_by_entry(run_check, changes, expected):
    status, output = run_check(
        make_config(version=8, **changes), against=make_config()
    )
    assert status == 0
    assert output.splitlines() == [f"change: {line}" for line in expected]


def test_version_that_is_not_newer_is_an_error(run_check):
    """Instances would ignore it without a word to the operator."""
    status, output = run_check(make_config(), against=make_config())
    assert status == 1
    assert output.startswith("error: version: ")


def test_report_as_json(run_check):
    status, output = run_check(
        make_config(version=8, route={"timeout": 700}),
        "--format=json",
        against=make_config(),
    )
    assert status == 1
    report = json.loads(output)
    assert [f["severity"] for f in report["findings"]] == ["conflict"]
    assert [c["is_stricter"] for c in report["changes"]] == [True]


def test_configuration_is_read_from_standard_input(run_check):
    config = json.dumps(make_config()).encode()
    assert run_check(None, stdin=config) == (0, "")


@pytest.mark.parametrize(
    "arguments",
    [
        ("/does/not/exist",),
        ("--against=-",),
        ("--format=xml",),
        ("--against=/does/not/exist",),
        ("--settings=/does/not/exist",),
        ("--servers=/does/not/exist",),
    ],
)
def test_unusable_input_has_an_exit_status_of_its_own(run_check, arguments):
    status, output = run_check(None, *arguments, stdin=b"{}")
    assert (status, output) == (2, "")
