"""What an instance tells the others, and what it learns from them."""

import abc

from tarragonhinge.relay import _messages


class Exchange(abc.ABC):
    """The instance's end of the relay."""

    @abc.abstractmethod
    def make_report(self) -> _messages.Report:
        """Return what was seen since the last report."""

    @abc.abstractmethod
    def make_loads(self) -> _messages.Loads:
        """Return the loads of busy servers seen since the last call."""

    @abc.abstractmethod
    def apply_loads(self, loads: _messages.Loads) -> None:
        """Learn loads that other instances have seen."""
