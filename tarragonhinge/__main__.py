"""Runs the command line as ``python -m tarragonhinge``."""

from tarragonhinge import cli

cli.main()
