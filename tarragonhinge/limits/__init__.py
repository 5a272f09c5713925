"""Limits that backend servers name, kept by all instances together."""

from tarragonhinge.limits._cold_servers import ColdServer
from tarragonhinge.limits._cold_servers import ColdServers
from tarragonhinge.limits._cold_servers import ColdSource
from tarragonhinge.limits._issuer import PermitIssuer
from tarragonhinge.limits._pacer import BURST_MS
from tarragonhinge.limits._pacer import Pacer
from tarragonhinge.limits._pacer import Reservation
from tarragonhinge.limits._permits import Permits
from tarragonhinge.limits._permits import PermitSource
from tarragonhinge.limits._server_limits import Incarnation
from tarragonhinge.limits._server_limits import NamedLimit
from tarragonhinge.limits._server_limits import ServerLimits

__all__ = [
    "BURST_MS",
    "ColdServer",
    "ColdServers",
    "ColdSource",
    "Incarnation",
    "NamedLimit",
    "Pacer",
    "PermitIssuer",
    "PermitSource",
    "Permits",
    "ServerLimits",
    "Reservation",
]
