"""Test support: manual time and in-memory fakes of the interfaces."""

from tarragonhinge.testing._clock import ManualClock
from tarragonhinge.testing._clock import WALL_ORIGIN_MS
from tarragonhinge.testing._deployment import Deployment
from tarragonhinge.testing._deployment import get_answering_server
from tarragonhinge.testing._deployment import make_row
from tarragonhinge.testing._deployment import Node
from tarragonhinge.testing._deployment import OTHER_REGION
from tarragonhinge.testing._deployment import REGION
from tarragonhinge.testing._event_log import make_event_log
from tarragonhinge.testing._faults import FaultDriver
from tarragonhinge.testing._faults import FAULTS
from tarragonhinge.testing._faults import make_idempotency_key
from tarragonhinge.testing._faults import RECOVERIES
from tarragonhinge.testing._faults import REQUESTS
from tarragonhinge.testing._key_servers import KeyFleet
from tarragonhinge.testing._key_servers import KeyServer
from tarragonhinge.testing._key_servers import MemoryGrantClient
from tarragonhinge.testing._load import OpenLoad
from tarragonhinge.testing._load import Sample
from tarragonhinge.testing._loop import ManualLoop
from tarragonhinge.testing._loop import run_manual
from tarragonhinge.testing._loop import spawn
from tarragonhinge.testing._monitor import OwnershipMonitor
from tarragonhinge.testing._network import MemoryNetwork
from tarragonhinge.testing._network import MemoryTransport
from tarragonhinge.testing._operators import KNOWN_NAMES
from tarragonhinge.testing._operators import OperatorsTestbed
from tarragonhinge.testing._peer_directory import make_peer_directory
from tarragonhinge.testing._permits import make_permits
from tarragonhinge.testing._probe import Probe
from tarragonhinge.testing._probe import ProbeEvent
from tarragonhinge.testing._probe import Stage
from tarragonhinge.testing._row_store import MAX_CALL_BYTES
from tarragonhinge.testing._row_store import MemoryRows
from tarragonhinge.testing._row_store import MemoryRowStore
from tarragonhinge.testing._row_store import StoreFaults
from tarragonhinge.testing._servers import HEADER_ATTEMPT
from tarragonhinge.testing._servers import make_client_factory
from tarragonhinge.testing._servers import MemoryServer
from tarragonhinge.testing._servers import MemoryServerClient
from tarragonhinge.testing._servers import Run
from tarragonhinge.testing._stores import FaultyTable
from tarragonhinge.testing._stores import MemoryInstanceList

__all__ = [
    "KNOWN_NAMES",
    "FAULTS",
    "HEADER_ATTEMPT",
    "MAX_CALL_BYTES",
    "OTHER_REGION",
    "RECOVERIES",
    "REGION",
    "REQUESTS",
    "WALL_ORIGIN_MS",
    "Deployment",
    "FaultDriver",
    "FaultyTable",
    "KeyFleet",
    "KeyServer",
    "ManualClock",
    "ManualLoop",
    "MemoryGrantClient",
    "MemoryInstanceList",
    "MemoryNetwork",
    "MemoryRowStore",
    "MemoryRows",
    "MemoryServer",
    "MemoryServerClient",
    "MemoryTransport",
    "Node",
    "OperatorsTestbed",
    "OwnershipMonitor",
    "OpenLoad",
    "Probe",
    "Run",
    "Sample",
    "ProbeEvent",
    "Stage",
    "StoreFaults",
    "get_answering_server",
    "make_client_factory",
    "make_event_log",
    "make_peer_directory",
    "make_permits",
    "make_idempotency_key",
    "make_row",
    "run_manual",
    "spawn",
]
