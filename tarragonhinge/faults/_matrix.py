"""Which cells there are, and how a set of them is run."""

from collections.abc import Iterable
from concurrent import futures
import dataclasses
import enum
import itertools

from tarragonhinge.faults import _cell
from tarragonhinge.faults import _fault
from tarragonhinge.faults import _promise
from tarragonhinge.faults import _step

#: Steps by the order in which the page shows them.
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

#: Faults by the order in which the page shows them.
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

#: Steps at which each fault strikes twice on every change; the longer
#: command takes all steps.
TWICE_STEPS = (
    "renew",
    "takeover",
    "move-record",
    "dispatch-sent",
    "edit-written",
    "stopping",
)

#: Pairs of faults that strike at once on every change, each at a step
#: where both matter; the longer command takes all pairs at all steps.
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
    """How a cell ended."""

    HOLDS = "holds"
    RED = "red"
    MISSING = "n/a"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Verdict:
    """Result of a cell.

    Parameters
    ----------
    cell : Cell
        The cell.
    state : State
        How it ended.
    text : str
        The broken promises, or why the cell is impossible.
    """

    cell: _cell.Cell
    state: State
    text: str = ""


def list_single_cells() -> list[_cell.Cell]:
    """Return each fault at each step."""
    return [
        _cell.Cell(step=step, faults=(fault,))
        for step in STEP_ORDER
        for fault in FAULT_ORDER
    ]


def list_twice_cells(
    steps: Iterable[str] = TWICE_STEPS,
) -> list[_cell.Cell]:
    """Return each fault twice in a row at some steps."""
    return [
        _cell.Cell(step=step, faults=(fault,), strikes=2)
        for step in steps
        for fault in FAULT_ORDER
    ]


def list_chosen_pairs() -> list[_cell.Cell]:
    """Return the pairs that run on every change."""
    return [
        _cell.Cell(step=step, faults=(one, other))
        for step, one, other in CHOSEN_PAIRS
    ]


def list_all_pairs() -> list[_cell.Cell]:
    """Return each pair of faults at each step."""
    return [
        _cell.Cell(step=step, faults=pair)
        for step in STEP_ORDER
        for pair in itertools.combinations(FAULT_ORDER, 2)
    ]


def list_usual_cells() -> list[_cell.Cell]:
    """Return the cells that run on every change."""
    return [
        *list_single_cells(),
        *list_twice_cells(),
        *list_chosen_pairs(),
    ]


def check_order() -> None:
    """Check that the page shows all registered steps and faults.

    Raises
    ------
    AssertionError
        If one is missing.
    """
    assert sorted(STEP_ORDER) == _step.STEPS.names()
    assert sorted(FAULT_ORDER) == _fault.FAULTS.names()


def judge_cell(cell: _cell.Cell) -> Verdict:
    """Run a cell, unless it is impossible, and return its verdict."""
    reason = cell.explain_missing()
    if reason:
        return Verdict(cell=cell, state=State.MISSING, text=reason)
    try:
        breaches = _cell.run_cell(cell)
    except Exception as error:
        return Verdict(cell=cell, state=State.RED, text=repr(error))
    if not breaches:
        return Verdict(cell=cell, state=State.HOLDS)
    return Verdict(
        cell=cell, state=State.RED, text=_describe_breaches(breaches)
    )


def _describe_breaches(breaches: list[_promise.Breach]) -> str:
    """Return the first breach of each promise."""
    first = {breach.promise: breach for breach in reversed(breaches)}
    return "; ".join(f"{p.value}: {b.text}" for p, b in first.items())


def run_cells(
    cells: Iterable[_cell.Cell], *, processes: int
) -> dict[str, Verdict]:
    """Return the verdicts of cells by name, in order."""
    with futures.ProcessPoolExecutor(processes) as pool:
        verdicts = pool.map(judge_cell, cells, chunksize=4)
        return {verdict.cell.name: verdict for verdict in verdicts}
