"""Fault soak: runs real instance processes and injects faults."""

from tarragonhinge.platform.soak._run import run_seed
from tarragonhinge.platform.soak._run import run_seeds
from tarragonhinge.platform.soak._run import SoakOptions
from tarragonhinge.platform.soak._run import SoakResult

__all__ = ["SoakOptions", "SoakResult", "run_seed", "run_seeds"]
