"""What a leader remembers of requests with an idempotency key."""

import asyncio
import collections
import dataclasses
import uuid

import msgspec
import xxhash

from tarragonhinge import base
from tarragonhinge.dispatch import _messages

#: How long a key is remembered after it was minted.
WINDOW_MS = 10 * 60 * 1000

#: Tolerated difference between the clocks of callers and instances.
SKEW_MS = 5000

#: Keys remembered for one shard.
KEY_LIMIT = 100_000

#: Largest answer body that is kept for a replay.
REPLAY_LIMIT_BYTES = 16 * 1024

UUID_VERSION = 7


@dataclasses.dataclass(kw_only=True, slots=True)
class HistoryEntry:
    """One remembered key."""

    fingerprint: int
    done: asyncio.Future
    outcome: base.Outcome | None = None


class SavedEntry(msgspec.Struct, frozen=True, kw_only=True):
    """A remembered key as handed to a successor."""

    key: str
    fingerprint: int
    reply: (
        tuple[int, tuple[tuple[str, str], ...], bytes]
        | base.UnknownReason
        | None
    ) = None


class SavedHistory(msgspec.Struct, frozen=True, kw_only=True):
    """All remembered keys of a shard.

    Parameters
    ----------
    horizon : int
        Keys minted before this wall time are not known.
    entries : list of SavedEntry
        Oldest first.
    """

    horizon: int
    entries: list[SavedEntry] = []


def read_minted_ms(key: str) -> int | None:
    """Return the time in a UUIDv7 (RFC 9562), or None if it is not one.

    Examples
    --------
    >>> read_minted_ms("017f22e2-79b0-7cc3-98c4-dc0c0c07398f")
    1645557742000
    >>> read_minted_ms("order 12") is None
    True
    """
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        return None
    if parsed.version != UUID_VERSION:
        return None
    return parsed.int >> 80


def compute_fingerprint(request: _messages.ForwardRequest) -> int:
    """Return a hash that tells two bodies under one key apart."""
    digest = xxhash.xxh3_64(request.method.encode())
    digest.update(b"\0" + request.path.encode() + b"\0")
    digest.update(request.body)
    return digest.intdigest()


class RequestHistory:
    """Remembered keys of one shard.

    Parameters
    ----------
    clock : Clock
        Tells the wall time.
    horizon : int
        Keys minted before this wall time may have run under an earlier
        leader and are never run again.
    """

    def __init__(self, *, clock: base.Clock, horizon: int = 0) -> None:
        self._clock = clock
        self.horizon = horizon
        self._entries: collections.OrderedDict[str, HistoryEntry] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        """Return the number of remembered keys."""
        return len(self._entries)

    def find(
        self, key: str, fingerprint: int
    ) -> HistoryEntry | base.NotRun | base.Unknown | None:
        """Return what is known of a key.

        Returns
        -------
        HistoryEntry
            The request was seen here.
        NotRun or Unknown
            The request must not run.
        None
            It is certain that the request has not run.
        """
        entry = self._entries.get(key)
        if entry is not None:
            if entry.fingerprint != fingerprint:
                return base.NotRun(reason=base.NotRunReason.KEY_REUSED)
            return entry
        minted_ms = read_minted_ms(key)
        if minted_ms is None:
            return base.NotRun(reason=base.NotRunReason.BAD_REQUEST)
        now = self._clock.read_wall()
        if minted_ms > now + SKEW_MS:
            return base.NotRun(reason=base.NotRunReason.BAD_REQUEST)
        if minted_ms < now - WINDOW_MS:
            return base.Unknown(reason=base.UnknownReason.HISTORY_LOST)
        if minted_ms < self.horizon:
            return base.Unknown(reason=base.UnknownReason.HISTORY_LOST)
        return None

    def begin(self, key: str, fingerprint: int) -> HistoryEntry | base.NotRun:
        """Remember a key before its request is dispatched."""
        self._expire()
        if len(self._entries) >= KEY_LIMIT:
            return base.NotRun(
                reason=base.NotRunReason.OVERLOADED, retry_after_ms=1000
            )
        future = asyncio.get_running_loop().create_future()
        entry = HistoryEntry(fingerprint=fingerprint, done=future)
        self._entries[key] = entry
        return entry

    def finish(self, key: str, outcome: base.Outcome) -> None:
        """Record how a remembered request ended."""
        entry = self._entries[key]
        entry.outcome = outcome
        if isinstance(outcome, base.NotRun):
            del self._entries[key]
        elif isinstance(outcome, base.Answered):
            entry.outcome = _trim(outcome)
        if not entry.done.done():
            entry.done.set_result(outcome)

    def _expire(self) -> None:
        """Forget keys that are refused by their age anyway."""
        oldest = self._clock.read_wall() - WINDOW_MS - 2 * SKEW_MS
        while self._entries:
            key = next(iter(self._entries))
            if (read_minted_ms(key) or 0) >= oldest:
                return
            del self._entries[key]

    def save(self) -> bytes:
        """Return the history for a successor."""
        entries = [
            SavedEntry(
                key=key,
                fingerprint=entry.fingerprint,
                reply=_save_outcome(entry.outcome),
            )
            for key, entry in self._entries.items()
        ]
        saved = SavedHistory(horizon=self.horizon, entries=entries)
        return msgspec.msgpack.encode(saved)

    def load(self, content: bytes) -> None:
        """Take over a predecessor's history.

        Raises
        ------
        msgspec.DecodeError
            If the content is malformed.
        """
        saved = msgspec.msgpack.decode(content, type=SavedHistory)
        self.horizon = saved.horizon
        for item in saved.entries:
            entry = self.begin(item.key, item.fingerprint)
            if isinstance(entry, HistoryEntry):
                self.finish(item.key, _load_outcome(item))


def _trim(outcome: base.Answered) -> base.Outcome:
    if len(outcome.body) <= REPLAY_LIMIT_BYTES:
        return dataclasses.replace(outcome, replayed=True)
    return base.Unknown(reason=base.UnknownReason.EARLIER_UNKNOWN)


def _save_outcome(
    outcome: base.Outcome | None,
) -> tuple | base.UnknownReason | None:
    if isinstance(outcome, base.Answered):
        return (outcome.status, outcome.headers, outcome.body)
    if isinstance(outcome, base.Unknown):
        return outcome.reason
    return None


def _load_outcome(item: SavedEntry) -> base.Outcome:
    if isinstance(item.reply, tuple):
        status, headers, body = item.reply
        return base.Answered(
            status=status, headers=headers, body=body, replayed=True
        )
    if item.reply is not None:
        return base.Unknown(reason=item.reply)
    return base.Unknown(reason=base.UnknownReason.LEADER_LOST)
