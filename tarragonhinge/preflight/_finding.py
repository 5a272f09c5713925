"""What a check finds in a routing table."""

import enum

import msgspec


class Severity(enum.Enum):
    """How a finding affects callers.

    ERROR: instances reject the table, or requests fail. UNREACHABLE: an entry
    never takes effect. CONFLICT: two limits contradict each other.
    """

    ERROR = "error"
    UNREACHABLE = "unreachable"
    CONFLICT = "conflict"


class Place(msgspec.Struct, frozen=True, kw_only=True):
    """Part of a routing table.

    Parameters
    ----------
    section : str
        Field of `RoutingTable`; empty for the whole table.
    index : int or None
        Index of the entry, if the section is a sequence.
    name : str
        Name of the entry, if it has one.
    field : str
        Field of the entry; empty for the whole entry.
    """

    section: str = ""
    index: int | None = None
    name: str = ""
    field: str = ""


class Finding(msgspec.Struct, frozen=True, kw_only=True):
    """A problem, what it does to callers, and its remedy.

    Parameters
    ----------
    severity : Severity
        Kind of the effect.
    place : Place
        Where the problem is.
    problem, effect, remedy : str
        What is wrong, what callers see, and what to do.
    """

    severity: Severity
    place: Place
    problem: str
    effect: str
    remedy: str
