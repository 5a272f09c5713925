"""Spreads the operators' table and the list of instances."""

from tarragonhinge.propagation._election import PollerElection
from tarragonhinge.propagation._election import POLLERS_PER_ZONE
from tarragonhinge.propagation._fleet import combine_summaries
from tarragonhinge.propagation._fleet import FleetVersion
from tarragonhinge.propagation._messages import ZoneSummary
from tarragonhinge.propagation._propagator import CUT_OFF_MS
from tarragonhinge.propagation._propagator import PERIOD_MS
from tarragonhinge.propagation._propagator import Propagator
from tarragonhinge.propagation._selection import select_entries

__all__ = [
    "CUT_OFF_MS",
    "PERIOD_MS",
    "POLLERS_PER_ZONE",
    "FleetVersion",
    "PollerElection",
    "Propagator",
    "ZoneSummary",
    "combine_summaries",
    "select_entries",
]
