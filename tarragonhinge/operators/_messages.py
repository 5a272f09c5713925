"""JSON documents of the HTTP interface for operators."""

import enum

import msgspec

from tarragonhinge import base
from tarragonhinge import configuration


class TableDocument(msgspec.Struct, frozen=True, kw_only=True):
    """A version of the table, with its cells as text.

    Parameters
    ----------
    version : TableVersion
        Version of the table.
    stored : bool
        True if this is the stored version, False if the store is
        unavailable and this is the version in force on the instance.
    columns : tuple of str
        Names of the columns, in order.
    rows : list of dict
        Text of each row's cells by column name.
    """

    version: base.TableVersion
    stored: bool
    columns: tuple[str, ...]
    rows: list[dict[str, str]]


class TableBody(msgspec.Struct, frozen=True, kw_only=True):
    """Body of an edit in JSON.

    Parameters
    ----------
    rows : list of dict
        Text of each row's cells by column name.
    """

    rows: list[dict[str, str]]


class EditKind(enum.Enum):
    """Result of an edit or a check."""

    ACCEPTED = "accepted"
    UNCHANGED = "unchanged"
    CHECKED = "checked"
    CONFLICT = "conflict"
    REFUSED = "refused"
    UNRESOLVED = "unresolved"
    WRONG = "wrong"


class EditResponse(msgspec.Struct, frozen=True, kw_only=True):
    """Response to an edit or a check.

    Parameters
    ----------
    kind : EditKind
        Result of the edit or check.
    message : str
        Description of the result for people, with the remedy.
    version : TableVersion
        Version in the store; 0 if it is unknown.
    edit_id : str
        Id of the edit.
    changes : list of CellChange
        For a conflict, the changes made by other edits; for a check,
        the changes that the edit would make.
    problems : list of CellProblem
        Problems of the edited table.
    """

    kind: EditKind
    message: str = ""
    version: base.TableVersion = base.TableVersion(0)
    edit_id: str = ""
    changes: list[configuration.CellChange] = []
    problems: list[configuration.CellProblem] = []


class HistoryDocument(msgspec.Struct, frozen=True, kw_only=True):
    """History of accepted edits.

    Parameters
    ----------
    edits : list of EditSummary
        Accepted edits, newest first.
    """

    edits: list[configuration.EditSummary]


class InForceDocument(msgspec.Struct, frozen=True, kw_only=True):
    """Stored version and versions in force, as seen by one instance.

    Parameters
    ----------
    in_force : TableVersion
        Version in force on this instance.
    stored : TableVersion or None
        Version in the store; None if the store is unavailable.
    everywhere : TableVersion or None
        Lowest version in force on the instances that report; None if no
        poller responds.
    instances : int
        Number of instances that report.
    lagging, silent : list of InstanceId
        Sample of the reporting instances with an older version, and
        sample of the listed instances that do not report.
    """

    in_force: base.TableVersion
    stored: base.TableVersion | None
    everywhere: base.TableVersion | None = None
    instances: int = 0
    lagging: list[base.InstanceId] = []
    silent: list[base.InstanceId] = []
