"""Fault matrix: tests of the production code with each fault at each step."""

from tarragonhinge.faults._cell import Cell
from tarragonhinge.faults._cell import run_cell
from tarragonhinge.faults import _dispatch_steps  # noqa: F401
from tarragonhinge.faults import _edit_steps  # noqa: F401
from tarragonhinge.faults._fault import FAULTS
from tarragonhinge.faults._guarantee import Guarantee
from tarragonhinge.faults._guarantee import Violation
from tarragonhinge.faults import _membership_steps  # noqa: F401
from tarragonhinge.faults import _move_steps  # noqa: F401
from tarragonhinge.faults import _ownership_steps  # noqa: F401
from tarragonhinge.faults import _platform_faults  # noqa: F401
from tarragonhinge.faults import _process_faults  # noqa: F401
from tarragonhinge.faults import _server_faults  # noqa: F401
from tarragonhinge.faults._step import STEPS

__all__ = [
    "FAULTS",
    "STEPS",
    "Cell",
    "Guarantee",
    "Violation",
    "run_cell",
]
