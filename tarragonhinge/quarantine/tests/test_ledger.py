"""All ledgers derive the same refusals, whatever the order of the records."""

import asyncio
import itertools
import random

import pytest

from tarragonhinge import base
from tarragonhinge import quarantine
from tarragonhinge.quarantine import _ledger
from tarragonhinge import testing

P, Q = b"p" * 16, b"q" * 16

#: Numbers of the servers that crash.
NUMBERS = itertools.count()


def _make_ledger():
    clock = base.Clock()
    return quarantine.CrashLedger(
        log=testing.make_event_log(clock), clock=clock
    )


async def _settle():
    await asyncio.sleep(_ledger.SETTLE_MS / 1000 + 0.01)


def _crash(ledger, *requests):
    ledger.record_crash((f"s{next(NUMBERS)}", 1), requests)


def test_third_crash_refuses_request_once_it_has_settled():
    async def run():
        ledger = _make_ledger()
        refused = []
        ledger.add_refusal_handler(refused.append)
        for count in (1, 2, 3):
            _crash(ledger, P)
            assert ledger.count_crashes(P) == count
        assert not ledger.is_refused(P)
        await _settle()
        assert ledger.is_refused(P)
        assert refused == [P]

    testing.run_manual(run())


@pytest.mark.parametrize(
    ("own_crashes", "is_refused"), [(1, False), (2, True)]
)
def test_refusal_ends_only_if_its_crashes_are_explained(
    own_crashes, is_refused
):
    async def run():
        ledger = _make_ledger()
        for number in range(3):
            ledger.record_crash((f"s{number}", 1), [P])
        await _settle()
        assert ledger.is_refused(P)
        # Another request turns out to have been there, and at more crashes.
        for number in range(own_crashes, 7):
            ledger.record_crash((f"s{number}", 1), [Q])
        assert ledger.is_refused(P) == is_refused
        await _settle()
        assert ledger.is_refused(Q)

    testing.run_manual(run())


def test_same_crash_seen_by_two_instances_counts_once():
    async def run():
        ledger = _make_ledger()
        for _ in range(3):
            ledger.record_crash(("s1", 1), [P])
        assert ledger.count_crashes(P) == 1
        # Another life of the same server is another crash.
        ledger.record_crash(("s1", 2), [P])
        assert ledger.count_crashes(P) == 2

    testing.run_manual(run())


def test_other_suspect_that_is_reported_later_prevents_refusal():
    """One instance's view of a crash does not name all that ran there."""

    async def run():
        ledger = _make_ledger()
        for number in range(3):
            ledger.record_crash((f"s{number}", 1), [Q])
        for number in range(3):
            ledger.record_crash((f"s{number}", 1), [P])
        _crash(ledger, P)
        await _settle()
        assert ledger.is_refused(P)
        assert not ledger.is_refused(Q)
        assert ledger.count_crashes(Q) == 0

    testing.run_manual(run())


@pytest.mark.parametrize("is_refused", [False, True])
def test_complete_response_clears_request(is_refused):
    async def run():
        ledger = _make_ledger()
        for _ in range(3):
            _crash(ledger, Q)
        if is_refused:
            await _settle()
            assert ledger.is_refused(Q)
        ledger.record_answer(Q)
        assert ledger.count_crashes(Q) == 0
        await _settle()
        assert not ledger.is_refused(Q)

    testing.run_manual(run())


def test_recent_response_clears_request_of_later_crashes():
    async def run():
        ledger = _make_ledger()
        ledger.record_answer(Q)
        for _ in range(4):
            _crash(ledger, P, Q)
        assert ledger.count_crashes(Q) == 0
        await asyncio.sleep(_ledger.RECENT_ANSWER_MS / 1000 + 0.01)
        _crash(ledger, Q)
        assert ledger.count_crashes(Q) == 1

    testing.run_manual(run())


def test_cleared_suspicion_does_not_return_from_disconnected_instance():
    async def run():
        ledger, disconnected = _make_ledger(), _make_ledger()
        for _ in range(3):
            _crash(ledger, Q)
        disconnected.merge(ledger.list_all())
        ledger.record_answer(Q)
        await asyncio.sleep(_ledger.RECENT_ANSWER_MS / 1000 + 0.01)
        ledger.merge(disconnected.list_all())
        assert ledger.count_crashes(Q) == 0
        disconnected.merge(ledger.take_news())
        await _settle()
        assert not disconnected.is_refused(Q)

    testing.run_manual(run())


@pytest.mark.parametrize("seed", range(10))
def test_merge_does_not_depend_on_order(seed):
    rng = random.Random(seed)
    requests = [bytes([number]) * 16 for number in range(6)]

    async def run():
        sources = [_make_ledger() for _ in range(4)]
        for _ in range(60):
            source = rng.choice(sources)
            if rng.random() < 0.2:
                source.record_answer(rng.choice(requests))
            else:
                source.record_crash(
                    (f"s{rng.randrange(8)}", 1), rng.sample(requests, 2)
                )
        results = []
        for _ in range(3):
            merged = _make_ledger()
            rng.shuffle(sources)
            for source in sources:
                merged.merge(source.list_all())
            results.append(merged.list_all())
        first, *others = (
            {r.incarnation: (r.suspects, r.cleared) for r in result.crashes}
            for result in results
        )
        assert all(other == first for other in others)

    testing.run_manual(run())


def test_news_stop_once_all_instances_have_them():
    async def run():
        hub, follower = _make_ledger(), _make_ledger()
        _crash(follower, P, Q)
        hub.merge(follower.take_news())
        follower.merge(hub.take_news(), is_published=True)
        assert not follower.take_news()
        hub.merge(follower.list_all())
        assert not hub.take_news()

    testing.run_manual(run())


def test_memory_is_bounded():
    async def run():
        ledger = _make_ledger()
        for _ in range(3):
            _crash(ledger, P)
        await _settle()
        for number in range(_ledger.MAX_CRASHES + 50):
            _crash(ledger, b"%16d" % number)
        evidence = ledger.list_all()
        assert len(evidence.crashes) <= _ledger.MAX_CRASHES
        assert ledger.is_refused(P)
        large = [b"%16d" % number for number in range(1_000)]
        ledger.record_crash(("large", 1), large)
        ledger.record_crash(("large", 1), [P, *large[::-1]])
        record = next(
            r for r in ledger.list_all().crashes if r.server == "large"
        )
        assert len(record.suspects) <= _ledger.MAX_REQUESTS_PER_CRASH
        for number in range(_ledger.MAX_RECENT_ANSWERS + 10):
            ledger.record_answer(b"%16d" % number)
        assert len(ledger._answered_at) == _ledger.MAX_RECENT_ANSWERS

    testing.run_manual(run())


def test_trial_is_issued_once():
    async def run():
        ledger = _make_ledger()
        issuer = quarantine.TrialIssuer(
            ledger=ledger, log=testing.make_event_log(base.Clock())
        )
        for _ in range(3):
            _crash(ledger, P)
        assert issuer.issue(P, "v2") is None
        await _settle()
        assert issuer.issue(P, "v2") == "version v2"
        assert issuer.issue(P, "v2") is None
        assert ledger.take_news().trials[0].trials == ["version v2"]

    testing.run_manual(run())
