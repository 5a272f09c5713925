"""Routing of callers' HTTP requests to the leaders of their keys.

The instance that receives a request from its caller is the entry of the
request.
"""

from tarragonhinge.routing._cross_region_budgets import CrossRegionBudgets
from tarragonhinge.routing._directory import LeaderDirectory
from tarragonhinge.routing._entry import Entry
from tarragonhinge.routing._http_frontend import HEADER_REPLAYED
from tarragonhinge.routing._http_frontend import HttpFrontend
from tarragonhinge.routing._key_location import choose_location
from tarragonhinge.routing._key_location import extract_key
from tarragonhinge.routing._key_location import KeyLocation
from tarragonhinge.routing._key_location import locate_key
from tarragonhinge.routing._problem import HEADER_OUTCOME
from tarragonhinge.routing._problem import make_problem

__all__ = [
    "CrossRegionBudgets",
    "HEADER_OUTCOME",
    "HEADER_REPLAYED",
    "Entry",
    "HttpFrontend",
    "KeyLocation",
    "LeaderDirectory",
    "choose_location",
    "extract_key",
    "locate_key",
    "make_problem",
]
