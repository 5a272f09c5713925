"""Command line interface of the fault matrix."""

import pathlib
import sys

import fire

from tarragonhinge import faults
from tarragonhinge.faults import _matrix
from tarragonhinge.faults import _page

#: Default number of worker processes.
PROCESSES = 4


class Commands:
    """Runs cells of the fault matrix.

    Parameters
    ----------
    processes : int
        Number of worker processes, each of which runs one cell at a time.
    """

    def __init__(self, processes: int = PROCESSES) -> None:
        self._processes = processes

    def page(self, path: str = "docs/FAULTS.md") -> None:
        """Run the cells of the test suite and write the page of verdicts."""
        verdicts = self._run(_matrix.list_ci_cells())
        pathlib.Path(path).write_text(_page.format_page(verdicts))

    def twice(self) -> None:
        """Run each fault twice in a row at every step."""
        self._finish(_matrix.list_twice_cells(_matrix.STEP_ORDER))

    def pairs(self) -> None:
        """Run each pair of faults at every step."""
        self._finish(_matrix.list_all_pairs())

    def cell(self, step: str, *names: str, strikes: int = 1) -> None:
        """Run one cell and print the violated guarantees."""
        cell = faults.Cell(step=step, faults=names, injection_count=strikes)
        for violation in faults.run_cell(cell):
            print(f"{violation.guarantee.value}: {violation.text}")

    def _finish(self, cells: list[faults.Cell]) -> None:
        """Run cells and exit with status 1 if one of them is red."""
        verdicts = self._run(cells)
        red = [v for v in verdicts.values() if v.state is _matrix.State.RED]
        sys.exit(bool(red))

    def _run(self, cells: list[faults.Cell]) -> dict[str, _matrix.Verdict]:
        verdicts = _matrix.run_cells(cells, processes=self._processes)
        for name, verdict in verdicts.items():
            if verdict.state is _matrix.State.RED:
                print(f"red {name}: {verdict.text}")
        for state in _matrix.State:
            count = sum(v.state is state for v in verdicts.values())
            print(f"{state.value}: {count}")
        return verdicts


if __name__ == "__main__":
    fire.Fire(Commands)
