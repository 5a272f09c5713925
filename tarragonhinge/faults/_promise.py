"""What must hold in every cell of the fault matrix."""

import dataclasses
import enum


class Promise(enum.Enum):
    """What a cell checks."""

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
class Breach:
    """A promise that a cell saw broken.

    Parameters
    ----------
    promise : Promise
        Which one.
    text : str
        What was seen.
    """

    promise: Promise
    text: str
