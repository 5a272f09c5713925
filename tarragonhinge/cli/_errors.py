"""Errors of commands and their exit statuses."""

from tarragonhinge import base

#: Invalid settings, arguments or tables.
EXIT_USAGE = 2

#: Another operator's edit was accepted first.
EXIT_CONFLICT = 3

#: The store is unreachable, or the response was lost.
EXIT_OUTAGE = 4


class CommandError(base.TarragonhingeError):
    """A command failed."""

    exit_status = EXIT_USAGE


class CallError(CommandError):
    """A request to the operators' address of an instance failed."""


class ConflictError(CommandError):
    """The edit conflicts with another one that was accepted first."""

    exit_status = EXIT_CONFLICT


class OutageError(CommandError):
    """Nothing was stored, or it is unknown whether it was stored."""

    exit_status = EXIT_OUTAGE
