"""Choice of the server for a request: load estimates, waiting, placement."""

from tarragonhinge.balancing._accept_resets import AcceptResets
from tarragonhinge.balancing._accept_resets import EARLY_RESET_MS
from tarragonhinge.balancing._admission import RetryDetector
from tarragonhinge.balancing._eligibility import Eligibility
from tarragonhinge.balancing._eligibility import Obstacle
from tarragonhinge.balancing._fleet_size import FleetSize
from tarragonhinge.balancing._leaving_servers import LeavingServers
from tarragonhinge.balancing._links import ServerLink
from tarragonhinge.balancing._links import ServerLinks
from tarragonhinge.balancing._owner_finder import OwnerFinder
from tarragonhinge.balancing._placement import RefusalReason
from tarragonhinge.balancing._placer import Placement
from tarragonhinge.balancing._placer import Placer
from tarragonhinge.balancing._room_wait import compute_connect_timeout_ms
from tarragonhinge.balancing._room_wait import compute_room_wait_ms
from tarragonhinge.balancing._server_load import ServerLoad
from tarragonhinge.balancing._server_preference import ServerPreference
from tarragonhinge.balancing._splitter import TargetSplitter
from tarragonhinge.balancing._view_waiter import ViewWaiter

__all__ = [
    "EARLY_RESET_MS",
    "AcceptResets",
    "Eligibility",
    "FleetSize",
    "LeavingServers",
    "Obstacle",
    "OwnerFinder",
    "Placement",
    "Placer",
    "RefusalReason",
    "RetryDetector",
    "ServerLink",
    "ServerLinks",
    "ServerLoad",
    "ServerPreference",
    "TargetSplitter",
    "ViewWaiter",
    "compute_connect_timeout_ms",
    "compute_room_wait_ms",
]
