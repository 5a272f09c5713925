"""Fixture: a service managed by a real range leader on manual time."""

import asyncio
import contextlib

import msgspec

from tarragonhinge import base
from tarragonhinge import catalog
from tarragonhinge import ranges
from tarragonhinge import stores
from tarragonhinge import testing

SERVICE = base.ServiceName("balances")

CLAIM = stores.RowPut(table="claims", key="coordinator", value=b"")


class LedService:
    """Simulated servers, an in-memory store and at most one leader."""

    def __init__(self, *, servers=4, zones=("z",), slots=2):
        self.clock = testing.ManualClock()
        self.rows = testing.MemoryRows()
        self.fleet = testing.KeyFleet(clock=self.clock)
        self.view = catalog.View()
        self.log = testing.make_event_log(self.clock)
        self.leader = None
        self.task = None
        self.term = 0
        self._last_born_ms = 0
        self._zones = zones
        self._slots = slots
        for number in range(servers):
            self.start_server(f"s{number}")

    def start_server(self, name, *, address=None):
        self._last_born_ms += 1
        entry = catalog.ServerEntry(
            server=base.ServerId(name),
            service=SERVICE,
            address=base.Address(address or f"10.0.0.{name[1:]}:80"),
            zone=base.ZoneName(self._zones[int(name[1:]) % len(self._zones)]),
            slots=self._slots,
            born_ms=self._last_born_ms,
        )
        self.fleet.start(entry)
        self.put_entry(entry)
        return entry

    def put_entry(self, entry):
        self.view.set_servers({**self.view.servers, entry.server: entry})

    def remove_entry(self, name):
        entries = dict(self.view.servers)
        entries.pop(name, None)
        self.view.set_servers(entries)

    def drain(self, name):
        state = catalog.ServerState.DRAINING
        entry = self.view.servers[name]
        self.put_entry(msgspec.structs.replace(entry, state=state))

    def put_segments(self, count):
        """Store a record in which the servers own segments in turn."""
        entries = list(self.view.servers.values())
        bounds = [i * catalog.KEY_COUNT // count for i in range(count + 1)]
        self.put_record(
            [
                catalog.Segment(
                    first=bounds[i],
                    last=bounds[i + 1] - 1,
                    server=entries[i % len(entries)].server,
                    born_ms=entries[i % len(entries)].born_ms,
                    fence=i + 1,
                )
                for i in range(count)
            ],
            next_fence=count + 1,
        )

    def find_server(self, name):
        return next(
            s for s in reversed(self.fleet.servers) if s.entry.server == name
        )

    def put_record(self, segments, *, next_fence):
        """Store a record as a previous leader would have written it."""
        record = ranges.RangeRecord(
            term=base.Term(0),
            next_fence=next_fence,
            segments=segments,
            era=self.rows.era,
        )
        put = stores.RowPut(
            table=ranges.TABLE,
            key=SERVICE,
            value=ranges.encode_record(record),
        )
        self.rows.apply([], [put])

    def make_leader(self, *, first_era=None, **options):
        """Write a claim and return a leader with its store and grants.

        The leader's settings state the bound of a row that the store has now.

        Parameters
        ----------
        first_era : int or None
            Earliest era in which any instance may have led; None for the
            current one.
        **options
            Further arguments of the leader.
        """
        self.term += 1
        row = self.rows.rows.get((CLAIM.table, CLAIM.key))
        self.rows.apply(
            [
                stores.RowCheck(
                    table=CLAIM.table,
                    key=CLAIM.key,
                    version=row.version if row else 0,
                )
            ],
            [CLAIM],
        )
        store = testing.MemoryRowStore(rows=self.rows, clock=self.clock)
        grants = testing.MemoryGrantClient(fleet=self.fleet, clock=self.clock)
        claim = stores.Claim(
            term=base.Term(self.term),
            check=stores.RowCheck(
                table=CLAIM.table, key=CLAIM.key, version=self.rows.version
            ),
            era=self.rows.era,
        )
        leader = ranges.RangeLeader(
            service=SERVICE,
            recorder=ranges.RangeRecorder(
                store=store,
                service=SERVICE,
                claim=claim,
                first_era=first_era or self.rows.era,
                row_bytes=self.rows.row_bytes,
                clock=self.clock,
            ),
            view=self.view,
            grants=grants,
            get_store_age=lambda: 0,
            may_renew=lambda: True,
            inherited_until=self.clock.now() + 3_000,
            log=self.log,
            clock=self.clock,
            **options,
        )
        return leader, store, grants

    def start_leader(self, **options):
        self.leader, self.store, self.grants = self.make_leader(**options)
        self.task = asyncio.create_task(self.leader.run())
        return self.leader

    async def stop_leader(self):
        await stop(self.task)

    def take_over(self, owners=None, **options):
        """Start a successor of a leader that runs on.

        Parameters
        ----------
        owners : OwnerMap or None
            Owners that the successor knows; None for the published ones.

        Returns
        -------
        Task
            Task of the former leader, which sees no more entries.
        """
        former, followed = self.task, self.view
        self.view = catalog.View()
        self.view.set_servers(followed.servers)
        self.view.set_evacuated_zones(followed.evacuated_zones)
        self.view.set_owners(SERVICE, owners or followed.owners[SERVICE])
        self.start_leader(**options)
        return former

    async def run_for(self, duration_ms, *, step_ms=50):
        """Advance the time and check ownership after each step."""
        ends_at = self.clock.now() + duration_ms
        while self.clock.now() < ends_at:
            await self.clock.sleep(step_ms)
            self.fleet.check()
            if self.task is not None and self.task.done():
                raise AssertionError(self.task.exception())


async def stop(task):
    """Stop a leader without notice."""
    task.cancel()
    with contextlib.suppress(asyncio.CancelledError, BaseExceptionGroup):
        await task
