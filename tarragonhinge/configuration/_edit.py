"""Edits of the operators' table and their results."""

import dataclasses
import uuid

import msgspec

from tarragonhinge import base
from tarragonhinge.configuration import _diff
from tarragonhinge.configuration import _table

#: Maximum lengths of the fields of an `EditNote`, in characters.
MAX_REASON_LENGTH = 200
MAX_WHO_LENGTH = 64
MAX_EDIT_ID_LENGTH = 64


class EditNote(msgspec.Struct, frozen=True, kw_only=True):
    """Identifier, reason and author of an edit, given by the operator.

    Parameters
    ----------
    edit_id : str
        Unique id of the edit.  An edit that is sent again with the same
        id is stored only once.
    reason, who : str
        Reason and author, which are kept in the history.
    """

    edit_id: str
    reason: str = ""
    who: str = ""

    def __post_init__(self) -> None:
        """Check the lengths, which limit the size of the polled row."""
        for name, limit in (
            ("edit_id", MAX_EDIT_ID_LENGTH),
            ("reason", MAX_REASON_LENGTH),
            ("who", MAX_WHO_LENGTH),
        ):
            base.check_range(
                f"length of {name}",
                len(getattr(self, name)),
                low=int(name == "edit_id"),
                high=limit,
            )
        if not all(c.isalnum() or c == "-" for c in self.edit_id):
            raise base.ParameterError(
                problem=f"edit_id={self.edit_id!r} has invalid characters",
                remedy="use letters, digits and '-', or leave it out",
            )


def make_edit_id() -> str:
    """Return a new unique edit id."""
    return uuid.uuid4().hex


class EditSummary(msgspec.Struct, frozen=True, kw_only=True):
    """An accepted edit, as kept in the history.

    Parameters
    ----------
    version : TableVersion
        Version that the edit created.
    note : EditNote
        Id, reason and author.
    at_ms : int
        Wall time at which the instance accepted the edit, in milliseconds
        since the Unix epoch; informative only.
    digest : str
        SHA-256 digest of the rows as encoded by the instance that
        stored them, in hexadecimal.
    """

    version: base.TableVersion
    note: EditNote
    at_ms: int
    digest: str


class EditIdReused(base.TarragonhingeError):
    """The id of an accepted edit was used for an edit of other content."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Accepted:
    """The edit was stored as a new version."""

    version: base.TableVersion


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Unchanged:
    """The edit equals the stored table; no new version was created."""

    version: base.TableVersion


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class EditConflict:
    """The edit was rejected, since another edit was accepted first.

    Parameters
    ----------
    current : OperatorsTable
        The stored table.
    changes : tuple of CellChange
        Differences between the expected version and the stored one.
    """

    current: _table.OperatorsTable
    changes: tuple[_diff.CellChange, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class EditRefused:
    """The store is unavailable; this attempt stored nothing.

    An earlier attempt that ended unresolved may have stored the edit.

    Parameters
    ----------
    retry_after_ms : int
        Delay after which to send the edit again, in milliseconds.
    """

    retry_after_ms: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class EditUnresolved:
    """The store became unavailable before it confirmed the edit.

    The edit may or may not be stored.  Sending it again with the same id
    determines the outcome and stores it at most once.

    Parameters
    ----------
    edit_id : str
        Id of the edit.
    retry_after_ms : int
        Delay after which to send the edit again, in milliseconds.
    """

    edit_id: str
    retry_after_ms: int


EditResult = Accepted | Unchanged | EditConflict | EditRefused | EditUnresolved
