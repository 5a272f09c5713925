"""The entry: from a caller's HTTP request to the leader of its key."""

from tarragonhinge.routing._directory import LeaderDirectory
from tarragonhinge.routing._entry import Entry
from tarragonhinge.routing._front import HEADER_REPLAYED
from tarragonhinge.routing._front import HttpFrontend
from tarragonhinge.routing._key import choose_place
from tarragonhinge.routing._key import extract_key
from tarragonhinge.routing._key import KeyPlace
from tarragonhinge.routing._key import locate_key
from tarragonhinge.routing._links import CrossRegionBudgets
from tarragonhinge.routing._problem import HEADER_OUTCOME
from tarragonhinge.routing._problem import make_problem

__all__ = [
    "CrossRegionBudgets",
    "HEADER_OUTCOME",
    "HEADER_REPLAYED",
    "Entry",
    "HttpFrontend",
    "KeyPlace",
    "LeaderDirectory",
    "choose_place",
    "extract_key",
    "locate_key",
    "make_problem",
]
