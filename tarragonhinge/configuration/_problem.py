"""Problems found in the cells of an edited table."""

import enum

import msgspec

from tarragonhinge import base


class ProblemKind(enum.Enum):
    """Kind of a problem, which decides the flag that overrides it.

    `WRONG` cannot be overridden.
    """

    WRONG = "wrong"
    STRANDS_KEYS = "strands_keys"
    OVER_LIMIT = "over_limit"


class CellProblem(msgspec.Struct, frozen=True, kw_only=True):
    """Problem of one cell, because of which an edit is rejected.

    Parameters
    ----------
    line : int
        Row number in the spreadsheet; the header is row 1.
    column : str
        Name of the column; empty if the problem concerns the whole row.
    value : str
        Text of the cell.
    allowed : str
        Allowed values of the cell.
    remedy : str
        How to correct the cell.
    service : str
        Service of the row.
    kind : ProblemKind
        Decides which flag, if any, overrides the problem.
    """

    line: int
    column: str
    value: str
    allowed: str
    remedy: str
    service: str = ""
    kind: ProblemKind = ProblemKind.WRONG

    def __str__(self) -> str:
        """Return the problem as one line."""
        location = f"row {self.line}"
        if self.service:
            location += f" ({self.service})"
        if self.column:
            location += f", column {self.column}"
        return (
            f"{location}: {self.value!r}: allowed is {self.allowed}; "
            f"{self.remedy}"
        )


class TableError(base.TarragonhingeError):
    """An edited table is invalid; no part of it was stored.

    Parameters
    ----------
    problems : list of CellProblem
        All problems of the table.
    """

    def __init__(self, *, problems: list[CellProblem]) -> None:
        self.problems = problems
        lines = "\n".join(str(problem) for problem in problems)
        super().__init__(
            problem=f"{len(problems)} cells are not accepted:\n{lines}",
            remedy="correct them and apply the whole table again",
        )
