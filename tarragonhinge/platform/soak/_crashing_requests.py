"""Requests that crash the servers that run them."""

import dataclasses


@dataclasses.dataclass(kw_only=True, slots=True)
class CrashingRequest:
    """A request that callers send again and again.

    Parameters
    ----------
    prefix : str
        Path prefix of its route.
    target : str
        Its target, which no other request has.
    key : int
        Its shard key.
    interval_s : float
        Mean interval at which it is sent.
    is_sent : bool
        Whether callers still send it.
    """

    prefix: str
    target: str
    key: int
    interval_s: float
    is_sent: bool = True
