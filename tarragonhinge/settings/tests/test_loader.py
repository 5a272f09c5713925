"""Loading of valid and invalid settings files."""

import pytest

from tarragonhinge import settings


def _write(tmp_path, changes):
    lines = settings.format_example().splitlines()
    for old, new in changes:
        lines = [new if line.startswith(old) else line for line in lines]
    path = tmp_path / "instance.ini"
    path.write_text("\n".join(lines), encoding="utf-8")
    return str(path)


def test_example_is_valid(tmp_path):
    loaded = settings.load_settings(_write(tmp_path, []))
    assert loaded.zone == "centro-a"


@pytest.mark.parametrize(
    ("changes", "invalid_entries"),
    [
        ([("name =", "")], [("instance", "name")]),
        ([("callers =", "callers = here:80")], [("listen", "callers")]),
        ([("peers =", "peers = 127.0.0.1:0")], [("listen", "peers")]),
        ([("# grant_ms", "grant_ms = soon")], [("timing", "grant_ms")]),
        (
            [("# heartbeat_ms", "heartbeat_ms = 900")],
            [("timing", "heartbeat_ms")],
        ),
        (
            [("# token_file", "token_file = /missing/tokens")],
            [("operators", "token_file")],
        ),
        (
            [("# token_file", "token_file = /dev/null")],
            [("operators", "token_file")],
        ),
        ([("zone =", "zone = a\nzon = b")], [("instance", "zon")]),
        (
            [("name =", ""), ("region =", "region = a b")],
            [("instance", "name"), ("instance", "region")],
        ),
    ],
)
def test_all_problems_are_reported_at_once(tmp_path, changes, invalid_entries):
    with pytest.raises(settings.SettingsError) as caught:
        settings.load_settings(_write(tmp_path, changes))
    reported = [(p.section, p.name) for p in caught.value.problems]
    assert reported == invalid_entries
    assert all(p.remedy for p in caught.value.problems)


def test_file_that_is_not_ini_is_reported(tmp_path):
    path = tmp_path / "broken.ini"
    path.write_text("no section", encoding="utf-8")
    with pytest.raises(settings.SettingsError, match="broken.ini"):
        settings.load_settings(str(path))
