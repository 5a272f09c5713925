"""Byte budgets for traffic between regions, on a manual clock."""

import asyncio

import pytest

from tarragonhinge import base
from tarragonhinge import configuration
from tarragonhinge import dispatch
from tarragonhinge import membership
from tarragonhinge import routing
from tarragonhinge import testing

LIMIT_BYTES = 100_000
SERVICE = base.ServiceName("histories")


class CrossRegionLink:
    """Entries in region centro, and a leader in sur that answers all."""

    def __init__(self, *, entries=1, answer_bytes=0, limit=LIMIT_BYTES):
        self.clock = testing.ManualClock()
        self.answer = b"x" * answer_bytes
        self.sent_bytes = 0
        self.network = testing.MemoryNetwork()
        self.view = configuration.TableView()
        self.advance(1, limit)
        self.instances = membership.InstanceView()
        names = [f"i{number}" for number in range(entries)]
        self.instances.replace(
            [_make_instance(name, "centro") for name in names]
            + [_make_instance("leader", "sur")]
        )
        leader = self._make_transport("leader")
        leader.handle(dispatch.ForwardRequest, self._reply)
        self.network.transports["leader"] = leader
        self.entries = [self._make_entry(name) for name in names]

    def advance(self, version, limit):
        row = configuration.ServiceRow(
            service=SERVICE, homes=["sur"], cross_region_bytes=limit
        )
        self.view.advance(
            configuration.OperatorsTable(version=version, rows=[row])
        )

    def _make_transport(self, name):
        return testing.MemoryTransport(
            address=base.Address(name), network=self.network, clock=self.clock
        )

    def _make_entry(self, name):
        return routing.Entry(
            directory=routing.LeaderDirectory(
                instances=self.instances, clock=self.clock
            ),
            transport=self._make_transport(name),
            dispatcher=None,
            clock=self.clock,
            cross_region_budgets=routing.CrossRegionBudgets(
                region=base.RegionName("centro"),
                view=self.view,
                instances=self.instances,
                clock=self.clock,
            ),
        )

    async def _reply(self, request):
        self.sent_bytes += len(request.body) + len(self.answer)
        return dispatch.ForwardAnswered(
            status=200, headers=(), body=self.answer
        )

    async def send(self, entry, body_bytes, method="GET"):
        request = dispatch.ForwardRequest(
            shard=base.make_shard_id(SERVICE, "sur"),
            partition=base.PartitionId(0),
            key_hash=0,
            method=method,
            path="/",
            body=b"x" * body_bytes,
            time_left_ms=500,
        )
        return await entry.route(request, idempotent=method == "GET")

    async def offer_load(self, duration_ms, body_bytes, method="GET"):
        """Send far more than the budget through all entries."""
        stop_at = self.clock.now() + duration_ms
        outcomes = []
        while self.clock.now() < stop_at:
            sends = [
                self.send(entry, body_bytes, method) for entry in self.entries
            ]
            outcomes += await asyncio.gather(*sends)
            await self.clock.sleep(5)
        return outcomes


def _make_instance(name, region):
    return membership.InstanceEntry(
        instance=base.InstanceId(name),
        address=base.Address(name),
        region=base.RegionName(region),
        zone=base.ZoneName(f"{region}-a"),
    )


@pytest.mark.parametrize("entries", [1, 3])
@pytest.mark.parametrize("answer_bytes", [0, 4000])
def test_bytes_stay_within_the_budget(entries, answer_bytes):
    async def scenario():
        link = CrossRegionLink(entries=entries, answer_bytes=answer_bytes)
        outcomes = await link.offer_load(8000, body_bytes=1000)
        largest_burst_bytes = (1000 + answer_bytes) * entries
        assert link.sent_bytes <= LIMIT_BYTES * 9 + largest_burst_bytes
        assert link.sent_bytes >= LIMIT_BYTES * 8 * 0.7
        refusals = [o for o in outcomes if isinstance(o, base.NotRun)]
        for refusal in refusals:
            assert refusal.reason is base.NotRunReason.OVERLOADED
            assert refusal.retry_after_ms > 0

    testing.run_manual(scenario())


def test_non_idempotent_requests_are_refused_last():
    async def scenario():
        link = CrossRegionLink()
        entry = link.entries[0]
        await link.send(entry, 5000)
        await link.clock.sleep(2000)
        last_outcome = None
        while not isinstance(last_outcome, base.NotRun):
            last_outcome = await link.send(entry, 5000)
        outcome = await link.send(entry, 5000, method="POST")
        assert isinstance(outcome, base.Answered)
        await link.clock.sleep(last_outcome.retry_after_ms + 100)
        assert isinstance(await link.send(entry, 5000), base.Answered)

    testing.run_manual(scenario())


@pytest.mark.parametrize(
    ("limit", "effective_limit"), [(50_000, 50_000), (0, None)]
)
def test_changed_budget_takes_effect(limit, effective_limit):
    async def scenario():
        link = CrossRegionLink()
        await link.offer_load(2000, body_bytes=1000)
        link.advance(2, limit)
        await link.offer_load(12_000, body_bytes=1000)
        sent_before = link.sent_bytes
        await link.offer_load(4000, body_bytes=1000)
        if effective_limit is None:
            assert link.sent_bytes - sent_before > 4 * LIMIT_BYTES
        else:
            assert link.sent_bytes - sent_before <= effective_limit * 5

    testing.run_manual(scenario())
