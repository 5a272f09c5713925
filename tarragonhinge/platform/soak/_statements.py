"""What servers say of themselves in their responses."""

import dataclasses
import math

from tarragonhinge.platform import standins


@dataclasses.dataclass(kw_only=True, slots=True)
class Statement:
    """What a server said of itself for some time.

    Parameters
    ----------
    server : StandInServer
        The server.
    began_at, ended_at : float
        Monotonic times in seconds.
    wait_s : float
        Wait that it stated; 0 if it said that it leaves.
    """

    server: standins.StandInServer
    began_at: float
    ended_at: float = math.inf
    wait_s: float = 0.0
