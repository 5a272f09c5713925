"""Fault matrix: every fault at every step, against the real code."""

from tarragonhinge.faults._cell import Cell
from tarragonhinge.faults._cell import run_cell
from tarragonhinge.faults import _dispatch_steps  # noqa: F401
from tarragonhinge.faults import _edit_steps  # noqa: F401
from tarragonhinge.faults._fault import FAULTS
from tarragonhinge.faults import _member_steps  # noqa: F401
from tarragonhinge.faults import _move_steps  # noqa: F401
from tarragonhinge.faults import _ownership_steps  # noqa: F401
from tarragonhinge.faults import _platform_faults  # noqa: F401
from tarragonhinge.faults import _process_faults  # noqa: F401
from tarragonhinge.faults._promise import Breach
from tarragonhinge.faults._promise import Promise
from tarragonhinge.faults import _server_faults  # noqa: F401
from tarragonhinge.faults._step import STEPS

__all__ = [
    "FAULTS",
    "STEPS",
    "Breach",
    "Cell",
    "Promise",
    "run_cell",
]
