"""What a backend server reported with a heartbeat."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ServerReport:
    """Load that a server stated in its answer to a heartbeat.

    Parameters
    ----------
    in_flight : int
        Requests that ran there, of whatever leader.
    sent_at : int
        When the heartbeat was sent, on the leader's clock; the server
        counted later than that.
    incarnation : str
        The run of the server.
    """

    in_flight: int
    sent_at: int
    incarnation: str
