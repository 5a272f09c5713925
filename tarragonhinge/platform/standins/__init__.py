"""Stand-ins for the platform's row store and for a backend server."""

from tarragonhinge.platform.standins._server import StandInServer
from tarragonhinge.platform.standins._store import StandInStore

__all__ = ["StandInServer", "StandInStore"]
