"""History of requests with an idempotency key."""

import asyncio
import collections
from collections.abc import Iterable
import dataclasses

import msgspec

from tarragonhinge import base
from tarragonhinge.dispatch import _fingerprint
from tarragonhinge.dispatch import _saved_history

#: Period after its creation in which an idempotency key is accepted.
IDEMPOTENCY_WINDOW_MS = 10 * 60 * 1000

#: Tolerated difference between the clocks of callers and instances.
CLOCK_SKEW_LIMIT_MS = 5000

#: Maximum number of recorded keys of one shard.
KEY_LIMIT = 100_000

#: Maximum total size of the answers stored for one shard.
STORED_ANSWERS_LIMIT_BYTES = 32 * 1024 * 1024

#: Size of the largest answer that is stored for replay.
REPLAYABLE_ANSWER_LIMIT_BYTES = 16 * 1024

#: Maximum number of expired keys dropped by one call, which bounds its
#: duration.
EXPIRY_BATCH_KEYS = 64

_KEY_BYTES = 16


@dataclasses.dataclass(kw_only=True, slots=True)
class HistoryEntry:
    """Record of one idempotency key.

    Parameters
    ----------
    fingerprint : int
        Hash of the request.
    outcome : Outcome or None
        Outcome of the request; None until it is known.
    done : Future or None
        Resolves to the outcome; created by the first duplicate that waits
        for it.
    """

    fingerprint: int
    outcome: base.Outcome | None = None
    done: asyncio.Future | None = None


class RequestHistory:
    """Recorded idempotency keys of one shard.

    Parameters
    ----------
    clock : Clock
        Source of the wall-clock time.
    horizon : int
        Wall-clock time in milliseconds.  Keys created before it may have
        run under a previous leader and are never run again.

    Attributes
    ----------
    sealed : bool
        True once the history is handed over, so that it must not record
        new keys.
    answer_bytes : int
        Total size of the stored answers.
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
        """Return the number of recorded keys."""
        return len(self._entries)

    def find(
        self, key: str, fingerprint: int
    ) -> HistoryEntry | base.NotRun | base.Unknown | None:
        """Return the record of a key, or whether its request may run.

        Returns
        -------
        HistoryEntry
            The key is recorded.
        NotRun or Unknown
            The request must not run.
        None
            The request has certainly not run.
        """
        key_id = _fingerprint.parse_key(key)
        if key_id is None:
            return base.NotRun(reason=base.NotRunReason.BAD_REQUEST)
        entry = self._entries.get(key_id)
        if entry is not None:
            if entry.fingerprint != fingerprint:
                return base.NotRun(reason=base.NotRunReason.KEY_REUSED)
            return entry
        return self._check_age(_fingerprint.get_created_at(key_id))

    def _check_age(self, created_at: int) -> base.NotRun | base.Unknown | None:
        now = self._clock.read_wall_time()
        if created_at > now + CLOCK_SKEW_LIMIT_MS:
            return base.NotRun(reason=base.NotRunReason.BAD_REQUEST)
        if created_at < max(now - IDEMPOTENCY_WINDOW_MS, self.horizon):
            return base.Unknown(reason=base.UnknownReason.HISTORY_LOST)
        return None

    def begin(self, key: str, fingerprint: int) -> HistoryEntry | base.NotRun:
        """Record a key before its request is dispatched."""
        self._expire()
        if len(self._entries) >= KEY_LIMIT:
            return base.NotRun(
                reason=base.NotRunReason.OVERLOADED, retry_after_ms=1000
            )
        key_id = _fingerprint.parse_key(key)
        self._entries[key_id] = HistoryEntry(fingerprint=fingerprint)
        return self._entries[key_id]

    def finish(self, key: str, outcome: base.Outcome) -> None:
        """Record the outcome of a request; a refusal releases its key."""
        self._record_outcome(_fingerprint.parse_key(key), outcome)

    def _record_outcome(self, key_id: int, outcome: base.Outcome) -> None:
        entry = self._entries.get(key_id)
        if entry is None or entry.outcome is not None:
            return
        if isinstance(outcome, base.NotRun):
            del self._entries[key_id]
        else:
            entry.outcome = self._drop_large_answer(outcome)
        if entry.done is not None and not entry.done.done():
            entry.done.set_result(outcome)
        entry.done = None

    def _drop_large_answer(self, outcome: base.Outcome) -> base.Outcome:
        """Return the outcome to store.

        An answer that exceeds a size limit is replaced by an unknown
        outcome.
        """
        if not isinstance(outcome, base.Answered):
            return outcome
        size = _compute_answer_bytes(outcome)
        total = self.answer_bytes + size
        if (
            size > REPLAYABLE_ANSWER_LIMIT_BYTES
            or total > STORED_ANSWERS_LIMIT_BYTES
        ):
            return base.Unknown(reason=base.UnknownReason.EARLIER_UNKNOWN)
        self.answer_bytes = total
        return dataclasses.replace(outcome, replayed=True)

    def _expire(self) -> None:
        """Drop some of the keys that `find` refuses because of their age."""
        oldest_created_at = (
            self._clock.read_wall_time()
            - IDEMPOTENCY_WINDOW_MS
            - 2 * CLOCK_SKEW_LIMIT_MS
        )
        for _ in range(EXPIRY_BATCH_KEYS):
            key_id = next(iter(self._entries), None)
            if key_id is None:
                return
            if _fingerprint.get_created_at(key_id) >= oldest_created_at:
                return
            entry = self._entries.pop(key_id)
            self.answer_bytes -= _compute_answer_bytes(entry.outcome)

    # Copies --------------------------------------------------------------

    def list_keys(self) -> list[int]:
        """Return the recorded keys, oldest first."""
        return list(self._entries)

    def export(
        self, key_ids: Iterable[int]
    ) -> list[_saved_history.SavedEntry]:
        """Return the records of some keys, for a copy."""
        return [self._export_one(key_id) for key_id in key_ids]

    def _export_one(self, key_id: int) -> _saved_history.SavedEntry:
        key = key_id.to_bytes(_KEY_BYTES, "big")
        entry = self._entries.get(key_id)
        if entry is None:
            return _saved_history.SavedEntry(key=key, released=True)
        return _saved_history.SavedEntry(
            key=key,
            fingerprint=entry.fingerprint,
            reply=_saved_history.serialize_outcome(entry.outcome),
        )

    def apply(
        self, saved_entries: Iterable[_saved_history.SavedEntry]
    ) -> None:
        """Apply changes of the leader's history to this copy."""
        self._expire()
        for saved_entry in saved_entries:
            key_id = int.from_bytes(saved_entry.key, "big")
            if saved_entry.released:
                self._record_outcome(
                    key_id, base.NotRun(reason=base.NotRunReason.NOT_LEADER)
                )
                continue
            if key_id not in self._entries:
                self._entries[key_id] = HistoryEntry(
                    fingerprint=saved_entry.fingerprint
                )
            outcome = _saved_history.deserialize_outcome(saved_entry.reply)
            if outcome is not None:
                self._record_outcome(key_id, outcome)

    def mark_leader_lost(self, key_ids: Iterable[int]) -> None:
        """Record keys that ran under a lost leader as unknown."""
        lost = base.Unknown(reason=base.UnknownReason.LEADER_LOST)
        for key_id in key_ids:
            self._record_outcome(key_id, lost)

    def list_running(self) -> list[int]:
        """Return the keys whose outcome is not known yet."""
        return [
            key_id
            for key_id, entry in self._entries.items()
            if entry.outcome is None
        ]

    def serialize(self) -> bytes:
        """Return the encoded history, for the next leader."""
        entries = self.export(self._entries)
        saved = _saved_history.SavedHistory(
            horizon=self.horizon, entries=entries
        )
        return msgspec.msgpack.encode(saved)

    def load(self, content: bytes) -> None:
        """Replace the content with a predecessor's history.

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


def _compute_answer_bytes(outcome: base.Outcome | None) -> int:
    if not isinstance(outcome, base.Answered):
        return 0
    header_bytes = sum(len(n) + len(v) for n, v in outcome.headers)
    return len(outcome.body) + header_bytes
