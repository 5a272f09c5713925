"""What a leader remembers of requests with an idempotency key."""

import asyncio
import collections
from collections.abc import Iterable
import dataclasses

import msgspec

from tarragonhinge import base
from tarragonhinge.dispatch import _fingerprint
from tarragonhinge.dispatch import _saved_history

#: How long a key is remembered after it was minted.
WINDOW_MS = 10 * 60 * 1000

#: Tolerated difference between the clocks of callers and instances.
SKEW_MS = 5000

#: Keys remembered for one shard.
KEY_LIMIT = 100_000

#: Recorded answers kept for one shard.
ANSWER_LIMIT_BYTES = 32 * 1024 * 1024

#: Largest answer that is kept for a replay.
REPLAY_LIMIT_BYTES = 16 * 1024

#: Keys forgotten in one call, so that none takes long.
EXPIRE_BATCH = 64

_KEY_BYTES = 16


@dataclasses.dataclass(kw_only=True, slots=True)
class HistoryEntry:
    """One remembered key.

    Parameters
    ----------
    fingerprint : int
        Hash of the request.
    outcome : Outcome or None
        How it ended; None while that is not known.
    done : Future or None
        Made for the first repeat that waits for the outcome.
    """

    fingerprint: int
    outcome: base.Outcome | None = None
    done: asyncio.Future | None = None


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
        self.horizon = horizon
        self.sealed = False
        self.answer_bytes = 0
        self._clock = clock
        self._entries: collections.OrderedDict[int, HistoryEntry] = (
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
        number = _fingerprint.parse_key(key)
        if number is None:
            return base.NotRun(reason=base.NotRunReason.BAD_REQUEST)
        entry = self._entries.get(number)
        if entry is not None:
            if entry.fingerprint != fingerprint:
                return base.NotRun(reason=base.NotRunReason.KEY_REUSED)
            return entry
        return self._judge_age(_fingerprint.get_minted_ms(number))

    def _judge_age(self, minted_ms: int) -> base.NotRun | base.Unknown | None:
        now = self._clock.read_wall()
        if minted_ms > now + SKEW_MS:
            return base.NotRun(reason=base.NotRunReason.BAD_REQUEST)
        if minted_ms < max(now - WINDOW_MS, self.horizon):
            return base.Unknown(reason=base.UnknownReason.HISTORY_LOST)
        return None

    def begin(self, key: str, fingerprint: int) -> HistoryEntry | base.NotRun:
        """Remember a key before its request is dispatched."""
        self._expire()
        if len(self._entries) >= KEY_LIMIT:
            return base.NotRun(
                reason=base.NotRunReason.OVERLOADED, retry_after_ms=1000
            )
        number = _fingerprint.parse_key(key)
        self._entries[number] = HistoryEntry(fingerprint=fingerprint)
        return self._entries[number]

    def finish(self, key: str, outcome: base.Outcome) -> None:
        """Record how a remembered request ended."""
        self._settle(_fingerprint.parse_key(key), outcome)

    def _settle(self, number: int, outcome: base.Outcome) -> None:
        entry = self._entries.get(number)
        if entry is None or entry.outcome is not None:
            return
        if isinstance(outcome, base.NotRun):
            del self._entries[number]
        else:
            entry.outcome = self._trim(outcome)
        if entry.done is not None and not entry.done.done():
            entry.done.set_result(outcome)
        entry.done = None

    def _trim(self, outcome: base.Outcome) -> base.Outcome:
        """Return an outcome without an answer too large to be kept."""
        if not isinstance(outcome, base.Answered):
            return outcome
        size = _count_bytes(outcome)
        total = self.answer_bytes + size
        if size > REPLAY_LIMIT_BYTES or total > ANSWER_LIMIT_BYTES:
            return base.Unknown(reason=base.UnknownReason.EARLIER_UNKNOWN)
        self.answer_bytes = total
        return dataclasses.replace(outcome, replayed=True)

    def _expire(self) -> None:
        """Forget some keys that are refused by their age anyway."""
        oldest = self._clock.read_wall() - WINDOW_MS - 2 * SKEW_MS
        for _ in range(EXPIRE_BATCH):
            number = next(iter(self._entries), None)
            if number is None:
                return
            if _fingerprint.get_minted_ms(number) >= oldest:
                return
            entry = self._entries.pop(number)
            self.answer_bytes -= _count_bytes(entry.outcome)

    # Copies --------------------------------------------------------------

    def list_keys(self) -> list[int]:
        """Return the remembered keys, oldest first."""
        return list(self._entries)

    def export(
        self, numbers: Iterable[int]
    ) -> list[_saved_history.SavedEntry]:
        """Return what is remembered of some keys, for a copy."""
        return [self._export_one(number) for number in numbers]

    def _export_one(self, number: int) -> _saved_history.SavedEntry:
        key = number.to_bytes(_KEY_BYTES, "big")
        entry = self._entries.get(number)
        if entry is None:
            return _saved_history.SavedEntry(key=key, gone=True)
        return _saved_history.SavedEntry(
            key=key,
            fingerprint=entry.fingerprint,
            reply=_saved_history.save_reply(entry.outcome),
        )

    def apply(self, items: Iterable[_saved_history.SavedEntry]) -> None:
        """Bring a copy up to date."""
        self._expire()
        for item in items:
            number = int.from_bytes(item.key, "big")
            if item.gone:
                self._settle(
                    number, base.NotRun(reason=base.NotRunReason.NOT_LEADER)
                )
                continue
            if number not in self._entries:
                self._entries[number] = HistoryEntry(
                    fingerprint=item.fingerprint
                )
            outcome = _saved_history.load_reply(item.reply)
            if outcome is not None:
                self._settle(number, outcome)

    def abandon(self, numbers: Iterable[int]) -> None:
        """Give up on outcomes that the lost leader took with it."""
        lost = base.Unknown(reason=base.UnknownReason.LEADER_LOST)
        for number in numbers:
            self._settle(number, lost)

    def list_running(self) -> list[int]:
        """Return the keys whose outcome is not known yet."""
        return [n for n, e in self._entries.items() if e.outcome is None]

    def save(self) -> bytes:
        """Return the history for a successor."""
        entries = self.export(self._entries)
        saved = _saved_history.SavedHistory(
            horizon=self.horizon, entries=entries
        )
        return msgspec.msgpack.encode(saved)

    def load(self, content: bytes) -> None:
        """Take over a predecessor's history.

        Raises
        ------
        msgspec.DecodeError
            If the content is malformed.
        """
        saved = msgspec.msgpack.decode(
            content, type=_saved_history.SavedHistory
        )
        self.horizon = saved.horizon
        self.answer_bytes = 0
        self._entries.clear()
        self.apply(saved.entries)


def _count_bytes(outcome: base.Outcome | None) -> int:
    if not isinstance(outcome, base.Answered):
        return 0
    fields = sum(len(n) + len(v) for n, v in outcome.headers)
    return len(outcome.body) + fields
