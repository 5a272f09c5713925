"""Propagation of the operators' table and of the instance list."""

from tarragonhinge.propagation._election import PollerElection
from tarragonhinge.propagation._election import POLLERS_PER_ZONE
from tarragonhinge.propagation._fleet import combine_summaries
from tarragonhinge.propagation._fleet import FleetVersion
from tarragonhinge.propagation._messages import ZoneSummary
from tarragonhinge.propagation._propagator import DISCONNECTED_AFTER_MS
from tarragonhinge.propagation._propagator import Propagator
from tarragonhinge.propagation._propagator import STEP_PERIOD_MS
from tarragonhinge.propagation._selection import select_entries

__all__ = [
    "DISCONNECTED_AFTER_MS",
    "POLLERS_PER_ZONE",
    "STEP_PERIOD_MS",
    "FleetVersion",
    "PollerElection",
    "Propagator",
    "ZoneSummary",
    "combine_summaries",
    "select_entries",
]
