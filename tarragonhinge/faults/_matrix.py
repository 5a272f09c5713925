"""Lists the cells of the fault matrix and runs them in parallel."""

from collections.abc import Iterable
from concurrent import futures
import dataclasses
import enum
import itertools

from tarragonhinge.faults import _cell
from tarragonhinge.faults import _fault
from tarragonhinge.faults import _guarantee
from tarragonhinge.faults import _step

#: Names of the steps in the order of the page.
STEP_ORDER = (
    "claim",
    "grant",
    "renew",
    "acknowledgement",
    "takeover",
    "move-hold",
    "move-drain",
    "move-revoke",
    "move-record",
    "move-grant",
    "dispatch-received",
    "dispatch-forwarded",
    "dispatch-admitted",
    "dispatch-sent",
    "dispatch-answered",
    "dispatch-remembered",
    "dispatch-replayed",
    "edit-proposed",
    "edit-written",
    "edit-acknowledged",
    "edit-spread",
    "edit-in-force",
    "joining",
    "leaving",
    "stopping",
    "draining",
)

#: Names of the faults in the order of the page.
FAULT_ORDER = (
    "process-lost",
    "process-paused",
    "lease-lapsed",
    "cut-out",
    "cut-in",
    "cut-both",
    "server-lost",
    "server-frozen",
    "server-cold",
    "server-shedding",
    "server-misreporting",
    "store-down",
    "store-slow",
    "store-answer-lost",
    "racing-edits",
    "list-lagging",
    "region-cut",
)

#: Steps at which the test suite injects each fault twice. The command
#: ``twice`` covers all steps.
TWICE_STEPS = (
    "renew",
    "takeover",
    "move-record",
    "dispatch-sent",
    "edit-written",
    "stopping",
)

#: Steps and pairs of simultaneous faults in the test suite, chosen such
#: that both faults affect the step. The command ``pairs`` covers all pairs
#: at all steps.
CHOSEN_PAIRS = (
    ("claim", "process-lost", "store-answer-lost"),
    ("claim", "list-lagging", "store-slow"),
    ("renew", "process-lost", "store-down"),
    ("renew", "cut-both", "store-slow"),
    ("renew", "process-lost", "server-lost"),
    ("renew", "lease-lapsed", "server-frozen"),
    ("acknowledgement", "process-lost", "list-lagging"),
    ("acknowledgement", "cut-out", "store-down"),
    ("takeover", "store-answer-lost", "server-lost"),
    ("takeover", "store-slow", "process-paused"),
    ("move-hold", "server-lost", "process-lost"),
    ("move-revoke", "server-frozen", "lease-lapsed"),
    ("move-record", "store-answer-lost", "process-lost"),
    ("move-record", "store-answer-lost", "process-paused"),
    ("move-grant", "server-cold", "cut-in"),
    ("dispatch-admitted", "lease-lapsed", "server-frozen"),
    ("dispatch-sent", "process-lost", "server-cold"),
    ("dispatch-answered", "process-lost", "list-lagging"),
    ("dispatch-replayed", "cut-in", "racing-edits"),
    ("edit-written", "store-answer-lost", "racing-edits"),
    ("edit-written", "process-lost", "racing-edits"),
    ("edit-spread", "store-down", "process-lost"),
    ("joining", "list-lagging", "process-lost"),
    ("stopping", "store-answer-lost", "process-paused"),
    ("draining", "server-misreporting", "process-lost"),
)


class State(enum.Enum):
    """State of a cell: passed, failed, or not possible."""

    HOLDS = "holds"
    RED = "red"
    IMPOSSIBLE = "n/a"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Verdict:
    """Result of a cell.

    Parameters
    ----------
    cell : Cell
        The cell.
    state : State
        Result of the run.
    text : str
        Violated guarantees, or the reason why the cell is impossible.
    """

    cell: _cell.Cell
    state: State
    text: str = ""


def list_single_cells() -> list[_cell.Cell]:
    """Return the cells with each single fault at each step."""
    return [
        _cell.Cell(step=step, faults=(fault,))
        for step in STEP_ORDER
        for fault in FAULT_ORDER
    ]


def list_twice_cells(
    steps: Iterable[str] = TWICE_STEPS,
) -> list[_cell.Cell]:
    """Return the cells with each fault twice in a row at given steps."""
    return [
        _cell.Cell(step=step, faults=(fault,), injection_count=2)
        for step in steps
        for fault in FAULT_ORDER
    ]


def list_chosen_pairs() -> list[_cell.Cell]:
    """Return the cells with pairs of faults in the test suite."""
    return [
        _cell.Cell(step=step, faults=(one, other))
        for step, one, other in CHOSEN_PAIRS
    ]


def list_all_pairs() -> list[_cell.Cell]:
    """Return the cells with each pair of faults at each step."""
    return [
        _cell.Cell(step=step, faults=pair)
        for step in STEP_ORDER
        for pair in itertools.combinations(FAULT_ORDER, 2)
    ]


def list_ci_cells() -> list[_cell.Cell]:
    """Return the cells of the test suite, which CI runs."""
    return [
        *list_single_cells(),
        *list_twice_cells(),
        *list_chosen_pairs(),
    ]


def check_completeness() -> None:
    """Check that the page lists all registered steps and faults.

    Raises
    ------
    AssertionError
        If a step or a fault is missing.
    """
    assert sorted(STEP_ORDER) == _step.STEPS.names()
    assert sorted(FAULT_ORDER) == _fault.FAULTS.names()


def evaluate_cell(cell: _cell.Cell) -> Verdict:
    """Run a cell, unless it is impossible, and return its verdict.

    An unhandled exception in the run makes the cell red.
    """
    reason = cell.explain_impossible()
    if reason:
        return Verdict(cell=cell, state=State.IMPOSSIBLE, text=reason)
    try:
        violations = _cell.run_cell(cell)
    except Exception as error:
        return Verdict(cell=cell, state=State.RED, text=repr(error))
    if not violations:
        return Verdict(cell=cell, state=State.HOLDS)
    return Verdict(
        cell=cell, state=State.RED, text=_describe_violations(violations)
    )


def _describe_violations(violations: list[_guarantee.Violation]) -> str:
    """Return a text with the first violation of each guarantee."""
    first = {
        violation.guarantee: violation for violation in reversed(violations)
    }
    return "; ".join(
        f"{guarantee.value}: {earliest.text}"
        for guarantee, earliest in first.items()
    )


def run_cells(
    cells: Iterable[_cell.Cell], *, processes: int
) -> dict[str, Verdict]:
    """Run cells in worker processes and return their verdicts by name."""
    with futures.ProcessPoolExecutor(processes) as pool:
        verdicts = pool.map(evaluate_cell, cells, chunksize=4)
        return {verdict.cell.name: verdict for verdict in verdicts}
