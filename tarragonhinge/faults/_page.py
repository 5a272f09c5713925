"""Generated page with the verdicts of the fault matrix."""

import collections
from collections.abc import Mapping
import re

from tarragonhinge.faults import _fault
from tarragonhinge.faults import _guarantee
from tarragonhinge.faults import _known_red
from tarragonhinge.faults import _matrix
from tarragonhinge.faults import _step

_HEAD = """\
# Fault matrix

Every step of the system crossed with every fault. Each cell runs the real
code on manual time over the small fakes of `tarragonhinge.testing`: three
instances and three servers, a second region where a region is cut, and
callers that send reads and orders with idempotency keys, each repeated until
it is answered. The fault strikes at the step itself, as a message, a write, a
request or a move passes a probe in the fakes; a cell whose step is not
reached fails.

This page is written by a run; the test of the same table fails if a verdict
differs.

    python -m tarragonhinge.faults page --path=docs/FAULTS.md
    pytest tarragonhinge/faults          # the same cells, in CI
    python -m tarragonhinge.faults twice # every fault twice, all steps
    python -m tarragonhinge.faults pairs # every pair of faults, all steps

## What each cell checks

"""

_TARGETS = """
The target of 2 s for a loss is checked twice: from when the fault strikes,
through the instances that it does not concern, if a process or a server is
lost by it; and from when it is healed, through all instances. The first
check does not apply where

"""

_CHECKS = """
After the fault every cell drains a server, edits the table and stops the
leader as planned, all under load, so that no promise is checked in vain.
Agreements for an outage last 6 s in place of 30 s; all other durations are
those in force.

"""


def format_page(verdicts: Mapping[str, _matrix.Verdict]) -> str:
    """Return the page with the verdicts of the cells in the test suite."""
    counts = collections.Counter(v.state.value for v in verdicts.values())
    total = " · ".join(
        f"{counts[state.value]} {state.value}" for state in _matrix.State
    )
    parts = [
        _HEAD,
        "".join(
            f"- {guarantee.value}\n" for guarantee in _guarantee.Guarantee
        ),
        _TARGETS,
        _format_exemptions(),
        _CHECKS,
        f"## Verdicts\n\n{len(verdicts)} cells: {total}\n\n",
        _format_fault_list(),
        "\n### Each fault alone\n\n",
        _format_grid(verdicts, _matrix.list_single_cells()),
        "\n### Each fault twice in a row\n\n",
        _format_grid(verdicts, _matrix.list_twice_cells()),
        "\n### Pairs at once\n\n",
        _format_pairs(verdicts),
        _format_details(verdicts),
    ]
    return "".join(parts)


def read_verdicts(page: str) -> dict[str, str]:
    """Return the verdict of each cell on a page, by cell name."""
    verdicts: dict[str, str] = {}
    injection_count = 1
    for line in page.splitlines():
        if line.startswith("### "):
            injection_count = 2 if "twice" in line else 1
        cells = [cell.strip() for cell in line.strip("|").split("|")]
        if not re.fullmatch("`[a-z-]+`", cells[0]):
            continue
        step = cells[0].strip("`")
        if step not in _matrix.STEP_ORDER:
            continue
        if cells[1].startswith("`"):
            verdicts[f"{step}/{cells[1].strip('`')}"] = cells[2]
            continue
        pairs = zip(_matrix.FAULT_ORDER, cells[1:], strict=True)
        for fault, state in pairs:
            suffix = "/twice" * (injection_count - 1)
            verdicts[f"{step}/{fault}{suffix}"] = state
    return verdicts


def _format_exemptions() -> str:
    reasons: dict[str, list[str]] = {}
    for name in _matrix.STEP_ORDER:
        reason = _step.STEPS.find(name).exemption_reason
        if reason:
            reasons.setdefault(reason, []).append(f"`{name}`")
    lines = [f"- {', '.join(s)}: {r}\n" for r, s in reasons.items()]
    lines.append("- a fault strikes twice, or two strike at once\n")
    return "".join(lines)


def _format_fault_list() -> str:
    lines = ["| | fault | what |\n|---|---|---|\n"]
    for number, name in enumerate(_matrix.FAULT_ORDER, start=1):
        title = _fault.FAULTS.find(name).title
        lines.append(f"| {number} | `{name}` | {title} |\n")
    return "".join(lines)


def _format_grid(verdicts: Mapping[str, _matrix.Verdict], cells) -> str:
    numbers = range(1, len(_matrix.FAULT_ORDER) + 1)
    head = "".join(f" {number} |" for number in numbers)
    lines = [f"| step |{head}\n", "|---" * (len(numbers) + 1) + "|\n"]
    rows: dict[str, list[str]] = {}
    for cell in cells:
        state = verdicts[cell.name].state.value
        rows.setdefault(cell.step, []).append(state)
    for step, states in rows.items():
        lines.append(f"| `{step}` | {' | '.join(states)} |\n")
    return "".join(lines)


def _format_pairs(verdicts: Mapping[str, _matrix.Verdict]) -> str:
    lines = ["| step | faults | verdict |\n|---|---|---|\n"]
    for cell in _matrix.list_chosen_pairs():
        state = verdicts[cell.name].state.value
        faults = "+".join(cell.faults)
        lines.append(f"| `{cell.step}` | `{faults}` | {state} |\n")
    return "".join(lines)


def _format_details(verdicts: Mapping[str, _matrix.Verdict]) -> str:
    known = _known_red.read_known_red()
    lines = ["\n## Red and impossible cells\n\n"]
    for name, verdict in verdicts.items():
        if verdict.state is _matrix.State.RED:
            issue = known.get(name, "none")
            lines.append(f"- `{name}`: red, issue {issue}\n")
        elif verdict.state is _matrix.State.IMPOSSIBLE:
            lines.append(f"- `{name}`: n/a, {verdict.text}\n")
    lines.append("\nWhat a red cell saw stands in `KNOWN-RED.txt`.\n")
    return "".join(lines)
