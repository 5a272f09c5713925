"""CSV round trips, invalid cells and checks of whole tables."""

import pathlib

import hypothesis
from hypothesis import strategies
import msgspec
import pytest

from tarragonhinge import configuration
from tarragonhinge import testing

KNOWN = testing.KNOWN_NAMES
ROW = testing.make_row()
TABLE_PAGE = pathlib.Path(__file__).parents[3] / "docs" / "TABLE.md"


def _change(**changes):
    return msgspec.structs.replace(ROW, **changes)


def _list_problems(call, *arguments, **options):
    with pytest.raises(configuration.TableError) as caught:
        call(*arguments, **options)
    assert all(p.remedy and p.allowed for p in caught.value.problems)
    return [(p.line, p.column) for p in caught.value.problems]


def test_columns_are_fields_of_row():
    fields = [f.name for f in msgspec.structs.fields(configuration.ServiceRow)]
    assert sorted(configuration.COLUMN_NAMES) == sorted(fields)


def test_page_lists_every_column():
    assert configuration.format_markdown_table() in TABLE_PAGE.read_text(
        encoding="utf-8"
    )


@hypothesis.settings(derandomize=True, max_examples=50, deadline=None)
@hypothesis.given(
    methods=strategies.lists(strategies.sampled_from(["GET", "PUT"])),
    rate=strategies.floats(0, 1e9),
    weight=strategies.floats(0.01, 1000),
    instances=strategies.lists(strategies.from_regex(r"\A[a-z]{1,9}\Z")),
)
def test_a_row_survives_the_round_trip(methods, rate, weight, instances):
    entry = msgspec.structs.replace(ROW.servers[0], weight=weight)
    row = _change(
        idempotent_methods=tuple(methods),
        rate=rate,
        servers=[entry],
        instances=instances,
    )
    text = configuration.format_csv([row])
    assert configuration.parse_csv(text.encode()) == [row]


@pytest.mark.parametrize(
    "rewrite",
    [
        lambda text: "\ufeff" + text,
        lambda text: text.replace("\n", "\r\n"),
        lambda text: text + ",,,,,,,,,,,,,,,,,,,,\n",
        lambda text: "\n".join(
            ";".join(f'"{cell}"' for cell in line.split(","))
            for line in text.strip().split("\n")
        ),
        lambda text: text.replace(",", "\t"),
    ],
)
def test_spreadsheet_variants_parse_to_same_rows(rewrite):
    text = rewrite(configuration.format_csv([ROW]))
    assert configuration.parse_csv(text.encode()) == [ROW]


def test_cell_over_csv_default_size_limit_is_read():
    row = testing.make_row(servers=4000)
    text = configuration.format_csv([row])
    assert len(text) > 131_072
    assert configuration.parse_csv(text.encode()) == [row]


@pytest.mark.parametrize(
    ("changes", "problems"),
    [
        ({"slots": "0"}, [(2, "slots")]),
        ({"slots": "two", "rate": "0,5"}, [(2, "slots"), (2, "rate")]),
        ({"rate": "nan"}, [(2, "rate")]),
        ({"service": "=cmd()"}, [(2, "service")]),
        ({"servers": "s1@host:80/a/b"}, [(2, "servers")]),
        ({"servers": "s1@127.0.0.1:0/a/b"}, [(2, "servers")]),
        ({"servers": "s1@127.0.0.1:80/a"}, [(2, "servers")]),
        ({"servers": "s1@127.0.0.1:80/a/b*0"}, [(2, "servers")]),
        ({"homes": ""}, [(2, "homes")]),
        ({"key_source": "cookie"}, [(2, "key_source")]),
    ],
)
def test_every_invalid_cell_is_reported(changes, problems):
    cells = configuration.format_row(ROW) | changes
    reported = _list_problems(configuration.parse_cells, [cells])
    assert sorted(reported) == sorted(problems)


@pytest.mark.parametrize(
    ("body", "problems"),
    [
        (b"", [(1, "")]),
        (b"\xff\xfe", [(1, "")]),
        (
            configuration.format_csv([ROW]).replace("rate", "rat").encode(),
            [(1, "rat"), (1, "rate")],
        ),
        (configuration.format_csv([]).encode() + b"orders,path\n", [(2, "")]),
    ],
)
def test_malformed_file_is_rejected(body, problems):
    assert _list_problems(configuration.parse_csv, body) == problems


OTHER_ROW = _change(
    service="other",
    servers=[msgspec.structs.replace(ROW.servers[0], server="x")],
)
OTHER_REGION_SERVERS = [msgspec.structs.replace(ROW.servers[0], region="sur")]


@pytest.mark.parametrize(
    ("rows", "problems"),
    [
        ([ROW, ROW], [(3, "service")]),
        ([ROW, OTHER_ROW], [(3, "servers")]),
        ([_change(servers=ROW.servers * 2)], [(2, "servers")] * 3),
        ([_change(planner="fair")], [(2, "planner")]),
        ([_change(dialect="old")], [(2, "dialect")]),
        ([_change(history="none")], [(2, "history")]),
        ([_change(picker="none")], [(2, "picker")]),
        ([_change(discipline="none")], [(2, "discipline")]),
        ([_change(key_name="id")], [(2, "key_name")]),
        ([_change(homes=["sur"])], [(2, "homes")]),
        ([_change(homes=[])], [(2, "homes")]),
        ([_change(slots=200)], [(2, "slots")]),
        ([_change(concurrency=7)], [(2, "concurrency")]),
    ],
)
def test_table_is_checked_across_cells_and_rows(rows, problems):
    reported = _list_problems(configuration.check_table, rows, known=KNOWN)
    assert reported == problems


@pytest.mark.parametrize(
    ("rows", "flag"),
    [
        ([], "allow_stranding"),
        ([_change(partitions=9)], "allow_stranding"),
        ([_change(homes=["centro", "centro"])], "allow_stranding"),
        (
            [_change(key_source=configuration.KeySource.NONE)],
            "allow_stranding",
        ),
        ([_change(key_name="2")], "allow_stranding"),
        ([_change(servers=OTHER_REGION_SERVERS)], "allow_stranding"),
        ([_change(concurrency=7)], "allow_over_limit"),
    ],
)
def test_dangerous_edit_requires_flag(rows, flag):
    _list_problems(configuration.check_table, rows, known=KNOWN, current=[ROW])
    flags = {"allow_stranding": False, "allow_over_limit": False, flag: True}
    configuration.check_table(
        rows,
        known=KNOWN,
        current=[ROW],
        flags=configuration.EditFlags(**flags),
    )
