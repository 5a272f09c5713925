"""The pace of a server that has come up, against recorded behaviour.

Each sequence is played by a server that runs its slots concurrently at the
stated speed, while more requests wait than it can take.
"""

import collections
import math
import random

import pytest

from tarragonhinge.balancing import _pace
from tarragonhinge import jobs

SLOTS = 6
WORK_MS = 352
OBJECTIVE_MS = 1_084
QUEUE = 24
STEP_MS = 10


def _always(_):
    return 1.0


def _slow_for_3_s(now):
    return 0.5 if now < 3_000 else 1.0


def _with_neighbours(now):
    """Return a third of the speed for 400 ms of each 1.2 s."""
    return 1 / 3 if now % 1_200 < 400 else 1.0


class _Server:
    """Runs requests, and reports what it states to instances in turn."""

    def __init__(
        self, *, get_speed, instances, resets=(), offers=True, states_work=True
    ):
        rng = random.Random(3)
        self.paces = [_pace.ServerPace(slots=SLOTS) for _ in range(instances)]
        self._get_speed = get_speed
        self._resets = resets
        self._offers = offers
        self._states_work = states_work
        self._rng = rng
        self._stated_speed = 1.0
        self._running = []
        self._queue = collections.deque()
        self.ended = []
        self.totals = []
        for pace in self.paces:
            pace.restart(0)

    @property
    def total(self):
        return len(self._running) + len(self._queue)

    def _respond(self, now, request):
        arrived_at, _ = request
        pace = self._rng.choice(self.paces)
        load = jobs.ReportedLoad(
            running=len(self._running),
            waiting=len(self._queue),
            slots=SLOTS,
            work_percent=round(100 / self._get_speed(now))
            if self._states_work
            else 100,
        )
        self._stated_speed = 100 / load.work_percent
        pace.record_response(
            now, latency_ms=now - arrived_at, mean_ms=WORK_MS, load=load
        )
        for other in self.paces:
            if other is not pace:
                other.record_report(
                    now, total=self.total, work_percent=load.work_percent
                )
        self.ended.append((now, now - arrived_at))

    def step(self, now):
        if any(begin <= now < end for begin, end in self._resets):
            for pace in self.paces:
                pace.record_failure(now, total=self.total)
            self._running.clear()
            self._queue.clear()
            return
        for request in list(self._running):
            request[1] -= STEP_MS * self._get_speed(now)
            if request[1] <= 0:
                self._running.remove(request)
                self._respond(now, request)
        while self._queue and len(self._running) < SLOTS:
            self._running.append(self._queue.popleft())
        # Placement by estimates bounds a server without a pace.
        usual = _pace.LATENCY_FACTOR * SLOTS * self._stated_speed
        # One instance decides at a time, as requests arrive.
        for _ in range(4):
            pace = self._rng.choice(self.paces)
            limit = min(pace.get_limit(now), usual, SLOTS + QUEUE)
            if self._offers and self.total < math.floor(limit):
                self._queue.append([now, WORK_MS])
        while self._queue and len(self._running) < SLOTS:
            self._running.append(self._queue.popleft())
        self.totals.append((now, self.total))

    def play(self, *, for_ms):
        for now in range(0, for_ms, STEP_MS):
            self.step(now)

    def count_ended(self, since, until):
        return sum(since <= at < until for at, _ in self.ended)


@pytest.mark.parametrize("instances", [1, 66])
@pytest.mark.parametrize(
    ("get_speed", "lost_ms"),
    # Neighbours take two thirds of 400 ms from a request that runs.
    [(_always, 0), (_slow_for_3_s, 0), (_with_neighbours, 267)],
)
def test_server_is_neither_overloaded_nor_idle(get_speed, lost_ms, instances):
    """Guards against a queue beyond the objective, and against idle slots."""
    server = _Server(get_speed=get_speed, instances=instances)
    server.play(for_ms=4_900)
    latencies = sorted(latency for at, latency in server.ended if at < 4_900)
    late = latencies[int(0.98 * len(latencies)) - 1]
    assert late <= OBJECTIVE_MS + lost_ms
    # What it could run from 2 s on, at its speed.
    capacity = sum(
        SLOTS * get_speed(now) * STEP_MS / WORK_MS
        for now in range(2_000, 4_900, STEP_MS)
    )
    assert server.count_ended(2_000, 4_900) >= 0.85 * capacity


@pytest.mark.parametrize("instances", [1, 66])
def test_server_that_fails_again_gets_little_at_first(instances):
    """Guards against a second crash by requests that wait for its return."""
    server = _Server(
        get_speed=_always, instances=instances, resets=[(1_000, 1_400)]
    )
    server.play(for_ms=4_900)
    after = [total for at, total in server.totals if 1_400 <= at < 1_700]
    assert max(after) <= 2
    assert server.count_ended(3_400, 4_900) >= 0.85 * 6 * 1_500 / WORK_MS


def test_server_without_requests_keeps_its_pace():
    """Guards against a limit that grows without any response."""
    server = _Server(get_speed=_always, instances=1, offers=False)
    server.play(for_ms=4_000)
    (pace,) = server.paces
    assert pace.get_limit(4_000) == SLOTS / 3


@pytest.mark.parametrize("factor", [1, 2, 4, 8])
def test_server_that_is_slower_than_it_states_gets_less(factor):
    """Guards against a health check that states a warm server falsely."""
    server = _Server(
        get_speed=lambda _: 1 / factor, instances=1, states_work=False
    )
    server.play(for_ms=4_900)
    most = max(total for at, total in server.totals if at >= 4_000)
    assert most <= max(SLOTS / 2, 2.6 * SLOTS / factor)


def test_proved_or_unpaced_server_has_no_limit():
    """Guards against a limit that lasts for the life of a server."""
    pace = _pace.ServerPace(slots=SLOTS)
    assert pace.get_limit(0) == float("inf")
    pace.restart(0)
    assert pace.get_limit(0) == SLOTS / 3
    assert pace.get_limit(_pace.PACED_MS) == float("inf")
    pace.record_failure(_pace.PACED_MS, total=9)
    assert pace.get_limit(_pace.PACED_MS) == float("inf")


def test_total_that_the_server_copes_with_is_allowed():
    """Guards against a new instance that takes a busy server for a new one."""
    pace = _pace.ServerPace(slots=SLOTS)
    pace.restart(0)
    pace.record_report(10, total=8)
    assert pace.get_limit(10) == 11


def test_report_from_before_a_failure_does_not_raise_the_limit():
    """Guards against loads of other instances that arrive after a reset."""
    pace = _pace.ServerPace(slots=SLOTS)
    pace.restart(0)
    pace.record_report(10, total=8)
    pace.record_failure(20, total=8)
    pace.record_report(100, total=12)
    assert pace.get_limit(100) <= 4
