"""Command line interface."""

from tarragonhinge.cli._main import main

__all__ = ["main"]
