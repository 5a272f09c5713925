"""Every cell of the fault matrix gives the verdict shown on the page."""

import pathlib

import pytest

from tarragonhinge.faults import _known_red
from tarragonhinge.faults import _matrix
from tarragonhinge.faults import _page

PROCESSES = 4
PAGE = pathlib.Path(__file__).parents[3] / "docs" / "FAULTS.md"
CELLS = {cell.name: cell for cell in _matrix.list_ci_cells()}


@pytest.fixture(scope="module")
def verdicts():
    return _matrix.run_cells(CELLS.values(), processes=PROCESSES)


@pytest.fixture(scope="module")
def shown():
    return _page.read_verdicts(PAGE.read_text())


@pytest.mark.parametrize("name", CELLS)
def test_cell(name, verdicts, shown):
    verdict = verdicts[name]
    assert shown[name] == verdict.state.value, verdict.text
    issue = _known_red.read_known_red().get(name)
    if issue is None:
        assert verdict.state is not _matrix.State.RED, verdict.text
        return
    assert verdict.state is _matrix.State.RED, "KNOWN-RED.txt lists it"
    pytest.xfail(f"known red, issue {issue}: {verdict.text}")


def test_every_step_and_fault_is_shown():
    _matrix.check_completeness()


def test_known_red_cells_exist():
    assert _known_red.read_known_red().keys() <= CELLS.keys()
