"""Rendezvous (highest random weight) hashing.

See Thaler and Ravishankar, "Using name-based mappings to increase hit
rates", IEEE/ACM Transactions on Networking 6(1), 1998.
"""

from collections.abc import Iterable
from typing import TypeVar

import xxhash

N = TypeVar("N", bound=str)


def rank_names(key: str, names: Iterable[N]) -> list[N]:
    """Return names in descending order of preference for a key.

    The order of two names does not depend on the other names, so adding
    or removing a name does not change the order of the rest.

    Examples
    --------
    >>> full = rank_names("orders/koshi", ["a", "b", "c"])
    >>> [n for n in full if n != "b"] == rank_names(
    ...     "orders/koshi", ["c", "a"])
    True
    """
    suffix = b"\0" + key.encode()
    return sorted(
        names,
        key=lambda name: xxhash.xxh3_64_intdigest(name.encode() + suffix),
    )
