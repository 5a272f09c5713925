"""Limits of server slots, on a manual clock."""

import asyncio
import itertools

import msgspec
import pytest

from tarragonhinge import base
from tarragonhinge import testing

SLOTS = 2

#: Longer than a takeover, so that requests outlive their leader.
SERVICE_MS = 3000


async def _kill_leader(deployment, leader):
    await leader.kill()


async def _pause_leader(deployment, leader):
    leader.clock.pause()
    await deployment.wait(2500)
    leader.clock.resume()


async def _hand_over(deployment, leader):
    instance = leader.instance
    await instance.coordinator.hand_over(
        instance.dispatcher.save_history, 1000
    )


async def _halve_slots(deployment, leader):
    store = deployment.nodes[0].instance.store
    row = msgspec.structs.replace(deployment.row, slots=1)
    version = deployment.nodes[0].instance.view.current.version
    await store.apply_edit([row], expected=version)


async def _cut_server_answers(deployment, leader):
    """Cut the path of one server's answers to the leader for a while."""
    deployment.network.cut("s0", leader.address)
    await deployment.wait(700)
    deployment.network.heal()


async def _freeze_server(deployment, leader):
    """Freeze a server for less than the duration of its grants."""
    deployment.servers["s0"].clock.pause()
    await deployment.wait(700)
    deployment.servers["s0"].clock.resume()


async def _freeze_server_long(deployment, leader):
    deployment.servers["s0"].clock.pause()
    await deployment.wait(3000)
    deployment.servers["s0"].clock.resume()


EVENTS = [
    _kill_leader,
    _pause_leader,
    _hand_over,
    _halve_slots,
    _cut_server_answers,
    _freeze_server,
    _freeze_server_long,
]


async def _send_requests(deployment, nodes, stop_at, answered):
    """Send more requests than the servers can run.

    Short deadlines let entries detect the loss of a leader soon.
    """
    sends = []
    for sequence in itertools.count():
        node = nodes[sequence % len(nodes)]
        if node.clock.now() >= stop_at:
            break
        deadline_ms = 4000 if sequence % 4 else 300
        request = deployment.send(
            node, f"k{sequence}", deadline_ms=deadline_ms
        )
        sends.append(asyncio.create_task(request))
        await deployment.wait(50)
    for outcome in await asyncio.gather(*sends):
        answered.append(isinstance(outcome, base.Answered))


def test_lowered_slots_apply_to_waiting_requests():
    async def scenario():
        deployment = testing.Deployment(row=testing.make_row(servers=1))
        server = deployment.servers["s0"]
        server.service_ms = 300
        await deployment.start()
        sends = [
            asyncio.create_task(
                deployment.send(
                    deployment.nodes[0], f"k{n}", deadline_ms=20_000
                )
            )
            for n in range(40)
        ]
        await _halve_slots(deployment, None)
        await deployment.wait(1500)
        run_before = len(server.runs)
        await deployment.wait(3000)
        assert len(server.runs) - run_before <= 3000 / 300
        await asyncio.gather(*sends)

    testing.run_manual(scenario())


@pytest.mark.parametrize("service_ms", [100, SERVICE_MS])
@pytest.mark.parametrize("event", EVENTS)
def test_slots_are_not_exceeded(event, service_ms):
    async def scenario():
        deployment = testing.Deployment()
        for server in deployment.servers.values():
            server.service_ms = service_ms
        await deployment.start()
        leader = deployment.find_leaders()[0]
        entries = [n for n in deployment.nodes if n is not leader]
        answered = []
        stop_at = entries[0].clock.now() + 9000
        load = asyncio.create_task(
            _send_requests(deployment, entries, stop_at, answered)
        )
        await deployment.wait(1000)
        await event(deployment, leader)
        await load
        max_running = [s.most_running for s in deployment.servers.values()]
        assert max(max_running) == SLOTS
        assert any(answered[-100:])

    testing.run_manual(scenario())
