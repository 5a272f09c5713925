"""Errors of commands, each with its exit status."""

from tarragonhinge import base

#: Wrong settings, arguments or tables.
EXIT_USAGE = 2

#: Another operator's edit was accepted first.
EXIT_CONFLICT = 3

#: The store is out of reach, or the answer was lost.
EXIT_OUTAGE = 4


class CommandError(base.TarragonhingeError):
    """A command failed."""

    exit_status = EXIT_USAGE


class CallError(CommandError):
    """An instance's operators' address gave no useful answer."""


class ConflictError(CommandError):
    """Another edit was accepted first."""

    exit_status = EXIT_CONFLICT


class OutageError(CommandError):
    """Nothing was stored, or it is not known whether it was."""

    exit_status = EXIT_OUTAGE
