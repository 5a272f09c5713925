"""Injects faults into real processes on loopback and measures their cost.

Run as ``python benchmarks/process_faults.py [FOLDER]``; the folder keeps the
settings and logs.  A platform, four backend servers and four daemons run as
separate processes.  The faults are crashes, freezes, an outage of the table
service, and graceful stops; each starts from a settled deployment.  Prints a
Markdown table; the exit status is 1 if a guarantee was violated.  A run takes
less than 90 s.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import dataclasses
import os
import pathlib
import signal
import sys
import tempfile
import time

import process_callers
import process_deployment

#: Time limit of the run, without the final stop of callers and processes.
RUN_TIMEOUT_S = 80.0

#: Time limit for the deployment to settle.
SETTLING_TIMEOUT_S = 12.0

#: Time for which the deployment has to stay settled.
STABLE_FOR_S = 0.6

#: A key counts as served if it was answered within this time.
SERVED_WITHIN_S = 0.7

FREEZE_DURATION_S = 5.0
OUTAGE_DURATION_S = 10.0

#: Longer than any stop in this run; a stop that exceeds it hangs.
STOP_TIMEOUT_S = 12.0
SECOND_SIGNAL_DELAY_S = 0.3


@dataclasses.dataclass(frozen=True, kw_only=True)
class SettledState:
    """Settled state of the deployment before an event.

    Parameters
    ----------
    leader, standby, server : Process
        The leader, its standby, and the server that owns most partitions.
    owners : dict
        Owner of each partition.
    """

    leader: process_deployment.Process
    standby: process_deployment.Process
    server: process_deployment.Process
    owners: dict[str, str]


class FaultRunner:
    """Runs one event after another and checks the guarantees.

    Parameters
    ----------
    deployment : Deployment
        The processes of the deployment.
    callers : Callers
        Callers that send requests throughout the run.
    """

    def __init__(
        self,
        *,
        deployment: process_deployment.Deployment,
        callers: process_callers.Callers,
    ) -> None:
        self.deployment = deployment
        self.callers = callers
        self.violations: list[str] = []

    async def settle(self) -> SettledState:
        """Restart ended processes and wait until all keys are served.

        Returns when all daemons are ready, all servers are reachable and all
        keys are served, for `STABLE_FOR_S`.

        Raises
        ------
        RuntimeError
            If the deployment has not settled in time.
        """
        self.deployment.restart_stopped()
        timeout_at = time.monotonic() + SETTLING_TIMEOUT_S
        stable_since = time.monotonic()
        while time.monotonic() < timeout_at:
            before = await self._find_settled()
            if before is None:
                stable_since = time.monotonic()
            elif time.monotonic() - stable_since > STABLE_FOR_S:
                return before
            await asyncio.sleep(0.1)
        raise RuntimeError(
            f"not settled in time: {await self.deployment.find_leader()}"
        )

    async def _find_settled(self) -> SettledState | None:
        leader, state = await self.deployment.find_leader()
        if leader is None or not all(p.ready for p in self.deployment.daemons):
            return None
        all_reachable = set(state["servers"].values()) == {"reachable"}
        if not state["standby"] or not all_reachable or state["held"]:
            return None
        if not state["confirmed"] or not self.is_served():
            return None
        owners = state["owners"]
        names = list(owners.values())
        server = max(sorted(set(names)), key=names.count)
        return SettledState(
            leader=leader,
            standby=self.deployment.find(state["standby"]),
            server=self.deployment.find(server),
            owners=owners,
        )

    def is_served(self) -> bool:
        """Return whether all keys were answered within `SERVED_WITHIN_S`."""
        oldest = min(self.callers.served_at.values())
        return time.monotonic() - oldest < SERVED_WITHIN_S

    async def crash(self, *processes: process_deployment.Process) -> None:
        """Kill processes and wait while the callers measure the outage."""
        for process in processes:
            process.send(signal.SIGKILL)
        await asyncio.sleep(4.0)

    async def crash_leader(self, before: SettledState) -> None:
        """Kill the leader."""
        await self.crash(before.leader)

    async def crash_standby(self, before: SettledState) -> None:
        """Kill the standby."""
        await self.crash(before.standby)

    async def crash_server(self, before: SettledState) -> None:
        """Kill the server that owns most partitions."""
        await self.crash(before.server)

    async def crash_leader_and_server(self, before: SettledState) -> None:
        """Kill the leader and the server that owns most partitions."""
        await self.crash(before.leader, before.server)

    async def freeze(self, process: process_deployment.Process) -> None:
        """Suspend a process for `FREEZE_DURATION_S`, then resume it."""
        process.send(signal.SIGSTOP)
        await asyncio.sleep(FREEZE_DURATION_S)
        process.send(signal.SIGCONT)
        await asyncio.sleep(1.5)

    async def freeze_leader(self, before: SettledState) -> None:
        """Suspend the leader."""
        await self.freeze(before.leader)

    async def freeze_server(self, before: SettledState) -> None:
        """Suspend the server that owns most partitions."""
        await self.freeze(before.server)

    async def take_table_service_down(self, before: SettledState) -> None:
        """Take the platform's table service down for `OUTAGE_DURATION_S`."""
        control = f"{self.deployment.platform.address}/control"
        if await self.deployment.fetch(f"{control}/down", "POST") is None:
            raise RuntimeError(
                "cannot switch the table service: no answer from the platform"
            )
        await asyncio.sleep(OUTAGE_DURATION_S)
        if await self.deployment.fetch(f"{control}/up", "POST") is None:
            raise RuntimeError(
                "cannot switch the table service: no answer from the platform"
            )
        await asyncio.sleep(1.0)

    async def stop_leader(self, before: SettledState) -> None:
        """Stop the leader gracefully and check that no request was cut off."""
        before.leader.send(signal.SIGTERM)
        status = await before.leader.wait(STOP_TIMEOUT_S)
        await asyncio.sleep(0.5)
        if status != 0:
            self.violations.append(f"graceful stop: exit status {status}")
        if "cut_off=0" not in before.leader.log.read_text():
            self.violations.append(
                "graceful stop: the log has no line with cut_off=0"
            )
        if self.count_inconclusive():
            self.violations.append(
                f"graceful stop: cut {self.count_inconclusive()} requests: "
                f"{dict(self.callers.outcomes)}"
            )

    async def stop_twice(self, before: SettledState) -> None:
        """Send the leader a second SIGTERM during its graceful stop."""
        before.leader.send(signal.SIGTERM)
        await asyncio.sleep(SECOND_SIGNAL_DELAY_S)
        before.leader.send(signal.SIGTERM)
        status = await before.leader.wait(STOP_TIMEOUT_S)
        await asyncio.sleep(3.0)
        if status != 1:
            self.violations.append(f"second SIGTERM: exit status {status}")

    def count_inconclusive(self) -> int:
        """Return the number of requests that got no conclusive response."""
        outcomes = self.callers.outcomes
        names = ("unknown", "lost", "refused", "no_entry", "none")
        return sum(outcomes[name] for name in names)

    async def run(
        self,
        name: str,
        act: Callable[["FaultRunner", SettledState], Awaitable[None]],
    ) -> None:
        """Run one event from a settled state and print its row."""
        before = await self.settle()
        self.callers.reset_measurements()
        await act(self, before)
        longest_ms = self.callers.get_longest_unserved_ms()
        changed = await self._count_changed(before)
        counts = self.callers.outcomes
        cells = [
            name,
            longest_ms,
            counts["answered"],
            counts["not_run"],
            counts["unknown"],
            counts["lost"],
            counts["refused"],
            changed,
        ]
        print(f"| {' | '.join(str(cell) for cell in cells)} |", flush=True)

    async def _count_changed(self, before: SettledState) -> str:
        leader, state = await self.deployment.find_leader()
        if leader is None:
            return "no leader"
        owners = state["owners"]
        previous_owners = [
            owner
            for partition, owner in before.owners.items()
            if owners.get(partition) != owner
        ]
        moved_off = previous_owners.count(before.server.name)
        owned = list(before.owners.values()).count(before.server.name)
        return (
            f"{moved_off} of {owned}, {len(previous_owners) - moved_off} other"
        )

    async def check_orders(self) -> None:
        """Check that no order ran twice and that each answered order ran."""
        runs = await self.deployment.count_runs()
        run_twice = {key: count for key, count in runs.items() if count > 1}
        not_run = self.callers.answered_orders - runs.keys()
        print(
            f"\norders answered {len(self.callers.answered_orders)}, "
            f"run {len(runs)}, run more than once {len(run_twice)}, "
            f"answered but not run {len(not_run)}, "
            f"given up without an answer {self.callers.given_up}"
        )
        if run_twice:
            self.violations.append(f"run more than once: {run_twice}")
        if not_run:
            self.violations.append(f"answered but not run: {not_run}")


EVENTS = (
    ("leader killed", FaultRunner.crash_leader),
    ("standby killed", FaultRunner.crash_standby),
    ("server killed", FaultRunner.crash_server),
    ("leader and server killed", FaultRunner.crash_leader_and_server),
    ("leader frozen for 5 s", FaultRunner.freeze_leader),
    ("server frozen for 5 s", FaultRunner.freeze_server),
    ("table service down for 10 s", FaultRunner.take_table_service_down),
    ("leader stopped (SIGTERM)", FaultRunner.stop_leader),
    ("leader stopped, second SIGTERM", FaultRunner.stop_twice),
)

_TABLE_HEADER = (
    "event",
    "unserved ms",
    "answered",
    "not_run",
    "unknown",
    "lost",
    "refused",
    "moved off the fullest server, and other moves",
)


async def measure(folder: pathlib.Path) -> list[str]:
    """Run all events; return the violated guarantees."""
    deployment = process_deployment.Deployment(folder=folder)
    callers = process_callers.Callers(deployment=deployment)
    runner = FaultRunner(deployment=deployment, callers=callers)
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
    try:
        await deployment.start()
        callers.start()
        print(
            f"| {' | '.join(_TABLE_HEADER)} |\n{'|---' * len(_TABLE_HEADER)}|",
            flush=True,
        )
        for name, act in EVENTS:
            await runner.run(name, act)
        await runner.settle()
        await callers.stop()
        await runner.check_orders()
    finally:
        try:
            await callers.stop()
        finally:
            await deployment.stop()
    return runner.violations + callers.violations


async def run(folder: pathlib.Path) -> int:
    """Run all events within the time limit; return the exit status."""
    started = time.monotonic()
    load = os.getloadavg()[0]
    async with asyncio.timeout(RUN_TIMEOUT_S):
        violations = await measure(folder)
    print(
        f"took {time.monotonic() - started:.0f} s; load average "
        f"{load:.1f} before, {os.getloadavg()[0]:.1f} after, "
        f"{os.cpu_count()} processors"
    )
    for violation in violations:
        print(f"BROKEN: {violation}")
    return 1 if violations else 0


def main() -> int:
    """Run in the given folder, or in a temporary one."""
    with contextlib.ExitStack() as stack:
        if len(sys.argv) > 1:
            folder = pathlib.Path(sys.argv[1])
            folder.mkdir(parents=True)
        else:
            name = stack.enter_context(tempfile.TemporaryDirectory())
            folder = pathlib.Path(name)
        return asyncio.run(run(folder))


if __name__ == "__main__":
    sys.exit(main())
