"""Which instance coordinates, and what it does for the others."""

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
