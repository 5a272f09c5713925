"""The operators' table as spreadsheets read and write it."""

from collections.abc import Iterable
from collections.abc import Mapping
import csv
import io

from tarragonhinge.configuration import _columns
from tarragonhinge.configuration import _problem
from tarragonhinge.configuration import _row

#: Row of the spreadsheet that holds the first service.
FIRST_LINE = 2

_HEADER = "the header of 'tarragonhinge table export'"

#: Spreadsheets of some languages separate cells by semicolons.
_DELIMITERS = (",", ";", "\t")


def format_csv(rows: Iterable[_row.ServiceRow]) -> str:
    """Return rows as CSV with a header."""
    stream = io.StringIO()
    writer = csv.DictWriter(
        stream, fieldnames=_columns.COLUMN_NAMES, lineterminator="\n"
    )
    writer.writeheader()
    writer.writerows(_columns.format_row(row) for row in rows)
    return stream.getvalue()


def parse_csv(body: bytes) -> list[_row.ServiceRow]:
    """Return the rows of a CSV file that a spreadsheet may have written.

    A byte order mark, any line ends, quotes, other orders of columns and
    separators other than the comma are accepted.

    Raises
    ------
    TableError
        With every wrong cell.
    """
    try:
        text = body.decode("utf-8-sig")
        lines = _split_lines(text)
    except (UnicodeDecodeError, csv.Error) as error:
        raise _make_error(str(error), "CSV in UTF-8", "save it so") from error
    if not lines:
        raise _make_error("", _HEADER, "start from an export")
    header = [name.strip() for name in lines[0][1]]
    _check_header(header)
    problems: list[_problem.CellProblem] = []
    cells: list[tuple[int, Mapping[str, str]]] = []
    for line, values in lines[1:]:
        if len(values) == len(header):
            cells.append((line, dict(zip(header, values, strict=True))))
            continue
        problems.append(
            _problem.CellProblem(
                line=line,
                column="",
                value=f"{len(values)} cells",
                allowed=f"{len(header)} cells, as in the header",
                remedy="quote cells that hold separators or line ends",
                service=values[0],
            )
        )
    return _parse_lines(cells, problems)


def parse_cells(rows: Iterable[Mapping[str, str]]) -> list[_row.ServiceRow]:
    """Return the rows given as cells by column name.

    Raises
    ------
    TableError
        With every wrong cell.
    """
    cells = list(enumerate(rows, FIRST_LINE))
    for line, row in cells:
        _check_header(list(row), line)
    return _parse_lines(cells, [])


def _split_lines(text: str) -> list[tuple[int, list[str]]]:
    """Return the rows that hold anything, with their numbers."""
    first = text.lstrip().split("\n", 1)[0]
    delimiter = max(_DELIMITERS, key=first.count)
    # The library's own limit cuts off a cell of some 2,000 servers.
    csv.field_size_limit(max(csv.field_size_limit(), len(text)))
    reader = csv.reader(
        io.StringIO(text, newline=""), delimiter=delimiter, strict=True
    )
    return [
        (line, values)
        for line, values in enumerate(reader, 1)
        if any(value.strip() for value in values)
    ]


def _check_header(header: list[str], line: int = 1) -> None:
    """Raise for columns that are unknown, missing or given twice."""
    known = set(_columns.COLUMN_NAMES)
    wrong = [n for n in header if n not in known or header.count(n) > 1]
    missing = [n for n in _columns.COLUMN_NAMES if n not in header]
    problems = [
        _problem.CellProblem(
            line=line,
            column=name,
            value=name,
            allowed=_HEADER,
            remedy="remove the column or correct its name",
        )
        for name in dict.fromkeys(wrong)
    ]
    problems += [
        _problem.CellProblem(
            line=line,
            column=name,
            value="",
            allowed=_HEADER,
            remedy="add the column; no column is left out in silence",
        )
        for name in missing
    ]
    if problems:
        raise _problem.TableError(problems=problems)


def _parse_lines(
    cells: list[tuple[int, Mapping[str, str]]],
    problems: list[_problem.CellProblem],
) -> list[_row.ServiceRow]:
    rows = []
    for line, row in cells:
        values = {}
        for column in _columns.COLUMNS:
            text = str(row[column.name]).strip()
            try:
                values[column.name] = _parse_cell(column, text)
            except ValueError:
                problems.append(
                    _problem.CellProblem(
                        line=line,
                        column=column.name,
                        value=text,
                        allowed=column.allowed,
                        remedy="correct the cell",
                        service=str(row["service"]).strip(),
                    )
                )
        if len(values) == len(_columns.COLUMNS):
            rows.append(_row.ServiceRow(**values))
    if problems:
        problems.sort(key=lambda problem: problem.line)
        raise _problem.TableError(problems=problems)
    return rows


def _parse_cell(column: _columns.ColumnSpec, text: str) -> object:
    if text:
        return column.parse(text)
    if column.required:
        raise ValueError("empty")
    return column.default


def _make_error(value: str, allowed: str, remedy: str) -> _problem.TableError:
    return _problem.TableError(
        problems=[
            _problem.CellProblem(
                line=1, column="", value=value, allowed=allowed, remedy=remedy
            )
        ]
    )
