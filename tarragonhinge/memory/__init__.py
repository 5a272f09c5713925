"""Memory that clients and servers make this process hold."""

from tarragonhinge.memory._account import ClientMemory
from tarragonhinge.memory._account import FullError
from tarragonhinge.memory._account import Kind
from tarragonhinge.memory._account import MemoryAccount
from tarragonhinge.memory._account import SMALL_BYTES
from tarragonhinge.memory._account import Usage
from tarragonhinge.memory._allocator import tune_allocator
from tarragonhinge.memory._budget import compute_budget
from tarragonhinge.memory._buffer import Buffer
from tarragonhinge.memory._choice import choose_clients
from tarragonhinge.memory._choice import Holding
from tarragonhinge.memory._resident import ResidentMemory

__all__ = [
    "SMALL_BYTES",
    "Buffer",
    "ClientMemory",
    "FullError",
    "Holding",
    "Kind",
    "MemoryAccount",
    "ResidentMemory",
    "Usage",
    "choose_clients",
    "compute_budget",
    "tune_allocator",
]
