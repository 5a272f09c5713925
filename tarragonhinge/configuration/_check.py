"""Checks of an edited table across its rows and against the stored one."""

from collections.abc import Iterator
from collections.abc import Sequence
import dataclasses

from tarragonhinge import base
from tarragonhinge.configuration import _columns
from tarragonhinge.configuration import _problem
from tarragonhinge.configuration import _row
from tarragonhinge.configuration import _spreadsheet

_Kind = _problem.ProblemKind

#: Columns that determine the partition and the home region of a key.  They
#: must not change while the service is in use.
_IMMUTABLE_COLUMNS = ("key_source", "key_name", "partitions", "homes")

_STRANDING_REMEDY = "undo the change, or apply it with --allow-stranding"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class KnownNames:
    """Registered names that cells may refer to.

    Parameters
    ----------
    planners, dialects, histories, pickers, disciplines : frozenset of str
        Names registered in the registry of each kind.
    """

    planners: frozenset[str]
    dialects: frozenset[str]
    histories: frozenset[str]
    pickers: frozenset[str]
    disciplines: frozenset[str]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class EditFlags:
    """Kinds of problems that an operator overrides explicitly.

    Parameters
    ----------
    allow_stranding : bool
        Accept an edit that may make keys in use unreachable.
    allow_over_limit : bool
        Accept limits that exceed the capacity of the servers.
    """

    allow_stranding: bool = False
    allow_over_limit: bool = False

    def permits(self, problem: _problem.CellProblem) -> bool:
        """Return whether the flags override a problem."""
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

    Parameters
    ----------
    rows : sequence of ServiceRow
        All rows of the edited table.
    known : KnownNames
        Registered names that cells may refer to.
    current : sequence of ServiceRow
        All rows of the stored table.
    flags : EditFlags or None
        Kinds of problems to override; None for none.

    Raises
    ------
    TableError
        With every problem that `flags` does not permit.
    """
    flags = flags or EditFlags()
    unmatched_rows = {row.service: row for row in current}
    problems = list(_find_duplicates(rows))
    for line, row in enumerate(rows, _spreadsheet.FIRST_DATA_LINE):
        current_row = unmatched_rows.pop(row.service, None)
        problems += _check_policy_names(line, row, known)
        problems += _check_key(line, row)
        problems += _check_limits(line, row)
        problems += _check_homes(line, row, current_row)
        if current_row is not None:
            problems += _check_immutable_columns(line, row, current_row)
    for removed_row in unmatched_rows.values():
        problems.append(_make_removal_problem(removed_row, len(rows)))
    problems = [p for p in problems if not flags.permits(p)]
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
    seen_services: set[base.ServiceName] = set()
    server_by_address: dict[base.Address, base.ServerId] = {}
    for line, row in enumerate(rows, _spreadsheet.FIRST_DATA_LINE):
        if row.service in seen_services:
            yield _make_problem(
                line,
                row,
                "service",
                allowed="a name that no other row has",
                remedy="merge the rows or rename one",
            )
        seen_services.add(row.service)
        seen_servers: set[base.ServerId] = set()
        for entry in row.servers:
            if entry.server in seen_servers:
                yield _make_problem(
                    line,
                    row,
                    "servers",
                    value=entry.server,
                    allowed="each server once",
                    remedy="remove or rename one of the two",
                )
            seen_servers.add(entry.server)
            known_server = server_by_address.setdefault(
                entry.address, entry.server
            )
            if known_server != entry.server:
                yield _make_problem(
                    line,
                    row,
                    "servers",
                    value=f"{entry.server}@{entry.address}",
                    allowed="one name for one address",
                    remedy=f"correct the address or name it {known_server!r}",
                )


def _check_policy_names(
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
    line: int, row: _row.ServiceRow, current_row: _row.ServiceRow | None
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
        last_server_removed = (
            current_row is not None and current_row.list_servers(region)
        )
        remedy = "add a server there or take the region out"
        if last_server_removed:
            remedy = f"its last server was removed: {_STRANDING_REMEDY}"
        yield _make_problem(
            line,
            row,
            "homes",
            value=region,
            allowed="regions with a server in the column servers",
            remedy=remedy,
            kind=_Kind.STRANDS_KEYS if last_server_removed else _Kind.WRONG,
        )


def _check_immutable_columns(
    line: int, row: _row.ServiceRow, current_row: _row.ServiceRow
) -> Iterator[_problem.CellProblem]:
    current_cells = _columns.format_row(current_row)
    for column in _IMMUTABLE_COLUMNS:
        if getattr(row, column) != getattr(current_row, column):
            yield _make_problem(
                line,
                row,
                column,
                allowed=f"{current_cells[column]!r}, as the service is in use",
                remedy=_STRANDING_REMEDY,
                kind=_Kind.STRANDS_KEYS,
            )


def _make_removal_problem(
    row: _row.ServiceRow, row_count: int
) -> _problem.CellProblem:
    return _make_problem(
        row_count + _spreadsheet.FIRST_DATA_LINE,
        row,
        "service",
        value="",
        allowed=f"a row for {row.service!r}, which is in use",
        remedy=_STRANDING_REMEDY,
        kind=_Kind.STRANDS_KEYS,
    )
