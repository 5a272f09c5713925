"""Admission control: slots, queues, rates and shares of limits."""

from tarragonhinge.admission._concurrency_window import ConcurrencyWindow
from tarragonhinge.admission._discipline import Discipline
from tarragonhinge.admission._discipline import DISCIPLINES
from tarragonhinge.admission._health import list_avoided
from tarragonhinge.admission._health import ServerHealth
from tarragonhinge.admission._lingering import LingeringCount
from tarragonhinge.admission._picker import Candidate
from tarragonhinge.admission._picker import Picker
from tarragonhinge.admission._picker import PICKERS
from tarragonhinge.admission._recent_tables import IN_FORCE_LIMIT_MS
from tarragonhinge.admission._recent_tables import RecentTables
from tarragonhinge.admission._service_gate import ServiceGate
from tarragonhinge.admission._shares import apportion
from tarragonhinge.admission._shares import compute_connections
from tarragonhinge.admission._shares import compute_share
from tarragonhinge.admission._shares import compute_slots
from tarragonhinge.admission._shares import limit_slots
from tarragonhinge.admission._shares import list_sharing_shards
from tarragonhinge.admission._shares import ShardShare
from tarragonhinge.admission._slots import MIN_RETRY_AFTER_MS
from tarragonhinge.admission._slots import ServerSlots
from tarragonhinge.admission._token_bucket import BURST_MS
from tarragonhinge.admission._token_bucket import TokenBucket

__all__ = [
    "Candidate",
    "PICKERS",
    "Picker",
    "ServerHealth",
    "list_avoided",
    "BURST_MS",
    "DISCIPLINES",
    "Discipline",
    "IN_FORCE_LIMIT_MS",
    "LingeringCount",
    "MIN_RETRY_AFTER_MS",
    "RecentTables",
    "ServerSlots",
    "ServiceGate",
    "ShardShare",
    "ConcurrencyWindow",
    "TokenBucket",
    "apportion",
    "compute_connections",
    "compute_share",
    "compute_slots",
    "limit_slots",
    "list_sharing_shards",
]
