"""Errors of the adapter."""

from tarragonhinge import base


class NodeFileError(base.TarragonhingeError):
    """The platform's settings file lacks an entry, or one is wrong."""
