"""What is wrong with an edited table, cell by cell."""

import enum

import msgspec

from tarragonhinge import base


class ProblemKind(enum.Enum):
    """Whether a problem can be overruled, and by which flag."""

    WRONG = "wrong"
    STRANDS_KEYS = "strands_keys"
    OVER_LIMIT = "over_limit"


class CellProblem(msgspec.Struct, frozen=True, kw_only=True):
    """One cell that keeps an edit from being accepted.

    Parameters
    ----------
    line : int
        Row of the spreadsheet; the header is row 1.
    column : str
        Name of the column; empty if the whole row is meant.
    value : str
        What the cell holds.
    allowed : str
        What it may hold.
    remedy : str
        What to do about it.
    service : str
        Name in the row's first cell.
    kind : ProblemKind
        Whether a flag overrules it.
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
        place = f"row {self.line}"
        if self.service:
            place += f" ({self.service})"
        if self.column:
            place += f", column {self.column}"
        return (
            f"{place}: {self.value!r}: allowed is {self.allowed}; "
            f"{self.remedy}"
        )


class TableError(base.TarragonhingeError):
    """An edited table is not accepted; nothing of it was stored.

    Parameters
    ----------
    problems : list of CellProblem
        All that is wrong.
    """

    def __init__(self, *, problems: list[CellProblem]) -> None:
        self.problems = problems
        lines = "\n".join(str(problem) for problem in problems)
        super().__init__(
            problem=f"{len(problems)} cells are not accepted:\n{lines}",
            remedy="correct them and apply the whole table again",
        )
