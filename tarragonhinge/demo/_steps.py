"""The steps of the demonstration."""

import asyncio
import time

import msgspec

from tarragonhinge import base
from tarragonhinge.demo import _callers
from tarragonhinge.demo import _deployment
from tarragonhinge import routing

KEYS = [f"parcel-{number}" for number in range(24)]

#: Target: a key is served again within this time of a loss.
SERVED_AGAIN_MS = 2000

#: Target: an accepted edit is in force everywhere within this time.
IN_FORCE_MS = 12_000


class Story:
    """Runs the steps one after the other and keeps what they showed.

    Parameters
    ----------
    site : Deployment
        The deployment.
    callers : Callers
        Its callers.
    """

    def __init__(
        self, *, site: _deployment.Deployment, callers: _callers.Callers
    ) -> None:
        self.unavailable_ms = 0
        self._site = site
        self._callers = callers
        self._clock = base.Clock()
        self._started = time.monotonic()

    def tell(self, text: str) -> None:
        """Print a line of progress."""
        print(f"{time.monotonic() - self._started:6.2f} s  {text}")

    def fail(self, text: str) -> None:
        """Note a broken promise."""
        self._callers.tally.broken.append(text)
        self.tell(f"BROKEN: {text}")

    async def wait_for(self, check, limit_ms: int) -> int | None:
        """Return how long a condition took; None if it never held."""
        started_at = self._clock.now()
        while not check():
            if self._clock.now() - started_at > limit_ms:
                return None
            await self._clock.sleep(20)
        return self._clock.now() - started_at

    def list_unserved(self) -> list[str]:
        """Return the keys that have not been answered yet."""
        return [k for k in KEYS if k not in self._callers.tally.served_at]

    async def show_owners(self) -> None:
        """Wait until all keys are served and show who owns them."""
        took_ms = await self.wait_for(lambda: not self.list_unserved(), 10_000)
        if took_ms is None:
            self.fail(f"never served: {self.list_unserved()}")
            return
        owners = {key: self._find_owner(key) for key in KEYS}
        spread = {
            name: list(owners.values()).count(name)
            for name in self._site.servers
        }
        self.tell(f"all {len(KEYS)} keys served; keys per server: {spread}")

    def _find_owner(self, key: str) -> str:
        row = self._site.nodes[0].instance.view.current.rows[0]
        return self._site.find_owner(routing.locate_key(row, key).partition)

    async def order_twice(self) -> None:
        """Send one order twice at once and once more afterwards."""
        name = _callers.make_idempotency_key()
        first, second = await asyncio.gather(
            self._callers.order("parcel-1", name),
            self._callers.order("parcel-1", name),
        )
        third = await self._callers.order("parcel-1", name)
        runs = sum(
            s.runs_by_idempotency_key[name]
            for s in self._site.servers.values()
        )
        self.tell(
            f"order sent 3 times, run {runs} time(s), "
            f"{[first, second, third].count((True, True))} replayed"
        )
        if runs > 1 or (runs == 0 and (first[0] or second[0] or third[0])):
            self.fail(f"order {name} ran {runs} times")

    async def lose_server(self) -> None:
        """Stop a server at once and wait until its keys are served."""
        lost = base.ServerId(self._find_owner("parcel-2"))
        keys = [key for key in KEYS if self._find_owner(key) == lost]
        self._callers.tally.take_longest_gap()
        await self._site.lose_server(lost)
        lost_at = self._clock.now()
        served = self._callers.tally.served_at

        def all_served() -> bool:
            return all(
                self._find_owner(key) != lost and served[key] > lost_at
                for key in keys
            )

        await self.wait_for(all_served, 10_000)
        await self._report_loss(f"server {lost} lost ({len(keys)} keys)")

    async def kill_leader(self) -> None:
        """Stop the leader's entry at once."""
        leader = self._site.find_leader()
        self._callers.tally.take_longest_gap()
        await leader.kill()
        self._site.mark_leaving(leader)
        lost_at = self._clock.now()
        served = self._callers.tally.served_at
        await self.wait_for(
            lambda: all(served[key] > lost_at for key in KEYS), 10_000
        )
        await self._report_loss(f"leader {leader.options.name} lost")

    async def _report_loss(self, what: str) -> None:
        gap_ms = self._callers.tally.take_longest_gap()
        self.unavailable_ms += gap_ms
        self.tell(f"{what}: longest time a key was unserved {gap_ms} ms")
        if gap_ms > SERVED_AGAIN_MS:
            self.fail(f"{what}: unserved for {gap_ms} ms")

    async def stop_entry(self) -> None:
        """Stop the leader's entry gracefully."""
        leader = self._site.find_leader()
        tally = self._callers.tally
        before = tally.outcomes["unknown"] + tally.outcomes["connection_lost"]
        tally.take_longest_gap()
        self._site.mark_leaving(leader)
        left = await leader.stop()
        cut = tally.outcomes["unknown"] + tally.outcomes["connection_lost"]
        cut += left - before
        gap_ms = tally.take_longest_gap()
        self.tell(
            f"{leader.options.name} (leader) stopped gracefully: "
            f"{cut} requests cut off, longest pause of a key {gap_ms} ms"
        )
        if cut:
            self.fail(f"a graceful stop cut off {cut} requests")

    async def edit_table(self) -> None:
        """Accept an edit and wait until it is in force everywhere."""
        running = [entry for entry in self._site.nodes if entry.running]
        store = running[0].instance.store
        table = running[0].instance.view.current
        row = msgspec.structs.replace(table.rows[0], queue=200)
        result = await store.apply_edit([row], expected=table.version)
        version = getattr(result, "version", None)
        took_ms = await self.wait_for(
            lambda: all(
                entry.instance.view.current.version == version
                for entry in running
            ),
            IN_FORCE_MS,
        )
        self.tell(f"table edit: version {version} in force in {took_ms} ms")
        if took_ms is None:
            self.fail("an accepted edit is not in force everywhere")
        late = await store.apply_edit([row], expected=table.version)
        self.tell(f"racing edit of the old version: {type(late).__name__}")

    def check_servers(self) -> None:
        """Check what the servers saw."""
        for name, server in self._site.servers.items():
            twice = [
                key
                for key, count in server.runs_by_idempotency_key.items()
                if key and count > 1
            ]
            if twice:
                self.fail(f"{name} ran {twice} more than once")

    def count_moves(self) -> int:
        """Return how many times a partition was given an owner."""
        return sum(
            leader.owners.moved_count
            for entry in self._site.nodes
            for leader in entry.instance.coordinator.leaders.values()
        )


async def run_demo(*, kill_leader: bool = False) -> int:
    """Run the demonstration; return 0 if no promise was broken."""
    site = _deployment.Deployment()
    callers = _callers.Callers(site=site)
    story = Story(site=site, callers=callers)
    await site.start()
    await callers.start(KEYS)
    try:
        story.tell("platform, 4 servers, 3 entries and 24 callers are up")
        await story.show_owners()
        await story.order_twice()
        await story.lose_server()
        if kill_leader:
            await story.kill_leader()
        else:
            await story.stop_entry()
        await story.edit_table()
        await story.order_twice()
        story.check_servers()
    finally:
        await callers.stop()
        await site.stop()
    return _summarize(story, callers.tally)


def _summarize(story: Story, tally: _callers.Tally) -> int:
    outcomes = tally.outcomes
    print(
        f"answered {outcomes['answered']}, "
        f"refused as not run {outcomes['not_run']}, "
        f"unknown {outcomes['unknown']}, "
        f"connections lost {outcomes['connection_lost']}, "
        f"owners assigned {story.count_moves()}, "
        f"unavailable {story.unavailable_ms} ms"
    )
    if tally.broken:
        print(f"{len(tally.broken)} promises broken")
        return 1
    print("no promise broken")
    return 0
