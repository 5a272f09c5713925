"""Digest by which the attempts of one request are recognized."""

import hashlib
from typing import NewType

#: Digest of a request; equal for all attempts of it, by any instance.
RequestDigest = NewType("RequestDigest", bytes)

#: Size of a digest.
DIGEST_BYTES = 16

_LENGTH_BYTES = 4


def compute_digest(
    *,
    host: str,
    method: str,
    target: str,
    caller: str,
    key: int | None,
    body: bytes,
) -> RequestDigest:
    """Return the digest of a request.

    Parameters
    ----------
    host, method, target : str
        Host, method and target as received.
    caller : str
        What names the caller; empty if nothing does.
    key : int or None
        Shard key, if the service is keyed.
    body : bytes
        The body.

    Examples
    --------
    >>> request = dict(method="GET", target="/a", caller="", key=None)
    >>> first = compute_digest(host="h.example", body=b"", **request)
    >>> first == compute_digest(host="H.example", body=b"", **request)
    True
    >>> first == compute_digest(host="h.example", body=b"x", **request)
    False
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    key_text = "" if key is None else str(key)
    for text in (host.lower(), method, target, caller, key_text):
        part = text.encode("utf-8", "surrogateescape")
        # Lengths keep the parts apart.
        digest.update(len(part).to_bytes(_LENGTH_BYTES, "big") + part)
    digest.update(body)
    return RequestDigest(digest.digest())
