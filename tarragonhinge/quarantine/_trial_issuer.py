"""Issues the trials of refused requests for all instances."""

from tarragonhinge import events
from tarragonhinge.quarantine import _digest
from tarragonhinge.quarantine import _ledger
from tarragonhinge.quarantine import _trials


class TrialIssuer:
    """Issues each trial once.

    Parameters
    ----------
    ledger : CrashLedger
        Crashes, and the trials so far.
    log : EventLog
        Destination of log events.
    """

    def __init__(
        self, *, ledger: _ledger.CrashLedger, log: events.EventLog
    ) -> None:
        self._ledger = ledger
        self._log = log

    def issue(
        self, digest: _digest.RequestDigest, version: str | None
    ) -> str | None:
        """Return the reason of a trial, as `TrialSource` does."""
        verdict = self._ledger.get_refusals().get(digest)
        if verdict is None:
            return None
        reason = _trials.choose_trial(
            verdict=verdict,
            age_ms=self._ledger.get_verdict_age_ms(digest),
            version=version,
            crashed_versions=self._ledger.list_versions(digest),
            previous=self._ledger.list_trials(digest),
        )
        if reason is not None:
            self._ledger.record_trial(digest, reason)
            self._log.write(
                events.TrialGranted(digest=digest.hex(), reason=reason)
            )
        return reason
