"""Guarantees that every cell of the fault matrix checks."""

import dataclasses
import enum


class Guarantee(enum.Enum):
    """Guarantee that has to hold despite the faults of a cell."""

    ONE_OWNER = "a key has one owner"
    ASSIGNMENT = "an acknowledged assignment survives"
    WHOLE_ANSWER = "a caller gets the whole answer to its own request"
    TRUE_REFUSAL = "a refusal that says not run is true"
    ONCE = "an order runs at most once"
    LEAVING = "a leaving server gets no new work"
    PLANNED_STOP = "a planned stop cuts off nothing"
    CONFIGURATION = "an accepted configuration is in force and stays"
    SERVED = "keys are served again in time"
    REACHED = "the step is reached"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Violation:
    """Violation of a guarantee, found while a cell ran.

    Parameters
    ----------
    guarantee : Guarantee
        Violated guarantee.
    text : str
        Description of the observation.
    """

    guarantee: Guarantee
    text: str
