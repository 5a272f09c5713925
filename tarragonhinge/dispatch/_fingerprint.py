"""Parsing of idempotency keys and hashing of their requests."""

import uuid

import xxhash

from tarragonhinge.dispatch import _messages

UUID_VERSION = 7

#: Number of bits of a UUIDv7 below its timestamp.
_RANDOM_BITS = 80


def parse_key(key: str) -> int | None:
    """Return a UUIDv7 as an integer, or None if the key is not one.

    All spellings of one UUID give the same integer.

    Examples
    --------
    >>> lower = parse_key("017f22e2-79b0-7cc3-98c4-dc0c0c07398f")
    >>> lower == parse_key("017F22E279B07CC398C4DC0C0C07398F")
    True
    >>> parse_key("order 12") is None
    True
    """
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        return None
    return parsed.int if parsed.version == UUID_VERSION else None


def get_created_at(key_id: int) -> int:
    """Return the timestamp of a UUIDv7, in Unix milliseconds (RFC 9562).

    Examples
    --------
    >>> get_created_at(parse_key("017f22e2-79b0-7cc3-98c4-dc0c0c07398f"))
    1645557742000
    """
    return key_id >> _RANDOM_BITS


def compute_fingerprint(request: _messages.ForwardRequest) -> int:
    """Return a hash of a request.

    It detects the reuse of an idempotency key for another request.
    """
    digest = xxhash.xxh3_64(request.method.encode())
    digest.update(b"\0" + request.path.encode() + b"\0")
    digest.update(request.body)
    return digest.intdigest()
