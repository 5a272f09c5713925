"""Text forms of cells: parsers raise ValueError, formats invert them."""

from collections.abc import Callable
from collections.abc import Sequence
import math
import re

from tarragonhinge import base
from tarragonhinge.configuration import _row

#: Separates the items of a list in one cell.
SEPARATOR = ";"

#: Stands for an empty list where an empty cell means the default.
NOTHING = "none"

_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")
_METHOD = re.compile(r"[A-Z]{1,20}")
_SERVER = re.compile(
    r"(?P<server>[^@/*]+)@(?P<address>[^@/*]+)"
    r"/(?P<region>[^@/*]+)/(?P<zone>[^@/*]+)(\*(?P<weight>[^@/*]+))?"
)

WEIGHT_MIN = 0.01
WEIGHT_MAX = 1000.0


def parse_name(text: str) -> str:
    """Return a name of ASCII letters, digits, dots, dashes, underscores."""
    if not _NAME.fullmatch(text):
        raise ValueError(text)
    return text


def parse_method(text: str) -> str:
    """Return the name of an HTTP method, in capitals."""
    if not _METHOD.fullmatch(text):
        raise ValueError(text)
    return text


def make_int_parser(low: int, high: int) -> Callable[[str], int]:
    """Return a parser of whole numbers in ``[low, high]``."""

    def parse(text: str) -> int:
        if not re.fullmatch(r"[0-9]{1,18}", text):
            raise ValueError(text)
        if not low <= int(text) <= high:
            raise ValueError(text)
        return int(text)

    return parse


def make_float_parser(low: float, high: float) -> Callable[[str], float]:
    """Return a parser of finite numbers in ``[low, high]``."""

    def parse(text: str) -> float:
        value = float(text)
        if not math.isfinite(value) or not low <= value <= high:
            raise ValueError(text)
        return value

    return parse


def parse_key_source(text: str) -> _row.KeySource:
    """Return where a key stands."""
    return _row.KeySource(text)


def parse_flag(text: str) -> bool:
    """Return the value of a cell that says yes or no.

    Spreadsheets may have turned it into TRUE or FALSE.

    Raises
    ------
    ValueError
        If it says neither.
    """
    known = {"yes": True, "true": True, "no": False, "false": False}
    if text.lower() not in known:
        raise ValueError(text)
    return known[text.lower()]


def format_flag(value: bool) -> str:
    """Return the cell of a value that is true or false."""
    return "yes" if value else "no"


def parse_server(text: str) -> _row.ServerEntry:
    """Return a backend server from its text form.

    Examples
    --------
    >>> entry = parse_server("s1@127.0.0.1:7001/centro/centro-a*0.5")
    >>> entry.zone, entry.weight
    ('centro-a', 0.5)
    """
    match = _SERVER.fullmatch(text)
    if match is None:
        raise ValueError(text)
    parse_weight = make_float_parser(WEIGHT_MIN, WEIGHT_MAX)
    return _row.ServerEntry(
        server=base.ServerId(parse_name(match["server"])),
        address=base.parse_address(match["address"]),
        region=base.RegionName(parse_name(match["region"])),
        zone=base.ZoneName(parse_name(match["zone"])),
        weight=parse_weight(match["weight"] or "1"),
    )


def format_number(value: float) -> str:
    """Return a number without a needless fraction.

    Examples
    --------
    >>> format_number(1.0), format_number(0.1)
    ('1', '0.1')
    """
    if value == int(value) and abs(value) < 1e15:
        return str(int(value))
    return repr(value)


def format_server(entry: _row.ServerEntry) -> str:
    """Return the text form of a backend server."""
    place = f"{entry.region}/{entry.zone}"
    weight = format_number(entry.weight)
    return f"{entry.server}@{entry.address}/{place}*{weight}"


def make_list_parser(
    parse_item: Callable[[str], object], make: type = list
) -> Callable[[str], Sequence]:
    """Return a parser of separated items."""

    def parse(text: str) -> Sequence:
        if text == NOTHING:
            return make()
        parts = [part.strip() for part in text.split(SEPARATOR)]
        return make(parse_item(part) for part in parts if part)

    return parse


def make_list_format(
    format_item: Callable[[object], str], *, empty: str = ""
) -> Callable[[Sequence], str]:
    """Return a format of separated items."""

    def format_list(items: Sequence) -> str:
        texts = [format_item(item) for item in items]
        return f"{SEPARATOR} ".join(texts) or empty

    return format_list
