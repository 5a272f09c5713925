"""Steps of the fault matrix."""

import abc

from tarragonhinge import base
from tarragonhinge.faults import _trial
from tarragonhinge import testing


class Step(abc.ABC):
    """A step at which faults strike.

    Attributes
    ----------
    title : str
        The step in words.
    early : bool
        True if the step is taken while the deployment starts.
    late_reason : str
        Why keys need not be served within the target after a loss at
        this step; empty if they must.
    """

    title: str
    early = False
    late_reason = ""

    async def drive(self, trial: _trial.Trial) -> None:  # noqa: B027
        """Make the step happen; the load alone does by default."""

    def finish(self, trial: _trial.Trial) -> None:  # noqa: B027
        """Undo what only served to reach the step."""

    @abc.abstractmethod
    def find_place(
        self, trial: _trial.Trial, seen: testing.ProbeEvent
    ) -> _trial.Place | None:
        """Return where the step is taken, if it is this one."""


#: Steps by name.
STEPS: base.Registry[Step] = base.Registry(kind="step")
