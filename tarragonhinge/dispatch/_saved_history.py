"""Encoded form of the request history.

It is sent to other instances and stored in the platform's table.
"""

import msgspec

from tarragonhinge import base

#: Status, header fields and body of a recorded answer.
SavedAnswer = tuple[int, tuple[tuple[str, str], ...], bytes]


class SavedEntry(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Record of one idempotency key.

    Parameters
    ----------
    key : bytes
        The UUID, 16 bytes in big-endian order.
    fingerprint : int
        Hash of the request.
    reply : SavedAnswer, UnknownReason or None
        Outcome of the request; None until it is known.
    released : bool
        True if the request did not run, so that the key may be used
        again.
    """

    key: bytes
    fingerprint: int = 0
    reply: SavedAnswer | base.UnknownReason | None = None
    released: bool = False


class SavedHistory(msgspec.Struct, frozen=True, kw_only=True):
    """Recorded idempotency keys of a shard.

    Parameters
    ----------
    horizon : int
        Wall-clock time in milliseconds.  Keys created before it may have
        run without being recorded.
    entries : list of SavedEntry
        Records, oldest first.
    """

    horizon: int
    entries: list[SavedEntry] = []


def serialize_outcome(
    outcome: base.Outcome | None,
) -> SavedAnswer | base.UnknownReason | None:
    """Return the encoded form of an outcome."""
    if isinstance(outcome, base.Answered):
        return (outcome.status, outcome.headers, outcome.body)
    if isinstance(outcome, base.Unknown):
        return outcome.reason
    return None


def deserialize_outcome(
    reply: SavedAnswer | base.UnknownReason | None,
) -> base.Outcome | None:
    """Return the outcome of an encoded form."""
    if isinstance(reply, tuple):
        status, headers, body = reply
        return base.Answered(
            status=status, headers=headers, body=body, replayed=True
        )
    if reply is not None:
        return base.Unknown(reason=reply)
    return None
