"""Conversion of cells between text and values.

The parsers raise ValueError for invalid text; the formatters are their
inverse.
"""

from collections.abc import Callable
from collections.abc import Sequence
import math
import re

from tarragonhinge import base
from tarragonhinge.configuration import _row

#: Separator of the items of a list in a cell.
LIST_SEPARATOR = ";"

#: Text of an empty list in columns in which an empty cell means the
#: default.
EMPTY_LIST_TEXT = "none"

_NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")
_METHOD_PATTERN = re.compile(r"[A-Z]{1,20}")
_SERVER_PATTERN = re.compile(
    r"(?P<server>[^@/*]+)@(?P<address>[^@/*]+)"
    r"/(?P<region>[^@/*]+)/(?P<zone>[^@/*]+)(\*(?P<weight>[^@/*]+))?"
)

#: Range of the weight of a backend server.
MIN_WEIGHT = 0.01
MAX_WEIGHT = 1000.0


def parse_name(text: str) -> str:
    """Return a name of ASCII letters, digits, dots, dashes, underscores.

    Raises
    ------
    ValueError
        If the text is empty, has other characters or more than 64
        characters, or does not start with a letter or digit.
    """
    if not _NAME_PATTERN.fullmatch(text):
        raise ValueError(text)
    return text


def parse_method(text: str) -> str:
    """Return the name of an HTTP method.

    Raises
    ------
    ValueError
        If the text has other characters than capital letters, none, or
        more than 20.
    """
    if not _METHOD_PATTERN.fullmatch(text):
        raise ValueError(text)
    return text


def make_int_parser(low: int, high: int) -> Callable[[str], int]:
    """Return a parser of integers in ``[low, high]``."""

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
    """Return the key source with the given name."""
    return _row.KeySource(text)


def parse_flag(text: str) -> bool:
    """Return the value of a cell that holds yes or no.

    The words true and false are accepted too, in any case, since
    spreadsheets may convert cells to TRUE and FALSE.

    Raises
    ------
    ValueError
        If the text is none of these.
    """
    values = {"yes": True, "true": True, "no": False, "false": False}
    if text.lower() not in values:
        raise ValueError(text)
    return values[text.lower()]


def format_flag(value: bool) -> str:
    """Return the text of a boolean value."""
    return "yes" if value else "no"


def parse_server(text: str) -> _row.ServerEntry:
    """Return a backend server from its text form.

    Raises
    ------
    ValueError
        If the text is not of the form
        ``NAME@IP:PORT/REGION/ZONE*WEIGHT``, in which ``*WEIGHT`` may be
        omitted.

    Examples
    --------
    >>> entry = parse_server("s1@127.0.0.1:7001/centro/centro-a*0.5")
    >>> entry.zone, entry.weight
    ('centro-a', 0.5)
    """
    match = _SERVER_PATTERN.fullmatch(text)
    if match is None:
        raise ValueError(text)
    parse_weight = make_float_parser(MIN_WEIGHT, MAX_WEIGHT)
    return _row.ServerEntry(
        server=base.ServerId(parse_name(match["server"])),
        address=base.parse_address(match["address"]),
        region=base.RegionName(parse_name(match["region"])),
        zone=base.ZoneName(parse_name(match["zone"])),
        weight=parse_weight(match["weight"] or "1"),
    )


def format_number(value: float) -> str:
    """Return the text of a number, without a fraction if integral.

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
    location = f"{entry.region}/{entry.zone}"
    weight = format_number(entry.weight)
    return f"{entry.server}@{entry.address}/{location}*{weight}"


def make_list_parser(
    parse_item: Callable[[str], object], list_type: type = list
) -> Callable[[str], Sequence]:
    """Return a parser of lists whose items are separated."""

    def parse(text: str) -> Sequence:
        if text == EMPTY_LIST_TEXT:
            return list_type()
        parts = [part.strip() for part in text.split(LIST_SEPARATOR)]
        return list_type(parse_item(part) for part in parts if part)

    return parse


def make_list_formatter(
    format_item: Callable[[object], str], *, empty: str = ""
) -> Callable[[Sequence], str]:
    """Return a formatter of lists whose items are separated.

    The formatter returns `empty` for a list without items.
    """

    def format_list(items: Sequence) -> str:
        texts = [format_item(item) for item in items]
        return f"{LIST_SEPARATOR} ".join(texts) or empty

    return format_list
