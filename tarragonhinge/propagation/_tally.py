"""What a poller hears from the instances of its availability zone."""

import dataclasses

from tarragonhinge import base
from tarragonhinge import membership
from tarragonhinge.propagation import _messages

#: An instance that has not reported for this long is left out.
REPORT_TIMEOUT_MS = 10_000

#: Names of lagging or silent instances in one summary.
NAME_LIMIT = 10


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class HeardReport:
    """The last report of an instance."""

    version: base.TableVersion
    heard_at: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class HeardSummary:
    """The last summary of a fellow poller."""

    summary: _messages.ZoneSummary
    heard_at: int


class ZoneTally:
    """Last reports to one poller, and summaries of its fellow pollers.

    Parameters
    ----------
    me : InstanceEntry
        The poller.
    clock : Clock
        This process's clock.
    """

    def __init__(
        self, *, me: membership.InstanceEntry, clock: base.Clock
    ) -> None:
        self._me = me
        self._clock = clock
        self._started_at = clock.now()
        self._reports: dict[base.InstanceId, HeardReport] = {}
        self._fellows: dict[base.InstanceId, HeardSummary] = {}

    def record_fellow(self, summary: _messages.ZoneSummary) -> None:
        """Take what another poller of the zone hears."""
        now = self._clock.now()
        self._fellows[summary.poller] = HeardSummary(
            summary=summary, heard_at=now
        )

    def record(
        self, instance: base.InstanceId, version: base.TableVersion
    ) -> None:
        """Take the report of an instance."""
        now = self._clock.now()
        self._reports[instance] = HeardReport(version=version, heard_at=now)

    def summarize(
        self,
        *,
        version: base.TableVersion,
        expected: list[base.InstanceId],
    ) -> _messages.ZoneSummary:
        """Return what this poller hears.

        Parameters
        ----------
        version : TableVersion
            Version in force on this instance.
        expected : list of InstanceId
            Instances that should report to this poller.
        """
        self._forget_silent()
        reports = self._reports
        lagging = [name for name in reports if reports[name].version < version]
        silent: list[base.InstanceId] = []
        if self._clock.now() - self._started_at >= REPORT_TIMEOUT_MS:
            silent = [name for name in expected if name not in reports]
        versions = [report.version for report in reports.values()]
        return _messages.ZoneSummary(
            zone=self._me.zone,
            poller=self._me.instance,
            lowest_version=min(versions, default=version),
            instances=len(reports),
            lagging=sorted(lagging)[:NAME_LIMIT],
            silent=sorted(silent)[:NAME_LIMIT],
        )

    def summarize_zone(
        self,
        own: _messages.ZoneSummary,
        fellows: list[base.InstanceId],
    ) -> _messages.ZoneSummary:
        """Return what all pollers of the zone hear.

        Parameters
        ----------
        own : ZoneSummary
            What this poller hears.
        fellows : list of InstanceId
            The other pollers of the zone.
        """
        heard = [self._fellows[n] for n in fellows if n in self._fellows]
        parts = [own, *(fellow.summary for fellow in heard)]
        missing = [n for n in fellows if n not in self._fellows]
        silent = [name for part in parts for name in part.silent]
        if self._clock.now() - self._started_at >= REPORT_TIMEOUT_MS:
            silent += missing
        return _messages.ZoneSummary(
            zone=self._me.zone,
            lowest_version=min(part.lowest_version for part in parts),
            instances=sum(part.instances for part in parts),
            lagging=[n for part in parts for n in part.lagging][:NAME_LIMIT],
            silent=silent[:NAME_LIMIT],
        )

    def _forget_silent(self) -> None:
        oldest = self._clock.now() - REPORT_TIMEOUT_MS
        for heard in (self._reports, self._fellows):
            for name, entry in list(heard.items()):
                if entry.heard_at < oldest:
                    del heard[name]
