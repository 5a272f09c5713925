"""Runs one cell of the fault matrix."""

import asyncio
import dataclasses

from tarragonhinge import base
from tarragonhinge.faults import _ending
from tarragonhinge.faults import _fault
from tarragonhinge.faults import _load
from tarragonhinge.faults import _promise
from tarragonhinge.faults import _step
from tarragonhinge.faults import _trial
from tarragonhinge import testing

#: How long the deployment runs before a step is made to happen.
SETTLE_MS = 1500

#: How long a step may take to be reached.
REACH_LIMIT_MS = 4000

#: Target of the users: keys are served again after a loss.
SERVED_MS = 2000

#: Part of the target in which callers ask.
ASK_MS = 900

#: Pause between two strikes of a fault that strikes twice.
AGAIN_MS = 200


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Cell:
    """Faults at a step.

    Parameters
    ----------
    step : str
        Name of the step.
    faults : tuple of str
        Names of the faults that strike at once.
    strikes : int
        How many times they strike, one after the other.
    """

    step: str
    faults: tuple[str, ...]
    strikes: int = 1

    @property
    def name(self) -> str:
        """Return the cell's name in tests and in KNOWN-RED.txt."""
        faults = "+".join(self.faults)
        return f"{self.step}/{faults}" + ("/twice" * (self.strikes - 1))

    def explain_missing(self) -> str:
        """Return why the cell is impossible, or nothing."""
        for name in self.faults:
            reason = _fault.FAULTS.find(name)().explain_missing(self.step)
            if reason:
                return reason
        return ""


class CellRun:
    """One run of a cell.

    Parameters
    ----------
    cell : Cell
        What to run.
    """

    def __init__(self, *, cell: Cell) -> None:
        self.step = _step.STEPS.find(cell.step)()
        self.faults = [_fault.FAULTS.find(name)() for name in cell.faults]
        self.cell = cell
        two_regions = any(fault.two_regions for fault in self.faults)
        self.trial = _trial.Trial(two_regions=two_regions)
        self._struck = asyncio.Event()
        self._place: _trial.Place | None = None

    async def run(self) -> list[_promise.Breach]:
        """Run the cell and return the promises that it saw broken."""
        trial = self.trial
        checking = asyncio.create_task(trial.check_copies())
        trial.load.start()
        if self.step.early:
            self._arm()
        await trial.deployment.start(settle_ms=SETTLE_MS)
        if not self.step.early:
            self._arm()
            await self.step.drive(trial)
        if not await self._wait_struck():
            trial.note(_promise.Promise.REACHED, "the step was not reached")
            return trial.breaches
        await self._endure()
        for _ in range(self.cell.strikes - 1):
            await trial.deployment.wait(AGAIN_MS)
            self._strike()
            await self._endure()
        await self._check_served("healed", trial.load.list_entries())
        await _ending.end_trial(trial)
        checking.cancel()
        return trial.breaches

    def _arm(self) -> None:
        self.trial.probe.on_event = self._look

    def _look(self, seen: testing.ProbeEvent) -> None:
        if self._place is not None:
            return
        self._place = self.step.find_place(self.trial, seen)
        if self._place is not None:
            self.trial.probe.on_event = None
            self._strike()

    def _strike(self) -> None:
        for fault in self.faults:
            fault.strike(self.trial, self._place)
        self.step.finish(self.trial)
        self._struck.set()

    async def _wait_struck(self) -> bool:
        try:
            async with asyncio.timeout(REACH_LIMIT_MS / base.MS_PER_S):
                await self._struck.wait()
        except TimeoutError:
            return False
        return True

    async def _endure(self) -> None:
        """Wait while the faults last, then heal them."""
        hold_ms = max(fault.hold_ms for fault in self.faults)
        if self._must_serve():
            hit = [name for fault in self.faults for name in fault.hit]
            entries = self.trial.load.list_entries()
            sound = [n for n in entries if n.address not in hit]
            await self._check_served("struck", sound)
            await self.trial.deployment.wait(hold_ms - SERVED_MS)
        else:
            await self.trial.deployment.wait(hold_ms)
        for fault in self.faults:
            fault.heal(self.trial)

    def _must_serve(self) -> bool:
        """Return whether keys are to be served while the fault lasts."""
        alone = len(self.faults) == 1 and self.cell.strikes == 1
        return alone and self.faults[0].loses and not self.step.late_reason

    async def _check_served(
        self, since: str, entries: list[testing.Node]
    ) -> None:
        """Check that all keys are served once the target has passed."""
        trial = self.trial
        await trial.deployment.wait(SERVED_MS - ASK_MS)
        pairs = [(n, key) for n in entries for key in trial.load.keys]
        served = await asyncio.gather(*(self._ask(*pair) for pair in pairs))
        missing = [
            f"{node.address}:{key}"
            for (node, key), answered in zip(pairs, served, strict=True)
            if not answered
        ]
        if missing or not pairs:
            trial.note(
                _promise.Promise.SERVED,
                f"not served {SERVED_MS} ms after it was {since}: {missing}",
            )

    async def _ask(self, node: testing.Node, key: str) -> bool:
        """Repeat a read until it is answered; False after the target."""
        request = self.trial.load.make_request("GET", key)
        try:
            async with asyncio.timeout(ASK_MS / base.MS_PER_S):
                while True:
                    outcome = await self.trial.load.attempt(node, request)
                    if isinstance(outcome, base.Answered):
                        return True
                    pause_ms = _load.choose_pause_ms(outcome)
                    await self.trial.deployment.wait(pause_ms)
        except TimeoutError:
            return False


def run_cell(cell: Cell) -> list[_promise.Breach]:
    """Run a cell on manual time; return the promises seen broken."""

    async def run() -> list[_promise.Breach]:
        return await CellRun(cell=cell).run()

    return testing.run_manual(run())
