"""Slots of servers that two services share."""

import asyncio
import collections

import msgspec

from tarragonhinge import base
from tarragonhinge import dispatch
from tarragonhinge import routing
from tarragonhinge import testing

SLOTS = 2


async def _send(node, row, key):
    location = routing.locate_key(row, key)
    request = dispatch.ForwardRequest(
        shard=location.shard,
        partition=location.partition,
        key_hash=location.key_hash,
        method="GET",
        path=f"/{row.service}/{key}",
        time_left_ms=500,
    )
    return await node.instance.entry.route(request, idempotent=True)


def test_services_with_the_same_servers_share_their_slots():
    """The second service is added while the first is fully loaded."""

    async def scenario():
        row = testing.make_row(slots=SLOTS)
        second = msgspec.structs.replace(
            row, service=base.ServiceName("stock")
        )
        deployment = testing.Deployment(row=row)
        for server in deployment.servers.values():
            server.service_ms = 60
        await deployment.start()
        answered = collections.Counter()

        async def send_and_count(node, row, number):
            outcome = await _send(node, row, f"k{number}")
            answered[row.service] += isinstance(outcome, base.Answered)

        sends = []
        for number in range(2000):
            if number == 200:
                store = deployment.nodes[0].instance.store
                version = deployment.nodes[0].instance.view.current.version
                await store.apply_edit([row, second], expected=version)
            node = deployment.nodes[number % 3]
            for target in (row, second):
                sends.append(
                    asyncio.create_task(send_and_count(node, target, number))
                )
            await deployment.wait(10)
        await asyncio.gather(*sends)
        max_running = [s.most_running for s in deployment.servers.values()]
        assert max(max_running) == SLOTS
        assert min(answered[row.service], answered[second.service]) > 100

    testing.run_manual(scenario())
