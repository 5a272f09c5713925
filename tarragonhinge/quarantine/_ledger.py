"""Crashes that an instance has seen or heard of, and their attribution."""

import asyncio
import collections
from collections.abc import Callable
from collections.abc import Iterable
import dataclasses

from tarragonhinge import base
from tarragonhinge import events
from tarragonhinge import limits
from tarragonhinge.quarantine import _digest
from tarragonhinge.quarantine import _records
from tarragonhinge.quarantine import _verdicts

#: Largest number of crashes that are remembered.
MAX_CRASHES = 512

#: Largest number of requests that are remembered for one crash.
MAX_REQUESTS_PER_CRASH = 256

#: Largest number of requests whose trials are remembered.
MAX_TRIED_REQUESTS = 1_024

#: Time for which a verdict must stand before it takes effect. Until then the
#: records of other instances arrive, which may name further suspects.
SETTLE_MS = 250

#: Time for which a complete response clears its request of crashes that are
#: reported afterwards, and number of requests for which that is remembered.
RECENT_ANSWER_MS = 3_000
MAX_RECENT_ANSWERS = 4_096


@dataclasses.dataclass(kw_only=True, slots=True)
class _Crash:
    version: str = ""
    suspects: set[_digest.RequestDigest] = dataclasses.field(
        default_factory=set
    )
    cleared: set[_digest.RequestDigest] = dataclasses.field(
        default_factory=set
    )


class CrashLedger:
    """Derives from the records of all crashes which requests are refused.

    Records of other instances are merged; the result does not depend on their
    order.

    Parameters
    ----------
    log : EventLog
        Destination of log events.
    clock : Clock
        This process's clock.
    """

    def __init__(self, *, log: events.EventLog, clock: base.Clock) -> None:
        self._log = log
        self._clock = clock
        self._crashes: dict[limits.Incarnation, _Crash] = {}
        self._trials: dict[_digest.RequestDigest, set[str]] = {}
        self._answered_at: collections.OrderedDict[
            _digest.RequestDigest, int
        ] = collections.OrderedDict()
        self._judgement = _verdicts.judge({})
        self._most_crashes = 0
        # Times since which the verdicts have stood without interruption.
        self._judged_at: dict[_digest.RequestDigest, int] = {}
        self._refused: dict[_digest.RequestDigest, _verdicts.Verdict] = {}
        self._unsent_crashes: set[limits.Incarnation] = set()
        self._unsent_trials: set[_digest.RequestDigest] = set()
        self._has_news = asyncio.Event()
        self._verdicts_changed = asyncio.Event()
        self._refusal_handlers: list[
            Callable[[_digest.RequestDigest], None]
        ] = []
        self._crash_handlers: list[Callable[[limits.Incarnation], None]] = []

    @property
    def is_idle(self) -> bool:
        """Whether no request is refused or suspected."""
        return not (self._judgement.verdicts or self._judgement.suspects)

    @property
    def most_crashes(self) -> int:
        """Largest number of unexplained crashes of one request."""
        return self._most_crashes

    @property
    def refused_count(self) -> int:
        """Number of requests that are refused."""
        return len(self._refused)

    @property
    def suspect_count(self) -> int:
        """Number of requests that ran at a server when it crashed."""
        return len(self._judgement.suspects)

    def add_refusal_handler(
        self, handle: Callable[[_digest.RequestDigest], None]
    ) -> None:
        """Call a function with each request that is refused from now on."""
        self._refusal_handlers.append(handle)

    def add_crash_handler(
        self, handle: Callable[[limits.Incarnation], None]
    ) -> None:
        """Call a function with each server that has crashed."""
        self._crash_handlers.append(handle)

    def is_refused(self, digest: _digest.RequestDigest) -> bool:
        """Return whether a request is refused."""
        return digest in self._refused

    def count_crashes(self, digest: _digest.RequestDigest) -> int:
        """Return at how many unexplained crashes a request was present."""
        verdict = self._judgement.verdicts.get(digest)
        if verdict is not None:
            return len(verdict.crashes)
        return self._judgement.suspects.get(digest, 0)

    def get_refusals(
        self,
    ) -> dict[_digest.RequestDigest, _verdicts.Verdict]:
        """Return the refused requests and why they are refused."""
        return self._refused

    def get_verdict_age_ms(self, digest: _digest.RequestDigest) -> int:
        """Return for how long a verdict has stood; 0 if there is none."""
        now = self._clock.now()
        return now - self._judged_at.get(digest, now)

    def list_versions(self, digest: _digest.RequestDigest) -> set[str]:
        """Return the versions of the servers that a request has crashed."""
        verdict = self._refused.get(digest)
        if verdict is None:
            return set()
        return {
            self._crashes[crash].version
            for crash in verdict.crashes
            if crash in self._crashes
        }

    def list_trials(self, digest: _digest.RequestDigest) -> set[str]:
        """Return the reasons of the trials that a request has had."""
        return self._trials.get(digest, set())

    def record_crash(
        self,
        incarnation: limits.Incarnation,
        requests: Iterable[_digest.RequestDigest],
        *,
        version: str = "",
    ) -> None:
        """Record the requests of this instance at a server that crashed."""
        server, born_ms = incarnation
        record = _records.CrashRecord(
            server=server,
            born_ms=born_ms,
            version=version,
            suspects=list(requests),
        )
        self.merge(_records.Evidence(crashes=[record]))

    def record_answer(self, digest: _digest.RequestDigest) -> None:
        """Clear a request, to which a server has responded completely."""
        self._answered_at[digest] = self._clock.now()
        self._answered_at.move_to_end(digest)
        if len(self._answered_at) > MAX_RECENT_ANSWERS:
            self._answered_at.popitem(last=False)
        if self.is_idle or not self.count_crashes(digest):
            return
        for incarnation, crash in self._crashes.items():
            if digest in crash.suspects:
                crash.suspects.discard(digest)
                crash.cleared.add(digest)
                self._unsent_crashes.add(incarnation)
        self._has_news.set()
        self._judge()

    def record_trial(self, digest: _digest.RequestDigest, reason: str) -> None:
        """Record that a refused request has a trial."""
        self.merge(
            _records.Evidence(
                trials=[_records.TrialRecord(digest=digest, trials=[reason])]
            )
        )

    def merge(
        self, evidence: _records.Evidence, *, is_published: bool = False
    ) -> None:
        """Add records of this or another instance.

        What is new becomes news for the other instances.

        Parameters
        ----------
        evidence : Evidence
            The records.
        is_published : bool
            Whether the other instances have these records, too.
        """
        for record in evidence.crashes:
            self._merge_crash(record)
            if is_published and self._is_equal(record):
                self._unsent_crashes.discard(record.incarnation)
        for record in evidence.trials:
            known = self._trials.setdefault(record.digest, set())
            if not known.issuperset(record.trials):
                known.update(record.trials)
                self._unsent_trials.add(record.digest)
                self._verdicts_changed.set()
            if is_published and known == set(record.trials):
                self._unsent_trials.discard(record.digest)
        while len(self._trials) > MAX_TRIED_REQUESTS:
            del self._trials[next(iter(self._trials))]
        if self._unsent_crashes or self._unsent_trials:
            self._has_news.set()
        self._judge()

    def _merge_crash(self, record: _records.CrashRecord) -> None:
        incarnation = record.incarnation
        crash = self._crashes.get(incarnation)
        if crash is None:
            crash = self._crashes[incarnation] = _Crash(version=record.version)
            self._unsent_crashes.add(incarnation)
            for handle in self._crash_handlers:
                handle(incarnation)
        cleared = set(record.cleared)
        cleared.update(d for d in record.suspects if self._was_answered(d))
        suspects = set(record.suspects) - cleared - crash.cleared
        cleared -= crash.cleared
        suspects -= crash.suspects
        new = self._limit_requests(crash, cleared | suspects)
        if not new and not cleared & crash.suspects:
            return
        crash.cleared |= cleared & (new | crash.suspects)
        crash.suspects = (crash.suspects | (suspects & new)) - crash.cleared
        self._unsent_crashes.add(incarnation)

    def _is_equal(self, record: _records.CrashRecord) -> bool:
        """Return whether a crash has exactly the requests of a record."""
        crash = self._crashes.get(record.incarnation)
        return (
            crash is not None
            and crash.suspects == set(record.suspects)
            and crash.cleared == set(record.cleared)
        )

    def _was_answered(self, digest: _digest.RequestDigest) -> bool:
        """Return whether this instance passed on a recent response."""
        answered_at = self._answered_at.get(digest)
        return (
            answered_at is not None
            and self._clock.now() - answered_at < RECENT_ANSWER_MS
        )

    def _limit_requests(
        self, crash: _Crash, requests: set[_digest.RequestDigest]
    ) -> set[_digest.RequestDigest]:
        """Return the requests that a crash has room for.

        Those that were at other crashes come first.
        """
        new = requests - crash.suspects - crash.cleared
        room = MAX_REQUESTS_PER_CRASH - len(crash.suspects | crash.cleared)
        if len(new) <= room:
            return new
        return set(sorted(new, key=self.count_crashes, reverse=True)[:room])

    def _evict(self) -> None:
        """Forget the oldest crashes, those that no verdict needs first."""
        if len(self._crashes) <= MAX_CRASHES:
            return
        needed = {
            crash
            for verdict in self._refused.values()
            for crash in verdict.crashes
        }
        others = [crash for crash in self._crashes if crash not in needed]
        oldest = others or list(self._crashes)
        for incarnation in oldest[: len(self._crashes) - MAX_CRASHES]:
            del self._crashes[incarnation]
            self._unsent_crashes.discard(incarnation)

    def _judge(self) -> None:
        """Attribute the crashes anew."""
        self._evict()
        self._judgement = _verdicts.judge(
            {i: crash.suspects for i, crash in self._crashes.items()}
        )
        verdicts = self._judgement.verdicts
        self._most_crashes = max(
            (
                self.count_crashes(d)
                for d in (*self._judgement.suspects, *verdicts)
            ),
            default=0,
        )
        for digest in list(self._judged_at):
            if digest in verdicts:
                if digest in self._refused:
                    self._refused[digest] = verdicts[digest]
            elif (
                digest not in self._refused
                or self.count_crashes(digest) < _verdicts.RELEASED_CRASHES
            ):
                del self._judged_at[digest]
                if digest in self._refused:
                    self._lift(digest)
        now = self._clock.now()
        for digest in verdicts:
            if digest not in self._judged_at:
                self._judged_at[digest] = now
                asyncio.get_running_loop().call_later(
                    SETTLE_MS / base.MS_PER_S, self._settle, digest, now
                )

    def _settle(self, digest: _digest.RequestDigest, judged_at: int) -> None:
        """Refuse a request whose verdict has stood since a time."""
        if self._judged_at.get(digest) != judged_at or digest in self._refused:
            return
        verdict = self._refused[digest] = self._judgement.verdicts[digest]
        self._log.write(
            events.RequestQuarantined(
                digest=digest.hex(),
                servers=sorted(server for server, _ in verdict.crashes),
                certain=verdict.is_certain,
            )
        )
        self._verdicts_changed.set()
        for handle in self._refusal_handlers:
            handle(digest)

    def _lift(self, digest: _digest.RequestDigest) -> None:
        del self._refused[digest]
        self._log.write(events.QuarantineLifted(digest=digest.hex()))
        self._verdicts_changed.set()

    async def wait_for_verdicts(self) -> None:
        """Wait until a refusal has begun, ended or had a trial."""
        await self._verdicts_changed.wait()
        self._verdicts_changed.clear()

    async def wait_for_news(self) -> None:
        """Wait until there are records that were not taken yet."""
        await self._has_news.wait()

    def take_news(self) -> _records.Evidence:
        """Return the records that changed since the last call."""
        self._has_news.clear()
        crashes, self._unsent_crashes = self._unsent_crashes, set()
        trials, self._unsent_trials = self._unsent_trials, set()
        return self._make_evidence(crashes, trials)

    def list_all(self) -> _records.Evidence:
        """Return all records."""
        return self._make_evidence(self._crashes, self._trials)

    def make_records(
        self, crashes: Iterable[limits.Incarnation]
    ) -> list[_records.CrashRecord]:
        """Return the records of crashes without their requests."""
        return [
            _records.CrashRecord(
                server=server,
                born_ms=born_ms,
                version=self._crashes[server, born_ms].version,
            )
            for server, born_ms in crashes
            if (server, born_ms) in self._crashes
        ]

    def _make_evidence(
        self,
        crashes: Iterable[limits.Incarnation],
        trials: Iterable[_digest.RequestDigest],
    ) -> _records.Evidence:
        return _records.Evidence(
            crashes=[
                _records.CrashRecord(
                    server=incarnation[0],
                    born_ms=incarnation[1],
                    version=crash.version,
                    suspects=sorted(crash.suspects),
                    cleared=sorted(crash.cleared),
                )
                for incarnation in crashes
                if (crash := self._crashes.get(incarnation)) is not None
            ],
            trials=[
                _records.TrialRecord(
                    digest=digest, trials=sorted(self._trials[digest])
                )
                for digest in trials
                if digest in self._trials
            ],
        )
