"""Trials of refused requests.

A refused request may have been fixed by a new version of its service, or may
have been refused wrongly. It is sent again a few times at most, over all
instances and for good, since each time may crash a server.
"""

import abc
from collections.abc import Iterable

from tarragonhinge.quarantine import _digest
from tarragonhinge.quarantine import _verdicts

#: Number of trials of a request.
MAX_TRIALS = 2

#: Time after a verdict from which a request has a trial that was never the
#: only suspect of a crash.
DOUBT_TRIAL_DELAY_MS = 10_000

#: Reason of a trial because the verdict is in doubt.
_DOUBT = "doubt"


def choose_trial(
    *,
    verdict: _verdicts.Verdict,
    age_ms: int,
    version: str | None,
    crashed_versions: Iterable[str],
    previous: Iterable[str],
) -> str | None:
    """Return the reason of the next trial of a refused request, if any.

    Parameters
    ----------
    verdict : Verdict
        Why it is refused.
    age_ms : int
        Age of the verdict.
    version : str or None
        Version that all servers of the service run; None if they differ.
    crashed_versions : iterable of str
        Versions of the servers that it crashed.
    previous : iterable of str
        Reasons of its previous trials.
    """
    previous = set(previous)
    if len(previous) >= MAX_TRIALS:
        return None
    if version is not None and version not in set(crashed_versions):
        reason = f"version {version}"
        if reason not in previous:
            return reason
    is_due = not verdict.is_certain and age_ms >= DOUBT_TRIAL_DELAY_MS
    return _DOUBT if is_due and _DOUBT not in previous else None


class TrialSource(abc.ABC):
    """Issues trials, each to one instance."""

    @abc.abstractmethod
    async def request_trial(
        self, digest: _digest.RequestDigest, version: str | None
    ) -> str | None:
        """Return the reason of a trial of a refused request, if it has one.

        Parameters
        ----------
        digest : RequestDigest
            The request.
        version : str or None
            Version that all servers of the service run; None if they differ.
        """


class Trials:
    """Asks the issuer for trials.

    Attributes
    ----------
    source : TrialSource or None
        The issuer; None while there is none.
    """

    def __init__(self) -> None:
        self.source: TrialSource | None = None

    async def request(
        self, digest: _digest.RequestDigest, version: str | None
    ) -> str | None:
        """Return the reason of a trial; None if there is no trial now."""
        if self.source is None:
            return None
        return await self.source.request_trial(digest, version)
