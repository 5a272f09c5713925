"""Interface between an instance and the relay."""

import abc

from tarragonhinge.relay import _messages


class Exchange(abc.ABC):
    """Provides an instance's reports and receives the loads of others."""

    @abc.abstractmethod
    def make_report(self) -> _messages.Report:
        """Return the requests and service times since the last report."""

    @abc.abstractmethod
    def make_loads(self) -> _messages.Loads:
        """Return what responses have shown of servers since the last call."""

    def report_again(self) -> None:  # noqa: B027
        """Prepare for another coordinator, which may lack earlier reports."""

    @abc.abstractmethod
    def apply_loads(self, loads: _messages.Loads) -> None:
        """Apply server loads and limits that other instances observed."""
