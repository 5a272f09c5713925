"""Demonstration of a small deployment in one process, on loopback."""

from tarragonhinge.demo._deployment import find_free_address
from tarragonhinge.demo._steps import run_demo

__all__ = ["find_free_address", "run_demo"]
