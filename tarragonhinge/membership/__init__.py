"""The instance list, and rendezvous hashing over the instances."""

from tarragonhinge.membership._instance import InstanceEntry
from tarragonhinge.membership._instance import InstanceState
from tarragonhinge.membership._list import HttpInstanceList
from tarragonhinge.membership._list import InstanceList
from tarragonhinge.membership._list import InstanceView
from tarragonhinge.membership._rendezvous import rank_names

__all__ = [
    "HttpInstanceList",
    "InstanceEntry",
    "InstanceList",
    "InstanceState",
    "InstanceView",
    "rank_names",
]
