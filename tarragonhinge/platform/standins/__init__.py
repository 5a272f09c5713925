"""Stand-ins for the platform's row store and for a backend server."""

from tarragonhinge.platform.standins._server import Execution
from tarragonhinge.platform.standins._server import ExecutionState
from tarragonhinge.platform.standins._server import StandInServer
from tarragonhinge.platform.standins._store import StandInStore

__all__ = ["Execution", "ExecutionState", "StandInServer", "StandInStore"]
