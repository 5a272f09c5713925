"""Load that a backend server reports with a heartbeat reply."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ServerReport:
    """Load that a server reported in its reply to a heartbeat.

    Parameters
    ----------
    in_flight : int
        Requests running on the server, dispatched by any leader.
    sent_at : int
        Instant on the leader's clock at which the heartbeat was sent.
        The server counted its requests after that.
    incarnation : str
        Identifies the run of the server's process.
    """

    in_flight: int
    sent_at: int
    incarnation: str
