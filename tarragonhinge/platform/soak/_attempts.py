"""Attempts of callers and their ends."""

import dataclasses
import enum

from tarragonhinge.platform.soak import _instances
from tarragonhinge.platform.soak import _testbed

#: Time that a caller waits for a response, in seconds.
DEADLINE_S = 5.0
SLOW_DEADLINE_S = 10.0


class Ending(enum.Enum):
    """End of an attempt, as its caller sees it.

    PENDING: none so far. UNSENT: no connection was obtained. ANSWERED: a
    complete response. CLOSED: the instance closed the connection. RESET: it
    closed the connection with bytes that it had not read, which makes the
    kernel send a reset. GAVE_UP: the caller closed it at the deadline of this
    attempt or of another one.
    """

    PENDING = "pending"
    UNSENT = "unsent"
    ANSWERED = "answered"
    CLOSED = "closed"
    RESET = "reset"
    GAVE_UP = "gave up"


#: Ends without a complete response that the instance caused.
CUT_ENDINGS = frozenset({Ending.CLOSED, Ending.RESET})


@dataclasses.dataclass(kw_only=True, slots=True)
class Attempt:
    """One attempt of a caller and its result.

    Parameters
    ----------
    attempt_id : str
        Id of the attempt.
    kind : str
        Path prefix of the route.
    key : int
        Shard key.
    instance : InstanceProcess
        Instance that the attempt was sent to.
    sent_at, ended_at : float
        Monotonic times of the start and the end, in seconds.
    target : str
        Target of the request.
    status : int
        Status of the response; 0 if there was none.
    body : str
        Body of the response.
    ending : Ending
        How the attempt ended.
    is_sealed : bool
        Whether the response is that of a server.
    is_kept : bool
        Whether an earlier request on the connection had been answered.
    is_pipelined : bool
        Whether an earlier request on the connection was unanswered.
    preceding : Attempt or None
        The attempt before it on the connection.
    """

    attempt_id: str
    kind: str
    key: int
    instance: _instances.InstanceProcess
    sent_at: float
    target: str = ""
    ended_at: float = 0.0
    status: int = 0
    body: str = ""
    ending: Ending = Ending.PENDING
    is_sealed: bool = False
    is_kept: bool = False
    is_pipelined: bool = False
    preceding: "Attempt | None" = None

    @property
    def deadline_s(self) -> float:
        """Time that the caller waits for the response, in seconds."""
        is_slow = self.kind == _testbed.SLOW_PREFIX
        return SLOW_DEADLINE_S if is_slow else DEADLINE_S
