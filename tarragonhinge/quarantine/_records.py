"""Records of crashes that the instances exchange.

Records only grow: a request that is cleared of a crash stays listed as
cleared, so that an instance that was disconnected does not bring the suspicion
back.
"""

import msgspec

from tarragonhinge import base
from tarragonhinge import limits
from tarragonhinge.quarantine import _digest


class CrashRecord(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Requests that were running at a server when it crashed.

    Parameters
    ----------
    server : ServerId
        The server.
    born_ms : int
        Start time of its process.
    version : str
        Version of its software.
    suspects : list of RequestDigest
        Requests that may have crashed it.
    cleared : list of RequestDigest
        Requests that were there, but complete elsewhere.
    """

    server: base.ServerId
    born_ms: int
    version: str = ""
    suspects: list[_digest.RequestDigest] = []
    cleared: list[_digest.RequestDigest] = []

    @property
    def incarnation(self) -> limits.Incarnation:
        """Server and start time."""
        return self.server, self.born_ms


class TrialRecord(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Trials that a refused request has had.

    Parameters
    ----------
    digest : RequestDigest
        The request.
    trials : list of str
        Reasons of the trials.
    """

    digest: _digest.RequestDigest
    trials: list[str]


class Evidence(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    tag="evidence",
    omit_defaults=True,
):
    """Records of crashes and trials, as a message between instances."""

    crashes: list[CrashRecord] = []
    trials: list[TrialRecord] = []

    def __bool__(self) -> bool:
        """Return whether there is any record."""
        return bool(self.crashes or self.trials)
