"""JSON messages of the operators' HTTP interface."""

import enum

import msgspec

from tarragonhinge import base
from tarragonhinge import configuration


class TableDocument(msgspec.Struct, frozen=True, kw_only=True):
    """A version of the table as text cells.

    Parameters
    ----------
    version : TableVersion
        Its number.
    stored : bool
        False if the store gave no answer, and this is what the instance
        has in force.
    columns : tuple of str
        Names of the columns, in order.
    rows : list of dict
        Cells by column name.
    """

    version: base.TableVersion
    stored: bool
    columns: tuple[str, ...]
    rows: list[dict[str, str]]


class TableBody(msgspec.Struct, frozen=True, kw_only=True):
    """Body of an edit in JSON."""

    rows: list[dict[str, str]]


class EditKind(enum.Enum):
    """How an edit or a check ended."""

    ACCEPTED = "accepted"
    UNCHANGED = "unchanged"
    CHECKED = "checked"
    CONFLICT = "conflict"
    REFUSED = "refused"
    UNRESOLVED = "unresolved"
    WRONG = "wrong"


class EditAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Answer to an edit or a check.

    Parameters
    ----------
    kind : EditKind
        How it ended.
    message : str
        The same for people, with the remedy.
    version : TableVersion
        The stored version, where it is known.
    edit_id : str
        The edit's id.
    changes : list of CellChange
        In a conflict, what others changed; in a check, what the edit
        changes.
    problems : list of CellProblem
        What is wrong.
    """

    kind: EditKind
    message: str = ""
    version: base.TableVersion = base.TableVersion(0)
    edit_id: str = ""
    changes: list[configuration.CellChange] = []
    problems: list[configuration.CellProblem] = []


class HistoryDocument(msgspec.Struct, frozen=True, kw_only=True):
    """Accepted edits, the newest first."""

    edits: list[configuration.EditSummary]


class InForceDocument(msgspec.Struct, frozen=True, kw_only=True):
    """Versions as one instance sees them.

    Parameters
    ----------
    in_force : TableVersion
        What this instance acts on.
    stored : TableVersion or None
        What the store holds; None if it gave no answer.
    everywhere : TableVersion or None
        What all instances that report act on at least; None if no
        poller answers.
    instances : int
        Instances that report.
    lagging, silent : list of InstanceId
        Some with a lower version, and some listed that do not report.
    """

    in_force: base.TableVersion
    stored: base.TableVersion | None
    everywhere: base.TableVersion | None = None
    instances: int = 0
    lagging: list[base.InstanceId] = []
    silent: list[base.InstanceId] = []
