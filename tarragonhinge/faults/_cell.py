"""Execution of one cell of the fault matrix."""

import asyncio
import dataclasses

from tarragonhinge import base
from tarragonhinge.faults import _fault
from tarragonhinge.faults import _final_checks
from tarragonhinge.faults import _guarantee
from tarragonhinge.faults import _load
from tarragonhinge.faults import _step
from tarragonhinge.faults import _trial
from tarragonhinge import testing

#: Time that the deployment runs before the step is triggered.
SETTLE_MS = 1500

#: Timeout for the step to be reached.
STEP_TIMEOUT_MS = 4000

#: Target time within which keys are served again after a loss.
SERVED_TARGET_MS = 2000

#: Duration of the reads that check, at the end of the target time, whether
#: keys are served.
READ_WINDOW_MS = 900

#: Delay between the healing of a fault and its second injection.
REPEAT_DELAY_MS = 200


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Cell:
    """Cell of the matrix: faults that are injected at a step.

    Parameters
    ----------
    step : str
        Name of the step.
    faults : tuple of str
        Names of the faults, which are injected simultaneously.
    injection_count : int
        Number of consecutive injections; the faults are healed after each.
    """

    step: str
    faults: tuple[str, ...]
    injection_count: int = 1

    @property
    def name(self) -> str:
        """Return the cell's name in tests and in KNOWN-RED.txt."""
        faults = "+".join(self.faults)
        return f"{self.step}/{faults}" + (
            "/twice" * (self.injection_count - 1)
        )

    def explain_impossible(self) -> str:
        """Return why the cell is impossible.

        Returns an empty string if it is possible.
        """
        for name in self.faults:
            reason = _fault.FAULTS.find(name)().explain_impossible(self.step)
            if reason:
                return reason
        return ""


class CellRun:
    """One run of a cell.

    Parameters
    ----------
    cell : Cell
        Cell to run.
    """

    def __init__(self, *, cell: Cell) -> None:
        self.step = _step.STEPS.find(cell.step)()
        self.faults = [_fault.FAULTS.find(name)() for name in cell.faults]
        self.cell = cell
        two_regions = any(fault.two_regions for fault in self.faults)
        self.trial = _trial.Trial(two_regions=two_regions)
        self._injected = asyncio.Event()
        self._target: _trial.FaultTarget | None = None

    async def run(self) -> list[_guarantee.Violation]:
        """Run the cell and return the violations that it found."""
        trial = self.trial
        checking = asyncio.create_task(trial.check_continuously())
        trial.load.start()
        if self.step.during_startup:
            self._watch_for_step()
        await trial.deployment.start(settle_ms=SETTLE_MS)
        if not self.step.during_startup:
            self._watch_for_step()
            await self.step.trigger(trial)
        if not await self._wait_injected():
            trial.record_violation(
                _guarantee.Guarantee.REACHED, "the step was not reached"
            )
            return trial.violations
        await self._run_faults()
        for _ in range(self.cell.injection_count - 1):
            await trial.deployment.wait(REPEAT_DELAY_MS)
            self._inject()
            await self._run_faults()
        await self._check_served("healed", trial.load.list_entries())
        await _final_checks.run_final_checks(trial)
        checking.cancel()
        return trial.violations

    def _watch_for_step(self) -> None:
        self.trial.probe.on_event = self._on_event

    def _on_event(self, event: testing.ProbeEvent) -> None:
        if self._target is not None:
            return
        self._target = self.step.find_target(self.trial, event)
        if self._target is not None:
            self.trial.probe.on_event = None
            self._inject()

    def _inject(self) -> None:
        for fault in self.faults:
            fault.inject(self.trial, self._target)
        self.step.clean_up(self.trial)
        self._injected.set()

    async def _wait_injected(self) -> bool:
        try:
            async with asyncio.timeout(STEP_TIMEOUT_MS / base.MS_PER_S):
                await self._injected.wait()
        except TimeoutError:
            return False
        return True

    async def _run_faults(self) -> None:
        """Wait for the duration of the faults, then heal them."""
        duration_ms = max(fault.duration_ms for fault in self.faults)
        if self._must_serve():
            affected_nodes = [
                name for fault in self.faults for name in fault.affected_nodes
            ]
            entries = self.trial.load.list_entries()
            unaffected = [
                n for n in entries if n.address not in affected_nodes
            ]
            await self._check_served("struck", unaffected)
            await self.trial.deployment.wait(duration_ms - SERVED_TARGET_MS)
        else:
            await self.trial.deployment.wait(duration_ms)
        for fault in self.faults:
            fault.heal(self.trial)

    def _must_serve(self) -> bool:
        """Return whether keys have to be served during the fault."""
        is_single = len(self.faults) == 1 and self.cell.injection_count == 1
        return (
            is_single
            and self.faults[0].causes_loss
            and not self.step.exemption_reason
        )

    async def _check_served(
        self, since: str, entries: list[testing.Node]
    ) -> None:
        """Check that all keys are served at the end of the target time.

        Parameters
        ----------
        since : str
            Start of the target time: "struck" for the injection of the
            fault, "healed" for its end.
        entries : list of Node
            Instances that have to serve all keys.
        """
        trial = self.trial
        await trial.deployment.wait(SERVED_TARGET_MS - READ_WINDOW_MS)
        pairs = [(n, key) for n in entries for key in trial.load.keys]
        served = await asyncio.gather(
            *(self._read_key(*pair) for pair in pairs)
        )
        missing = [
            f"{node.address}:{key}"
            for (node, key), answered in zip(pairs, served, strict=True)
            if not answered
        ]
        if missing or not pairs:
            trial.record_violation(
                _guarantee.Guarantee.SERVED,
                f"not served {SERVED_TARGET_MS} ms after it was {since}: "
                f"{missing}",
            )

    async def _read_key(self, node: testing.Node, key: str) -> bool:
        """Retry a read until it is answered.

        Returns False if it is not answered within `READ_WINDOW_MS`.
        """
        request = self.trial.load.make_request("GET", key)
        try:
            async with asyncio.timeout(READ_WINDOW_MS / base.MS_PER_S):
                while True:
                    outcome = await self.trial.load.attempt(node, request)
                    if isinstance(outcome, base.Answered):
                        return True
                    delay_ms = _load.get_retry_delay_ms(outcome)
                    await self.trial.deployment.wait(delay_ms)
        except TimeoutError:
            return False


def run_cell(cell: Cell) -> list[_guarantee.Violation]:
    """Run a cell on manual time and return the violations it found."""

    async def run() -> list[_guarantee.Violation]:
        return await CellRun(cell=cell).run()

    return testing.run_manual(run())
