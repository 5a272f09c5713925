"""The coordinator lists the instances that help each other."""

import asyncio

from tarragonhinge import base
from tarragonhinge import catalog
from tarragonhinge import forwarding
from tarragonhinge.relay.tests import test_relay
from tarragonhinge import testing


class _Fixture(test_relay._HubFixture):
    """Hub whose subscribers accept requests of others."""

    def __init__(self):
        super().__init__()
        self.serving = []

    async def _serve(self, reader, writer):
        peer = testing.make_peer_directory(self.clock, instance="i2").own
        self.serving.append(asyncio.current_task())
        await self.hub.serve(reader, writer, peer=peer)


def _list_names(directory):
    return sorted(peer.instance for peer in directory.list_all())


def test_instances_are_listed_to_all():
    async def run():
        async with _Fixture() as fixture:
            subscription = fixture.subscribe(catalog.View())
            await test_relay._wait(
                lambda: _list_names(subscription._directory) == ["e1"]
            )
            assert _list_names(fixture.hub._directory) == ["i2"]

    asyncio.run(run())


def test_end_of_a_former_leadership_does_not_change_the_list():
    """Connections of a former coordinator may end much later."""

    async def run():
        async with _Fixture() as fixture:
            fixture.subscribe(catalog.View())
            directory = fixture.hub._directory
            await test_relay._wait(lambda: _list_names(directory) == ["i2"])
            fixture.hub.depose(base.Term(1))
            listed_by_successor = [
                forwarding.PeerInstance(
                    instance=base.InstanceId("i2"),
                    address=base.Address("127.0.0.1:1"),
                    zone=base.ZoneName("z"),
                )
            ]
            directory.record(listed_by_successor)
            await asyncio.gather(*fixture.serving)
            assert directory._absent_since == {}

    asyncio.run(run())
