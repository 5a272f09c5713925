"""Remembered requests as they travel to other instances and the table."""

import msgspec

from tarragonhinge import base

#: Status, header fields and body of a recorded answer.
SavedAnswer = tuple[int, tuple[tuple[str, str], ...], bytes]


class SavedEntry(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """A remembered key.

    Parameters
    ----------
    key : bytes
        The UUID, 16 bytes.
    fingerprint : int
        Hash of the request.
    reply : SavedAnswer, UnknownReason or None
        How it ended; None while that is not known.
    gone : bool
        True if nothing ran under the key, so that it is free again.
    """

    key: bytes
    fingerprint: int = 0
    reply: SavedAnswer | base.UnknownReason | None = None
    gone: bool = False


class SavedHistory(msgspec.Struct, frozen=True, kw_only=True):
    """All remembered keys of a shard.

    Parameters
    ----------
    horizon : int
        Keys minted before this wall time may have run unseen.
    entries : list of SavedEntry
        Oldest first.
    """

    horizon: int
    entries: list[SavedEntry] = []


def save_reply(
    outcome: base.Outcome | None,
) -> SavedAnswer | base.UnknownReason | None:
    """Return an outcome as it is saved."""
    if isinstance(outcome, base.Answered):
        return (outcome.status, outcome.headers, outcome.body)
    if isinstance(outcome, base.Unknown):
        return outcome.reason
    return None


def load_reply(
    reply: SavedAnswer | base.UnknownReason | None,
) -> base.Outcome | None:
    """Return the outcome that was saved."""
    if isinstance(reply, tuple):
        status, headers, body = reply
        return base.Answered(
            status=status, headers=headers, body=body, replayed=True
        )
    if reply is not None:
        return base.Unknown(reason=reply)
    return None
