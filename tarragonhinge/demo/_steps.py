"""Steps of the demonstration."""

import asyncio
import time

import msgspec

from tarragonhinge import base
from tarragonhinge.demo import _callers
from tarragonhinge.demo import _deployment
from tarragonhinge import routing

KEYS = [f"parcel-{number}" for number in range(24)]

#: Target for the time in which a key is served again after a crash.
MAX_UNSERVED_MS = 2000

#: Target for the time in which an accepted edit is in force everywhere.
MAX_PROPAGATION_MS = 12_000


class Demonstration:
    """Runs the steps of the demonstration and records violations.

    Parameters
    ----------
    deployment : Deployment
        Deployment on which the steps are run.
    callers : Callers
        Callers that send requests to the deployment.

    Attributes
    ----------
    unavailable_ms : int
        Longest time that a key was unserved after a crash, in milliseconds,
        summed over all crashes.
    """

    def __init__(
        self, *, deployment: _deployment.Deployment, callers: _callers.Callers
    ) -> None:
        self.unavailable_ms = 0
        self._deployment = deployment
        self._callers = callers
        self._clock = base.Clock()
        self._started_at = time.monotonic()

    def report(self, text: str) -> None:
        """Print a progress message with the elapsed time."""
        print(f"{time.monotonic() - self._started_at:6.2f} s  {text}")

    def report_violation(self, text: str) -> None:
        """Record and print the violation of a guarantee."""
        self._callers.stats.violations.append(text)
        self.report(f"VIOLATION: {text}")

    async def wait_for(self, condition, timeout_ms: int) -> int | None:
        """Return the time until `condition` held; None after a timeout.

        Both times are in milliseconds.
        """
        started_at = self._clock.now()
        while not condition():
            if self._clock.now() - started_at > timeout_ms:
                return None
            await self._clock.sleep(20)
        return self._clock.now() - started_at

    def list_unserved(self) -> list[str]:
        """Return the keys for which no request was answered so far."""
        return [k for k in KEYS if k not in self._callers.stats.answered_at]

    async def show_owners(self) -> None:
        """Wait until all keys are served and print the keys per server."""
        elapsed_ms = await self.wait_for(
            lambda: not self.list_unserved(), 10_000
        )
        if elapsed_ms is None:
            self.report_violation(f"never served: {self.list_unserved()}")
            return
        owners = {key: self._find_owner(key) for key in KEYS}
        keys_per_server = {
            server_name: list(owners.values()).count(server_name)
            for server_name in self._deployment.servers
        }
        self.report(
            f"all {len(KEYS)} keys served; keys per server: {keys_per_server}"
        )

    def _find_owner(self, key: str) -> str:
        row = self._deployment.demo_instances[0].daemon.view.current.rows[0]
        return self._deployment.find_owner(
            routing.locate_key(row, key).partition
        )

    async def send_duplicate_orders(self) -> None:
        """Send one order twice concurrently and once more afterwards."""
        idempotency_key = _callers.make_idempotency_key()
        first, second = await asyncio.gather(
            self._callers.send_order("parcel-1", idempotency_key),
            self._callers.send_order("parcel-1", idempotency_key),
        )
        repeated = await self._callers.send_order("parcel-1", idempotency_key)
        run_count = sum(
            s.runs_by_idempotency_key[idempotency_key]
            for s in self._deployment.servers.values()
        )
        self.report(
            f"order sent 3 times, run {run_count} time(s), "
            f"{[first, second, repeated].count((True, True))} replayed"
        )
        if run_count > 1 or (
            run_count == 0 and (first[0] or second[0] or repeated[0])
        ):
            self.report_violation(
                f"order {idempotency_key} ran {run_count} times"
            )

    async def crash_server(self) -> None:
        """Crash a server and wait until its keys are served again."""
        server_name = base.ServerId(self._find_owner("parcel-2"))
        keys = [key for key in KEYS if self._find_owner(key) == server_name]
        self._callers.stats.pop_longest_gap_ms()
        await self._deployment.crash_server(server_name)
        crashed_at = self._clock.now()
        answered_at = self._callers.stats.answered_at

        def all_served() -> bool:
            return all(
                self._find_owner(key) != server_name
                and answered_at[key] > crashed_at
                for key in keys
            )

        await self.wait_for(all_served, 10_000)
        await self._report_crash(
            f"server {server_name} crashed ({len(keys)} keys)"
        )

    async def crash_leader(self) -> None:
        """Crash the shard's leader and wait until all keys are served."""
        leader = self._deployment.find_leader()
        self._callers.stats.pop_longest_gap_ms()
        await leader.kill()
        self._deployment.remove_from_list(leader)
        crashed_at = self._clock.now()
        answered_at = self._callers.stats.answered_at
        await self.wait_for(
            lambda: all(answered_at[key] > crashed_at for key in KEYS), 10_000
        )
        await self._report_crash(f"leader {leader.options.name} crashed")

    async def _report_crash(self, event: str) -> None:
        gap_ms = self._callers.stats.pop_longest_gap_ms()
        self.unavailable_ms += gap_ms
        self.report(f"{event}: longest time a key was unserved {gap_ms} ms")
        if gap_ms > MAX_UNSERVED_MS:
            self.report_violation(f"{event}: unserved for {gap_ms} ms")

    async def stop_leader(self) -> None:
        """Stop the shard's leader gracefully."""
        leader = self._deployment.find_leader()
        stats = self._callers.stats
        lost_before = (
            stats.outcomes["unknown"] + stats.outcomes["connection_lost"]
        )
        stats.pop_longest_gap_ms()
        self._deployment.remove_from_list(leader)
        cut_off_by_leader = await leader.stop()
        cut_off = stats.outcomes["unknown"] + stats.outcomes["connection_lost"]
        cut_off += cut_off_by_leader - lost_before
        gap_ms = stats.pop_longest_gap_ms()
        self.report(
            f"{leader.options.name} (leader) stopped gracefully: "
            f"{cut_off} requests cut off, "
            f"longest time a key was unserved {gap_ms} ms"
        )
        if cut_off:
            self.report_violation(
                f"a graceful stop cut off {cut_off} requests"
            )

    async def edit_table(self) -> None:
        """Edit the table and wait until the edit is in force everywhere."""
        running_instances = [
            instance
            for instance in self._deployment.demo_instances
            if instance.running
        ]
        store = running_instances[0].daemon.store
        table = running_instances[0].daemon.view.current
        row = msgspec.structs.replace(table.rows[0], queue=200)
        result = await store.apply_edit([row], expected=table.version)
        version = getattr(result, "version", None)
        elapsed_ms = await self.wait_for(
            lambda: all(
                instance.daemon.view.current.version == version
                for instance in running_instances
            ),
            MAX_PROPAGATION_MS,
        )
        self.report(
            f"table edit: version {version} in force in {elapsed_ms} ms"
        )
        if elapsed_ms is None:
            self.report_violation(
                "an accepted edit is not in force on all instances"
            )
        conflicting_result = await store.apply_edit(
            [row], expected=table.version
        )
        self.report(
            "concurrent edit of the old version: "
            f"{type(conflicting_result).__name__}"
        )

    def check_servers(self) -> None:
        """Check that no server ran a request with an idempotency key twice."""
        for server_name, server in self._deployment.servers.items():
            repeated_keys = [
                key
                for key, count in server.runs_by_idempotency_key.items()
                if key and count > 1
            ]
            if repeated_keys:
                self.report_violation(
                    f"{server_name} ran {repeated_keys} more than once"
                )

    def count_assignments(self) -> int:
        """Return how often the current leaders assigned an owner."""
        return sum(
            leader.owners.moved_count
            for instance in self._deployment.demo_instances
            for leader in instance.daemon.coordinator.leaders.values()
        )


async def run_demo(*, kill_leader: bool = False) -> int:
    """Run the demonstration; return 0 if no guarantee was violated."""
    deployment = _deployment.Deployment()
    callers = _callers.Callers(deployment=deployment)
    demonstration = Demonstration(deployment=deployment, callers=callers)
    await deployment.start()
    await callers.start(KEYS)
    try:
        demonstration.report(
            "platform, 4 servers, 3 instances and 24 callers are up"
        )
        await demonstration.show_owners()
        await demonstration.send_duplicate_orders()
        await demonstration.crash_server()
        if kill_leader:
            await demonstration.crash_leader()
        else:
            await demonstration.stop_leader()
        await demonstration.edit_table()
        await demonstration.send_duplicate_orders()
        demonstration.check_servers()
    finally:
        await callers.stop()
        await deployment.stop()
    return _summarize(demonstration, callers.stats)


def _summarize(
    demonstration: Demonstration, stats: _callers.RequestStats
) -> int:
    outcomes = stats.outcomes
    print(
        f"answered {outcomes['answered']}, "
        f"rejected as not run {outcomes['not_run']}, "
        f"unknown {outcomes['unknown']}, "
        f"connections lost {outcomes['connection_lost']}, "
        f"owners assigned {demonstration.count_assignments()}, "
        f"unavailable {demonstration.unavailable_ms} ms"
    )
    if stats.violations:
        print(f"{len(stats.violations)} guarantees violated")
        return 1
    print("no guarantee violated")
    return 0
