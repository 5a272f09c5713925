"""Records of crashes reach all instances."""

import asyncio

import pytest

from tarragonhinge import catalog
from tarragonhinge.relay.tests import test_relay

P, Q = b"p" * 16, b"q" * 16


def _crash(ledger, number, *requests):
    ledger.record_crash((f"s{number}", 1), requests)


@pytest.mark.parametrize("is_before", [False, True])
def test_crashes_are_summed_over_instances(is_before):
    """Those that were seen before a subscription count as well."""

    async def run():
        async with test_relay._HubFixture() as fixture:
            hub, other = fixture.ledger, fixture.other_ledger
            if is_before:
                _crash(hub, 0, P)
                _crash(other, 1, P)
            fixture.subscribe(catalog.View())
            if not is_before:
                await asyncio.sleep(0.1)
                _crash(hub, 0, P)
                _crash(other, 1, P)
            await test_relay._wait(
                lambda: (
                    hub.count_crashes(P) == 2 and other.count_crashes(P) == 2
                )
            )
            _crash(other, 2, P)
            await test_relay._wait(
                lambda: hub.is_refused(P) and other.is_refused(P)
            )
            other.record_answer(P)
            await test_relay._wait(lambda: not hub.is_refused(P))

    asyncio.run(run())


def test_trial_is_issued_by_the_coordinator_once():
    async def run():
        async with test_relay._HubFixture() as fixture:
            for number in range(3):
                _crash(fixture.ledger, number, P)
            subscription = fixture.subscribe(catalog.View())
            assert await subscription.request_trial(P, "v2") is None
            await test_relay._wait(lambda: fixture.other_ledger.is_refused(P))
            assert await subscription.request_trial(P, "v2") == "version v2"
            assert await subscription.request_trial(P, "v2") is None
            await test_relay._wait(
                lambda: fixture.other_ledger.list_trials(P) == {"version v2"}
            )

    asyncio.run(run())
