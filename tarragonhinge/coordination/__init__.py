"""Election of the coordinator and its duties for the fleet."""

from tarragonhinge.coordination._authority import Authority
from tarragonhinge.coordination._authority import AUTHORITY_MS
from tarragonhinge.coordination._claim import ClaimPolicy
from tarragonhinge.coordination._coordinator import Coordinator
from tarragonhinge.coordination._member import Member

__all__ = [
    "AUTHORITY_MS",
    "Authority",
    "ClaimPolicy",
    "Coordinator",
    "Member",
]
