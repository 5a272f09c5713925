"""Checks of an edited table as a whole, and against the one in force."""

from collections.abc import Iterator
from collections.abc import Sequence
import dataclasses

from tarragonhinge import base
from tarragonhinge.configuration import _columns
from tarragonhinge.configuration import _problem
from tarragonhinge.configuration import _row
from tarragonhinge.configuration import _sheet

_Kind = _problem.ProblemKind

#: Columns that decide where a key lives.
_FIXED = ("key_source", "key_name", "partitions", "homes")

_STRANDING_REMEDY = "undo the change, or apply it with --allow-stranding"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class KnownNames:
    """Names that cells may give of registered behaviour.

    Parameters
    ----------
    planners, dialects, histories, pickers, disciplines : frozenset of str
        Names in the registries.
    """

    planners: frozenset[str]
    dialects: frozenset[str]
    histories: frozenset[str]
    pickers: frozenset[str]
    disciplines: frozenset[str]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class EditFlags:
    """What an operator allows explicitly.

    Parameters
    ----------
    allow_stranding : bool
        Accept an edit after which keys in use may not be found.
    allow_over_limit : bool
        Accept limits over what the servers can take.
    """

    allow_stranding: bool = False
    allow_over_limit: bool = False

    def covers(self, problem: _problem.CellProblem) -> bool:
        """Return whether a problem is overruled."""
        if problem.kind is _Kind.STRANDS_KEYS:
            return self.allow_stranding
        if problem.kind is _Kind.OVER_LIMIT:
            return self.allow_over_limit
        return False


def check_table(
    rows: Sequence[_row.ServiceRow],
    *,
    known: KnownNames,
    current: Sequence[_row.ServiceRow] = (),
    flags: EditFlags | None = None,
) -> None:
    """Check rows that are to replace `current`.

    Raises
    ------
    TableError
        With every problem that `flags` does not cover.
    """
    flags = flags or EditFlags()
    former = {row.service: row for row in current}
    problems = list(_find_duplicates(rows))
    for line, row in enumerate(rows, _sheet.FIRST_LINE):
        before = former.pop(row.service, None)
        problems += _check_names(line, row, known)
        problems += _check_key(line, row)
        problems += _check_limits(line, row)
        problems += _check_homes(line, row, before)
        if before is not None:
            problems += _check_fixed(line, row, before)
    for gone in former.values():
        problems.append(_describe_removal(gone, len(rows)))
    problems = [p for p in problems if not flags.covers(p)]
    if problems:
        problems.sort(key=lambda problem: problem.line)
        raise _problem.TableError(problems=problems)


def _make_problem(
    line: int,
    row: _row.ServiceRow,
    column: str,
    *,
    allowed: str,
    remedy: str,
    value: str | None = None,
    kind: _Kind = _Kind.WRONG,
) -> _problem.CellProblem:
    if value is None:
        value = _columns.format_row(row)[column]
    return _problem.CellProblem(
        line=line,
        column=column,
        value=value,
        allowed=allowed,
        remedy=remedy,
        service=row.service,
        kind=kind,
    )


def _find_duplicates(
    rows: Sequence[_row.ServiceRow],
) -> Iterator[_problem.CellProblem]:
    services: set[base.ServiceName] = set()
    names: dict[base.Address, base.ServerId] = {}
    for line, row in enumerate(rows, _sheet.FIRST_LINE):
        if row.service in services:
            yield _make_problem(
                line,
                row,
                "service",
                allowed="a name that no other row has",
                remedy="merge the rows or rename one",
            )
        services.add(row.service)
        listed: set[base.ServerId] = set()
        for entry in row.servers:
            if entry.server in listed:
                yield _make_problem(
                    line,
                    row,
                    "servers",
                    value=entry.server,
                    allowed="each server once",
                    remedy="remove or rename one of the two",
                )
            listed.add(entry.server)
            other = names.setdefault(entry.address, entry.server)
            if other != entry.server:
                yield _make_problem(
                    line,
                    row,
                    "servers",
                    value=f"{entry.server}@{entry.address}",
                    allowed="one name for one address",
                    remedy=f"correct the address or name it {other!r}",
                )


def _check_names(
    line: int, row: _row.ServiceRow, known: KnownNames
) -> Iterator[_problem.CellProblem]:
    for column, names in (
        ("dialect", known.dialects),
        ("history", known.histories),
        ("picker", known.pickers),
        ("discipline", known.disciplines),
        ("planner", known.planners),
    ):
        if getattr(row, column) not in names:
            yield _make_problem(
                line,
                row,
                column,
                allowed=f"one of {', '.join(sorted(names))}",
                remedy="choose one of these",
            )


def _check_key(
    line: int, row: _row.ServiceRow
) -> Iterator[_problem.CellProblem]:
    if row.key_source is not _row.KeySource.PATH:
        return
    if not row.key_name.isdecimal() or not 1 <= int(row.key_name) <= 64:
        yield _make_problem(
            line,
            row,
            "key_name",
            allowed="a segment number from 1 to 64, as key_source is path",
            remedy="give the number, or change key_source",
        )


def _check_limits(
    line: int, row: _row.ServiceRow
) -> Iterator[_problem.CellProblem]:
    if row.slots > row.connections:
        yield _make_problem(
            line,
            row,
            "slots",
            allowed=f"at most connections, which is {row.connections}",
            remedy="lower slots or raise connections",
        )
    total = row.slots * len(row.servers)
    if row.concurrency > total:
        yield _make_problem(
            line,
            row,
            "concurrency",
            allowed=f"at most slots x servers, which is {total}",
            remedy="lower it, or apply it with --allow-over-limit",
            kind=_Kind.OVER_LIMIT,
        )


def _check_homes(
    line: int, row: _row.ServiceRow, before: _row.ServiceRow | None
) -> Iterator[_problem.CellProblem]:
    if not row.homes:
        yield _make_problem(
            line,
            row,
            "homes",
            allowed="at least one region",
            remedy="name the regions that hold the partitions",
        )
    for region in row.list_regions():
        if row.list_servers(region):
            continue
        removed = before is not None and before.list_servers(region)
        remedy = "add a server there or take the region out"
        if removed:
            remedy = f"its last server was removed: {_STRANDING_REMEDY}"
        yield _make_problem(
            line,
            row,
            "homes",
            value=region,
            allowed="regions with a server in the column servers",
            remedy=remedy,
            kind=_Kind.STRANDS_KEYS if removed else _Kind.WRONG,
        )


def _check_fixed(
    line: int, row: _row.ServiceRow, before: _row.ServiceRow
) -> Iterator[_problem.CellProblem]:
    cells = _columns.format_row(before)
    for column in _FIXED:
        if getattr(row, column) != getattr(before, column):
            yield _make_problem(
                line,
                row,
                column,
                allowed=f"{cells[column]!r}, as the service is in use",
                remedy=_STRANDING_REMEDY,
                kind=_Kind.STRANDS_KEYS,
            )


def _describe_removal(
    row: _row.ServiceRow, count: int
) -> _problem.CellProblem:
    return _make_problem(
        count + _sheet.FIRST_LINE,
        row,
        "service",
        value="",
        allowed=f"a row for {row.service!r}, which is in use",
        remedy=_STRANDING_REMEDY,
        kind=_Kind.STRANDS_KEYS,
    )
