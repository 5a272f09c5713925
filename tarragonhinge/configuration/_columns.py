"""Columns of the operators' table.

Parsers, checks and the documentation of the table are derived from them.
"""

from collections.abc import Callable
import dataclasses

from tarragonhinge.configuration import _cells
from tarragonhinge.configuration import _row


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ColumnSpec:
    """A column, which sets the field of `ServiceRow` of the same name.

    Parameters
    ----------
    name : str
        Name of the column in the header.
    meaning : str
        Description of the value, in one line.
    allowed : str
        Description of the allowed values, for messages and docs.
    parse : callable
        Converts the text of a cell into the value; raises ValueError
        for invalid text.
    format : callable
        Converts the value into the text of a cell.
    unit : str
        Unit of the value; empty for none.
    required : bool
        True if an empty cell is rejected, False if it means the default.
    """

    name: str
    meaning: str
    allowed: str
    parse: Callable[[str], object]
    format: Callable[[object], str] = str
    unit: str = ""
    required: bool = False

    @property
    def default(self) -> object:
        """Return the default value, which an empty cell means."""
        return getattr(_DEFAULTS, self.name)


_DEFAULTS = _row.ServiceRow(service="")

_ALLOWED_NAME = "a name of letters, digits, '.', '-' and '_', 64 at most"


def _make_int_column(
    name: str, meaning: str, low: int, high: int, unit: str = ""
) -> ColumnSpec:
    return ColumnSpec(
        name=name,
        meaning=meaning,
        allowed=f"a whole number from {low} to {high}",
        parse=_cells.make_int_parser(low, high),
        unit=unit,
    )


def _make_float_column(
    name: str, meaning: str, high: float, unit: str = ""
) -> ColumnSpec:
    return ColumnSpec(
        name=name,
        meaning=meaning,
        allowed=f"a number from 0 to {high}, with a decimal point",
        parse=_cells.make_float_parser(0, high),
        format=_cells.format_number,
        unit=unit,
    )


def _make_name_list_column(
    name: str, meaning: str, **options: bool
) -> ColumnSpec:
    return ColumnSpec(
        name=name,
        meaning=meaning,
        allowed=f"names separated by '{_cells.LIST_SEPARATOR}'",
        parse=_cells.make_list_parser(_cells.parse_name),
        format=_cells.make_list_formatter(str),
        **options,
    )


def _make_name_column(name: str, meaning: str, **options: bool) -> ColumnSpec:
    return ColumnSpec(
        name=name,
        meaning=meaning,
        allowed=_ALLOWED_NAME,
        parse=_cells.parse_name,
        **options,
    )


COLUMNS: tuple[ColumnSpec, ...] = (
    _make_name_column(
        "service", "first segment of the path of its requests", required=True
    ),
    ColumnSpec(
        name="key_source",
        meaning="where a request carries its key; none for no keys",
        allowed=", ".join(source.value for source in _row.KeySource),
        parse=_cells.parse_key_source,
        format=lambda source: source.value,
    ),
    _make_name_column(
        "key_name",
        "number of the path segment after the service, or name of the "
        "header or query parameter",
    ),
    _make_int_column(
        "partitions", "partitions of the key space; fixed in use", 1, 65536
    ),
    _make_name_list_column(
        "homes",
        "regions that hold the partitions in turn; fixed in use",
        required=True,
    ),
    ColumnSpec(
        name="servers",
        meaning="eligible backend servers, each with its share of load "
        "as weight",
        allowed="NAME@IP:PORT/REGION/ZONE*WEIGHT items separated by "
        f"'{_cells.LIST_SEPARATOR}', weight "
        f"{_cells.format_number(_cells.MIN_WEIGHT)} to "
        f"{_cells.format_number(_cells.MAX_WEIGHT)}",
        parse=_cells.make_list_parser(_cells.parse_server),
        format=_cells.make_list_formatter(_cells.format_server),
        required=True,
    ),
    _make_name_list_column(
        "instances", "instances that may lead its shards; empty for all"
    ),
    _make_name_list_column(
        "lost", "servers and instances that an operator declares lost"
    ),
    ColumnSpec(
        name="idempotent_methods",
        meaning="methods that may be repeated",
        allowed=f"methods in capitals separated by '{_cells.LIST_SEPARATOR}', "
        f"or {_cells.EMPTY_LIST_TEXT}",
        parse=_cells.make_list_parser(_cells.parse_method, tuple),
        format=_cells.make_list_formatter(str, empty=_cells.EMPTY_LIST_TEXT),
    ),
    _make_int_column(
        "slots", "requests that a server runs at once", 1, 10_000
    ),
    _make_int_column(
        "connections", "connections that a server takes", 1, 100_000
    ),
    _make_int_column(
        "queue", "requests that may wait for a server", 0, 100_000
    ),
    _make_int_column(
        "ramp_ms",
        "time over which a restarted server's slots open; 0 for at once",
        0,
        600_000,
        "ms",
    ),
    _make_name_column(
        "picker", "policy that picks a server where there is no key"
    ),
    _make_name_column(
        "discipline", "order in which waiting requests get slots"
    ),
    _make_float_column(
        "rate",
        "requests that the service admits; 0 for no limit",
        1_000_000_000,
        "requests/s",
    ),
    _make_int_column(
        "concurrency",
        "requests in flight at once; 0 for no limit",
        0,
        1_000_000_000,
    ),
    _make_int_column("priority", "class; lower is served first", 0, 9),
    _make_int_column(
        "deadline_ms",
        "deadline of a request that states none",
        1,
        3_600_000,
        "ms",
    ),
    _make_int_column(
        "body_limit", "largest accepted body", 0, 1 << 30, "bytes"
    ),
    _make_int_column(
        "cross_region_bytes",
        "traffic to other regions; 0 for no limit",
        0,
        10**12,
        "bytes/s",
    ),
    _make_float_column("retry_ratio", "retries allowed for each request", 10),
    _make_name_column(
        "history", "policy that keeps idempotency keys over a leader's loss"
    ),
    ColumnSpec(
        name="cancels",
        meaning="whether servers give up a request whose connection closes",
        allowed="yes or no",
        parse=_cells.parse_flag,
        format=_cells.format_flag,
    ),
    _make_name_column("dialect", "grant dialect of its servers"),
    _make_name_column("planner", "policy that plans moves"),
    _make_float_column(
        "churn_weight",
        "cost of moving a partition, in loads of an average one",
        1_000_000,
    ),
)

COLUMN_NAMES = tuple(column.name for column in COLUMNS)

#: Names of the columns that limit the load of a service.
LIMIT_COLUMN_NAMES = (
    "slots",
    "connections",
    "queue",
    "rate",
    "concurrency",
    "priority",
    "deadline_ms",
    "body_limit",
    "cross_region_bytes",
    "retry_ratio",
)


def format_row(row: _row.ServiceRow) -> dict[str, str]:
    """Return the text of a row's cells by column name."""
    return {c.name: c.format(getattr(row, c.name)) for c in COLUMNS}


def format_limits(row: _row.ServiceRow) -> dict[str, str]:
    """Return the text of a row's limits by column name."""
    cells = format_row(row)
    return {name: cells[name] for name in LIMIT_COLUMN_NAMES}


def format_markdown_table() -> str:
    """Return the Markdown table of columns for ``docs/TABLE.md``."""
    lines = [
        "| column | meaning | unit | default | range |",
        "|---|---|---|---|---|",
    ]
    for column in COLUMNS:
        default = "required"
        if not column.required:
            default = column.format(column.default) or "empty"
        lines.append(
            f"| `{column.name}` | {column.meaning} | {column.unit or '-'} "
            f"| {default} | {column.allowed} |"
        )
    return "\n".join(lines) + "\n"
