"""Base class and registry of the steps of the fault matrix."""

import abc

from tarragonhinge import base
from tarragonhinge.faults import _trial
from tarragonhinge import testing


class Step(abc.ABC):
    """Protocol step at which faults are injected.

    Attributes
    ----------
    title : str
        Description of the step.
    during_startup : bool
        Whether the step is taken while the deployment starts.
    exemption_reason : str
        Why keys need not be served within the target time after a loss at
        this step; empty if they must.
    """

    title: str
    during_startup = False
    exemption_reason = ""

    async def trigger(self, trial: _trial.Trial) -> None:  # noqa: B027
        """Trigger the step.

        Does nothing by default, for steps that the load alone triggers.
        """

    def clean_up(self, trial: _trial.Trial) -> None:  # noqa: B027
        """Undo changes that only served to trigger the step."""

    @abc.abstractmethod
    def find_target(
        self, trial: _trial.Trial, event: testing.ProbeEvent
    ) -> _trial.FaultTarget | None:
        """Return the target of the faults if the event is this step.

        Parameters
        ----------
        trial : Trial
            Trial in which the event occurred.
        event : ProbeEvent
            Event that the probe reports.

        Returns
        -------
        FaultTarget or None
            Participants in the step; None for any other event.
        """


#: Steps by name.
STEPS: base.Registry[Step] = base.Registry(kind="step")
