"""Stand-ins for the platform's row store, backend servers and network."""

from tarragonhinge.platform.standins._network import compute_silence_limit_ms
from tarragonhinge.platform.standins._network import CutForm
from tarragonhinge.platform.standins._network import Network
from tarragonhinge.platform.standins._server import Execution
from tarragonhinge.platform.standins._server import ExecutionState
from tarragonhinge.platform.standins._server import HEALTH_PATH
from tarragonhinge.platform.standins._server import StandInServer
from tarragonhinge.platform.standins._store import StandInStore

__all__ = [
    "HEALTH_PATH",
    "CutForm",
    "Execution",
    "ExecutionState",
    "Network",
    "StandInServer",
    "StandInStore",
    "compute_silence_limit_ms",
]
