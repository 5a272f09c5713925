"""Small stand-ins of the platform's store and of a backend server."""

from tarragonhinge.platform.standins._server import StandInServer
from tarragonhinge.platform.standins._store import StandInStore

__all__ = ["StandInServer", "StandInStore"]
