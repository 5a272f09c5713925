"""Handover of leadership at a planned stop, without a pause."""

import asyncio

import pytest

from tarragonhinge import base
from tarragonhinge import testing

#: Target: longest additional wait of a caller during a handover.
MAX_PAUSE_MS = 100

SERVICE_MS = 400


async def _start(**options):
    deployment = testing.Deployment(
        row=testing.make_row(servers=3), instances=4, **options
    )
    monitor = deployment.watch()
    await deployment.start()
    return deployment, monitor


async def _stop(node):
    return await node.instance.stop()


@pytest.mark.parametrize("standby_lost", [False, True])
def test_requests_neither_fail_nor_pause(standby_lost):
    async def scenario():
        deployment, monitor = await _start()
        leader = deployment.find_leaders()[0]
        standby = deployment.find_standby()
        lost = [leader]
        if standby_lost:
            await standby.kill()
            name = standby.instance.options.name
            deployment.instance_list.entries.pop(name)
            await deployment.wait(1500)
            lost.append(standby)
        entry = next(n for n in deployment.nodes if n not in lost)
        await deployment.send(entry, "k0")
        await deployment.send(entry, "k0")
        waits = []
        stopping = asyncio.create_task(_stop(leader))
        await deployment.wait(leader.instance.options.notice_ms - 700)

        async def call(number):
            await deployment.wait(number * 13)
            started_at = base.Clock().now()
            outcome = await deployment.send(entry, f"k{number % 8}")
            assert isinstance(outcome, base.Answered), outcome
            waits.append(base.Clock().now() - started_at)

        calls = [asyncio.create_task(call(number)) for number in range(150)]
        await asyncio.gather(*calls)
        monitor.verify()
        assert await stopping == 0
        assert deployment.find_leaders() != [leader]
        assert max(waits) <= MAX_PAUSE_MS

    testing.run_manual(scenario())


def test_requests_in_flight_finish_and_stay_in_the_history():
    async def scenario():
        deployment, monitor = await _start()
        for server in deployment.servers.values():
            server.service_ms = SERVICE_MS
        leader = deployment.find_leaders()[0]
        entry = next(n for n in deployment.nodes if n is not leader)
        key = testing.make_idempotency_key(1)

        def send():
            return deployment.send(
                entry, "k1", method="POST", idempotency_key=key
            )

        stopping = asyncio.create_task(_stop(leader))
        await deployment.wait(leader.instance.options.notice_ms - 100)
        first = asyncio.create_task(send())
        await deployment.wait(300)
        assert deployment.find_leaders() != [leader]
        again = await send()
        assert isinstance(await first, base.Answered)
        assert not isinstance(again, base.NotRun)
        assert await stopping == 0
        monitor.verify()

    testing.run_manual(scenario())
