"""Attribution of crashes to requests.

All requests that ran at a server when it crashed are suspects. A request that
crashes each server is there at each of its crashes, others only at some of
them. Therefore the request with the most crashes is named first, and its
crashes no longer count against the others that were there.
"""

import collections
from collections.abc import Mapping
from collections.abc import Set
import dataclasses

from tarragonhinge import limits
from tarragonhinge.quarantine import _digest

#: Number of crashes from which a request is refused.
REFUSED_CRASHES = 3

#: Number of unexplained crashes below which a request is no longer refused.
RELEASED_CRASHES = 2

#: Number of crashes from which requests are refused that were at exactly the
#: same crashes. Below it, they run on separate servers, so that the next crash
#: tells them apart.
REFUSED_CRASHES_IN_DOUBT = 5

#: Decimal places to which weights are compared.
_WEIGHT_DECIMALS = 6


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Verdict:
    """Why a request is refused.

    Parameters
    ----------
    crashes : frozenset of Incarnation
        The servers that it crashed.
    is_certain : bool
        Whether it was the only suspect of one of these crashes.
    """

    crashes: frozenset[limits.Incarnation]
    is_certain: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Judgement:
    """Attribution of all crashes.

    Parameters
    ----------
    verdicts : dict of RequestDigest to Verdict
        Requests to refuse.
    suspects : dict of RequestDigest to int
        Number of crashes of each other request that no refused one explains.
    """

    verdicts: dict[_digest.RequestDigest, Verdict]
    suspects: dict[_digest.RequestDigest, int]


def judge(
    crashes: Mapping[limits.Incarnation, Set[_digest.RequestDigest]],
) -> Judgement:
    """Attribute crashes to requests.

    Parameters
    ----------
    crashes : mapping
        Suspects of each crash.

    Examples
    --------
    >>> found = judge({("s1", 1): {b"p", b"a"}, ("s2", 1): {b"p"},
    ...                ("s3", 1): {b"p", b"b"}})
    >>> list(found.verdicts), found.suspects
    ([b'p'], {})
    """
    unexplained = {crash: set(there) for crash, there in crashes.items()}
    verdicts: dict[_digest.RequestDigest, Verdict] = {}
    suspects: dict[_digest.RequestDigest, int] = {}
    while True:
        by_request = _index(unexplained)
        count = max(map(len, by_request.values()), default=0)
        if count < REFUSED_CRASHES:
            break
        named = _find_heaviest(by_request, unexplained, count)
        explained = frozenset().union(*(by_request[d] for d in named))
        if len(named) == 1 or count >= REFUSED_CRASHES_IN_DOUBT:
            for digest in named:
                verdicts[digest] = Verdict(
                    crashes=frozenset(by_request[digest]),
                    is_certain=any(
                        len(unexplained[crash]) == 1
                        for crash in by_request[digest]
                    ),
                )
        else:
            suspects.update((digest, count) for digest in named)
        for crash in explained:
            del unexplained[crash]
    for digest, there in _index(unexplained).items():
        if digest not in verdicts:
            suspects[digest] = suspects.get(digest, 0) + len(there)
    return Judgement(verdicts=verdicts, suspects=suspects)


def _index(
    crashes: Mapping[limits.Incarnation, Set[_digest.RequestDigest]],
) -> dict[_digest.RequestDigest, set[limits.Incarnation]]:
    """Return the crashes by request."""
    by_request = collections.defaultdict(set)
    for crash, there in crashes.items():
        for digest in there:
            by_request[digest].add(crash)
    return by_request


def _find_heaviest(
    by_request: Mapping[_digest.RequestDigest, Set[limits.Incarnation]],
    crashes: Mapping[limits.Incarnation, Set[_digest.RequestDigest]],
    count: int,
) -> list[_digest.RequestDigest]:
    """Return the requests with the highest weight at `count` crashes.

    A crash weighs less the more suspects it has.
    """
    weights = {
        digest: round(
            sum(1 / len(crashes[crash]) for crash in there), _WEIGHT_DECIMALS
        )
        for digest, there in by_request.items()
        if len(there) == count
    }
    heaviest = max(weights.values())
    return sorted(d for d, weight in weights.items() if weight == heaviest)
