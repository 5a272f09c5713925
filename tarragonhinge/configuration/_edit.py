"""An edit of the table, and how it ended."""

import dataclasses
import uuid

import msgspec

from tarragonhinge import base
from tarragonhinge.configuration import _diff
from tarragonhinge.configuration import _table

REASON_LIMIT = 200
WHO_LIMIT = 64
EDIT_ID_LIMIT = 64


class EditNote(msgspec.Struct, frozen=True, kw_only=True):
    """What an operator says of an edit.

    Parameters
    ----------
    edit_id : str
        Unique; an edit that is sent again with its id is stored once.
    reason, who : str
        Kept in the history.
    """

    edit_id: str
    reason: str = ""
    who: str = ""

    def __post_init__(self) -> None:
        """Check the lengths, which bound the stored row."""
        for name, limit in (
            ("edit_id", EDIT_ID_LIMIT),
            ("reason", REASON_LIMIT),
            ("who", WHO_LIMIT),
        ):
            base.check_range(
                f"length of {name}",
                len(getattr(self, name)),
                low=int(name == "edit_id"),
                high=limit,
            )
        if not all(c.isalnum() or c == "-" for c in self.edit_id):
            raise base.ParameterError(
                problem=f"edit_id={self.edit_id!r} has other characters",
                remedy="use letters, digits and '-', or leave it out",
            )


def make_edit_id() -> str:
    """Return a new unique edit id."""
    return uuid.uuid4().hex


class EditSummary(msgspec.Struct, frozen=True, kw_only=True):
    """One accepted edit, as the history keeps it.

    Parameters
    ----------
    version : TableVersion
        The version that it made.
    note : EditNote
        Id, reason and author.
    at_ms : int
        Wall time of the instance that took it, for reading only.
    digest : str
        SHA-256 of the rows as they were written, in hexadecimal.
    """

    version: base.TableVersion
    note: EditNote
    at_ms: int
    digest: str


class EditIdReused(base.TarragonhingeError):
    """The id of an accepted edit was given to an edit of other content."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Accepted:
    """An edit is stored as a new version."""

    version: base.TableVersion


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Unchanged:
    """The edit is what is stored already; there is no new version."""

    version: base.TableVersion


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class EditConflict:
    """Another edit was accepted first.

    Parameters
    ----------
    current : OperatorsTable
        What is stored.
    changes : tuple of CellChange
        What changed between the expected version and the stored one.
    """

    current: _table.OperatorsTable
    changes: tuple[_diff.CellChange, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class EditRefused:
    """The store is out of reach; this attempt stored nothing.

    An earlier attempt that stayed unresolved may have.
    """

    retry_after_ms: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class EditUnresolved:
    """The store went out of reach before it said whether it stored.

    Sending the edit again with its id tells, and stores it once.
    """

    edit_id: str
    retry_after_ms: int


EditResult = Accepted | Unchanged | EditConflict | EditRefused | EditUnresolved
