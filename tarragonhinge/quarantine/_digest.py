"""Digest by which the attempts of one request are recognized."""

import hashlib
from typing import NewType

#: Digest of a request; equal for all attempts of it, by any instance.
RequestDigest = NewType("RequestDigest", bytes)

#: Size of a digest.
DIGEST_BYTES = 16


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
    >>> request.update(method="GE", target="T/a")
    >>> first == compute_digest(host="h.example", body=b"", **request)
    False
    """
    # Lengths keep the parts apart.
    head = (
        f"{len(host)} {len(method)} {len(target)} {len(caller)} {key} "
        f"{host.lower()}{method}{target}{caller}"
    ).encode("utf-8", "surrogatepass")
    digest = hashlib.blake2b(head, digest_size=DIGEST_BYTES)
    digest.update(body)
    return RequestDigest(digest.digest())
