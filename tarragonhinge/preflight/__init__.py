"""Checks of a routing table before an operator puts it in force."""

from tarragonhinge.preflight._changes import Change
from tarragonhinge.preflight._changes import compare_tables
from tarragonhinge.preflight._checks import check_table
from tarragonhinge.preflight._finding import Finding
from tarragonhinge.preflight._finding import Place
from tarragonhinge.preflight._finding import Severity
from tarragonhinge.preflight._surroundings import Surroundings

__all__ = [
    "Change",
    "Finding",
    "Place",
    "Severity",
    "Surroundings",
    "check_table",
    "compare_tables",
]
