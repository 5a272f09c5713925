"""Operators' table as CSV, as spreadsheets read and write it."""

from collections.abc import Iterable
from collections.abc import Mapping
import csv
import io

from tarragonhinge.configuration import _columns
from tarragonhinge.configuration import _problem
from tarragonhinge.configuration import _row

#: Row number of the first service in the spreadsheet; row 1 is the header.
FIRST_DATA_LINE = 2

_ALLOWED_HEADER = "the header of 'tarragonhinge table export'"

#: Accepted cell separators.  Spreadsheets use the semicolon in some
#: locales.
_DELIMITERS = (",", ";", "\t")


def format_csv(rows: Iterable[_row.ServiceRow]) -> str:
    """Return rows as CSV with a header line."""
    stream = io.StringIO()
    writer = csv.DictWriter(
        stream, fieldnames=_columns.COLUMN_NAMES, lineterminator="\n"
    )
    writer.writeheader()
    writer.writerows(_columns.format_row(row) for row in rows)
    return stream.getvalue()


def parse_csv(body: bytes) -> list[_row.ServiceRow]:
    """Return the rows of a CSV file, possibly written by a spreadsheet.

    A byte order mark, any line endings, quoted cells, any order of columns,
    and semicolons or tabs as separators are accepted.

    Raises
    ------
    TableError
        With every invalid cell.
    """
    try:
        text = body.decode("utf-8-sig")
        lines = _read_rows(text)
    except (UnicodeDecodeError, csv.Error) as error:
        raise _make_file_error(
            str(error), "CSV in UTF-8", "save the file as CSV in UTF-8"
        ) from error
    if not lines:
        raise _make_file_error("", _ALLOWED_HEADER, "start from an export")
    header = [name.strip() for name in lines[0][1]]
    _check_header(header)
    problems: list[_problem.CellProblem] = []
    numbered_rows: list[tuple[int, Mapping[str, str]]] = []
    for line, values in lines[1:]:
        if len(values) == len(header):
            numbered_rows.append(
                (line, dict(zip(header, values, strict=True)))
            )
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
    return _parse_rows(numbered_rows, problems)


def parse_cells(rows: Iterable[Mapping[str, str]]) -> list[_row.ServiceRow]:
    """Return the rows whose cells are given by column name.

    Raises
    ------
    TableError
        With every invalid cell, or for unknown or missing columns.
    """
    numbered_rows = list(enumerate(rows, FIRST_DATA_LINE))
    for line, row in numbered_rows:
        _check_header(list(row), line)
    return _parse_rows(numbered_rows, [])


def _read_rows(text: str) -> list[tuple[int, list[str]]]:
    """Return the non-empty rows of a CSV text with their row numbers."""
    header_line = text.lstrip().split("\n", 1)[0]
    delimiter = max(_DELIMITERS, key=header_line.count)
    # The csv module's default limit on the size of a field is too small
    # for a cell of some 2,000 servers.
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
    """Raise TableError for unknown, missing or duplicate columns.

    A missing column is an error, so that its cells are not silently set
    to their default.
    """
    known = set(_columns.COLUMN_NAMES)
    invalid = [n for n in header if n not in known or header.count(n) > 1]
    missing = [n for n in _columns.COLUMN_NAMES if n not in header]
    problems = [
        _problem.CellProblem(
            line=line,
            column=name,
            value=name,
            allowed=_ALLOWED_HEADER,
            remedy="remove the column or correct its name",
        )
        for name in dict.fromkeys(invalid)
    ]
    problems += [
        _problem.CellProblem(
            line=line,
            column=name,
            value="",
            allowed=_ALLOWED_HEADER,
            remedy="add the column; every column must be given",
        )
        for name in missing
    ]
    if problems:
        raise _problem.TableError(problems=problems)


def _parse_rows(
    numbered_rows: list[tuple[int, Mapping[str, str]]],
    problems: list[_problem.CellProblem],
) -> list[_row.ServiceRow]:
    rows = []
    for line, row in numbered_rows:
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


def _make_file_error(
    value: str, allowed: str, remedy: str
) -> _problem.TableError:
    return _problem.TableError(
        problems=[
            _problem.CellProblem(
                line=1, column="", value=value, allowed=allowed, remedy=remedy
            )
        ]
    )
