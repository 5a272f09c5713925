"""Losses, freezes, outages and stops, with real processes on loopback.

Run ``python benchmarks/process_faults.py [FOLDER]``; the folder keeps
settings and logs.  A platform, four backend servers and four daemons run as
processes of their own.  Each event starts from a settled state.  Prints a
Markdown table; the exit status is 1 if a promise was broken.  It takes under
90 s.
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

#: Bound on everything but the end of the last orders and processes.
LIMIT_S = 80.0

#: Bound on the wait for a settled state.
SETTLE_S = 12.0
CALM_S = 0.6

#: A key that was answered within this time is served.
SERVED_S = 0.7

FREEZE_S = 5.0
OUTAGE_S = 10.0

#: Both limits are beyond any stop here; a stop that takes longer hangs.
STOP_S = 12.0
SECOND_SIGNAL_S = 0.3


@dataclasses.dataclass(frozen=True, kw_only=True)
class Before:
    """The settled state that an event meets.

    Parameters
    ----------
    leader, standby, server : Process
        The leader, its standby, and the server with most partitions.
    owners : dict
        Owner of each partition.
    """

    leader: process_deployment.Process
    standby: process_deployment.Process
    server: process_deployment.Process
    owners: dict[str, str]


class Bench:
    """Puts the processes through one event after the other.

    Parameters
    ----------
    site : Site
        The processes.
    callers : Callers
        Their callers.
    """

    def __init__(
        self,
        *,
        site: process_deployment.Site,
        callers: process_callers.Callers,
    ) -> None:
        self.site = site
        self.callers = callers
        self.broken: list[str] = []

    async def settle(self) -> Before:
        """Wait until all run, are ready, and all keys are served."""
        self.site.start_lost()
        until = time.monotonic() + SETTLE_S
        calm_since = time.monotonic()
        while time.monotonic() < until:
            before = await self._find_settled()
            if before is None:
                calm_since = time.monotonic()
            elif time.monotonic() - calm_since > CALM_S:
                return before
            await asyncio.sleep(0.1)
        raise RuntimeError(f"not settled: {await self.site.find_leader()}")

    async def _find_settled(self) -> Before | None:
        leader, state = await self.site.find_leader()
        if leader is None or not all(p.ready for p in self.site.daemons):
            return None
        alive = set(state["servers"].values()) == {"reachable"}
        if not state["standby"] or not alive or state["held"]:
            return None
        if not state["confirmed"] or not self.is_served():
            return None
        owners = state["owners"]
        names = list(owners.values())
        server = max(sorted(set(names)), key=names.count)
        return Before(
            leader=leader,
            standby=self.site.find(state["standby"]),
            server=self.site.find(server),
            owners=owners,
        )

    def is_served(self) -> bool:
        """Return whether all keys were answered just now."""
        oldest = min(self.callers.served_at.values())
        return time.monotonic() - oldest < SERVED_S

    async def lose(self, *processes: process_deployment.Process) -> None:
        """Kill processes and watch what their loss costs."""
        for process in processes:
            process.send(signal.SIGKILL)
        await asyncio.sleep(4.0)

    async def lose_leader(self, before: Before) -> None:
        """Kill the leader."""
        await self.lose(before.leader)

    async def lose_standby(self, before: Before) -> None:
        """Kill the standby."""
        await self.lose(before.standby)

    async def lose_server(self, before: Before) -> None:
        """Kill the server with most partitions."""
        await self.lose(before.server)

    async def lose_both(self, before: Before) -> None:
        """Kill leader and server together."""
        await self.lose(before.leader, before.server)

    async def freeze(self, process: process_deployment.Process) -> None:
        """Freeze a process, thaw it, and watch what it does on waking."""
        process.send(signal.SIGSTOP)
        await asyncio.sleep(FREEZE_S)
        process.send(signal.SIGCONT)
        await asyncio.sleep(1.5)

    async def freeze_leader(self, before: Before) -> None:
        """Freeze the leader."""
        await self.freeze(before.leader)

    async def freeze_server(self, before: Before) -> None:
        """Freeze the server with most partitions."""
        await self.freeze(before.server)

    async def lose_table(self, before: Before) -> None:
        """Take the platform's table service down for a while."""
        control = f"{self.site.platform.address}/control"
        if await self.site.ask(f"{control}/down", "POST") is None:
            raise RuntimeError("the platform could not be switched")
        await asyncio.sleep(OUTAGE_S)
        if await self.site.ask(f"{control}/up", "POST") is None:
            raise RuntimeError("the platform could not be switched")
        await asyncio.sleep(1.0)

    async def stop_leader(self, before: Before) -> None:
        """Stop the leader gracefully; nothing may be cut off."""
        before.leader.send(signal.SIGTERM)
        status = await before.leader.wait(STOP_S)
        await asyncio.sleep(0.5)
        if status != 0:
            self.broken.append(f"graceful stop: exit status {status}")
        if "cut_off=0" not in before.leader.log.read_text():
            self.broken.append("graceful stop: the log tells of cut requests")
        if self.count_cut():
            self.broken.append(
                f"graceful stop: cut {self.count_cut()} requests: "
                f"{dict(self.callers.outcomes)}"
            )

    async def stop_twice(self, before: Before) -> None:
        """Send the leader a second SIGTERM during its graceful stop."""
        before.leader.send(signal.SIGTERM)
        await asyncio.sleep(SECOND_SIGNAL_S)
        before.leader.send(signal.SIGTERM)
        status = await before.leader.wait(STOP_S)
        await asyncio.sleep(3.0)
        if status != 1:
            self.broken.append(f"second SIGTERM: exit status {status}")

    def count_cut(self) -> int:
        """Return the requests that were cut off or got no clear answer."""
        outcomes = self.callers.outcomes
        names = ("unknown", "lost", "refused", "no_entry", "none")
        return sum(outcomes[name] for name in names)

    async def run(
        self, name: str, act: Callable[["Bench", Before], Awaitable[None]]
    ) -> None:
        """Run one event from a settled state and print its row."""
        before = await self.settle()
        self.callers.begin()
        await act(self, before)
        longest_ms = self.callers.find_longest_ms()
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

    async def _count_changed(self, before: Before) -> str:
        leader, state = await self.site.find_leader()
        if leader is None:
            return "no leader"
        owners = state["owners"]
        former = [
            owner
            for partition, owner in before.owners.items()
            if owners.get(partition) != owner
        ]
        own = former.count(before.server.name)
        held = list(before.owners.values()).count(before.server.name)
        return f"{own} of {held}, {len(former) - own} other"

    async def check_orders(self) -> None:
        """Check that every order ran at most once, if answered just once."""
        runs = await self.site.count_runs()
        twice = {key: count for key, count in runs.items() if count > 1}
        missing = self.callers.answered_orders - runs.keys()
        print(
            f"\norders answered {len(self.callers.answered_orders)}, "
            f"run {len(runs)}, run more than once {len(twice)}, "
            f"answered but not run {len(missing)}, "
            f"given up without an answer {self.callers.given_up}"
        )
        if twice:
            self.broken.append(f"run more than once: {twice}")
        if missing:
            self.broken.append(f"answered but not run: {missing}")


EVENTS = (
    ("leader killed", Bench.lose_leader),
    ("standby killed", Bench.lose_standby),
    ("server killed", Bench.lose_server),
    ("leader and server killed", Bench.lose_both),
    ("leader frozen for 5 s", Bench.freeze_leader),
    ("server frozen for 5 s", Bench.freeze_server),
    ("table service down for 10 s", Bench.lose_table),
    ("leader stopped (SIGTERM)", Bench.stop_leader),
    ("leader stopped, second SIGTERM", Bench.stop_twice),
)

_HEAD = (
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
    """Run all events; return the promises that were broken."""
    site = process_deployment.Site(folder=folder)
    callers = process_callers.Callers(site=site)
    bench = Bench(site=site, callers=callers)
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
    try:
        await site.start()
        callers.start()
        print(f"| {' | '.join(_HEAD)} |\n{'|---' * len(_HEAD)}|", flush=True)
        for name, act in EVENTS:
            await bench.run(name, act)
        await bench.settle()
        await callers.stop()
        await bench.check_orders()
    finally:
        try:
            await callers.stop()
        finally:
            await site.stop()
    return bench.broken + callers.broken


async def run(folder: pathlib.Path) -> int:
    """Measure within the time limit; return the exit status."""
    started = time.monotonic()
    load = os.getloadavg()[0]
    async with asyncio.timeout(LIMIT_S):
        broken = await measure(folder)
    print(
        f"took {time.monotonic() - started:.0f} s; load average "
        f"{load:.1f} before, {os.getloadavg()[0]:.1f} after, "
        f"{os.cpu_count()} processors"
    )
    for promise in broken:
        print(f"BROKEN: {promise}")
    return 1 if broken else 0


def main() -> int:
    """Run in the folder that is named, or in one that is removed."""
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
