"""Errors of the platform adapter."""

from tarragonhinge import base


class NodeFileError(base.TarragonhingeError):
    """An entry of the platform's settings file is missing or invalid."""
