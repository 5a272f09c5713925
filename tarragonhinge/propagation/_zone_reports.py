"""Reports received from the instances of an availability zone."""

import dataclasses

from tarragonhinge import base
from tarragonhinge import membership
from tarragonhinge.propagation import _messages

#: Time after which a report or a summary expires and its sender counts
#: as silent.
REPORT_TIMEOUT_MS = 10_000

#: Maximum number of lagging instances in one summary, and of silent ones.
MAX_NAMES_PER_SUMMARY = 10


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ReceivedReport:
    """Latest report of an instance."""

    version: base.TableVersion
    received_at: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ReceivedSummary:
    """Latest summary of another poller of the zone."""

    summary: _messages.ZoneSummary
    received_at: int


class ZoneReports:
    """Latest reports to this poller, and summaries of its zone's pollers.

    Parameters
    ----------
    me : InstanceEntry
        Entry of this poller.
    clock : Clock
        Clock of this process.
    """

    def __init__(
        self, *, me: membership.InstanceEntry, clock: base.Clock
    ) -> None:
        self._me = me
        self._clock = clock
        self._started_at = clock.now()
        self._reports: dict[base.InstanceId, ReceivedReport] = {}
        self._summaries_by_poller: dict[base.InstanceId, ReceivedSummary] = {}

    def record_summary(self, summary: _messages.ZoneSummary) -> None:
        """Record the summary of another poller of the zone."""
        now = self._clock.now()
        self._summaries_by_poller[summary.poller] = ReceivedSummary(
            summary=summary, received_at=now
        )

    def record_report(
        self, instance: base.InstanceId, version: base.TableVersion
    ) -> None:
        """Record the report of an instance."""
        now = self._clock.now()
        self._reports[instance] = ReceivedReport(
            version=version, received_at=now
        )

    def summarize(
        self,
        *,
        version: base.TableVersion,
        expected: list[base.InstanceId],
    ) -> _messages.ZoneSummary:
        """Return the summary of the reports to this poller.

        Parameters
        ----------
        version : TableVersion
            Version in force on this instance.
        expected : list of InstanceId
            Instances whose preferred poller is this one.
        """
        self._drop_expired()
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
            lagging=sorted(lagging)[:MAX_NAMES_PER_SUMMARY],
            silent=sorted(silent)[:MAX_NAMES_PER_SUMMARY],
        )

    def summarize_zone(
        self,
        own_summary: _messages.ZoneSummary,
        other_pollers: list[base.InstanceId],
    ) -> _messages.ZoneSummary:
        """Return the summary of the reports to all pollers of the zone.

        Parameters
        ----------
        own_summary : ZoneSummary
            Summary of the reports to this poller.
        other_pollers : list of InstanceId
            Other pollers of the zone.
        """
        received = [
            self._summaries_by_poller[n]
            for n in other_pollers
            if n in self._summaries_by_poller
        ]
        summaries = [own_summary, *(entry.summary for entry in received)]
        missing = [
            n for n in other_pollers if n not in self._summaries_by_poller
        ]
        silent = [name for summary in summaries for name in summary.silent]
        if self._clock.now() - self._started_at >= REPORT_TIMEOUT_MS:
            silent += missing
        return _messages.ZoneSummary(
            zone=self._me.zone,
            lowest_version=min(s.lowest_version for s in summaries),
            instances=sum(s.instances for s in summaries),
            lagging=[n for s in summaries for n in s.lagging][
                :MAX_NAMES_PER_SUMMARY
            ],
            silent=silent[:MAX_NAMES_PER_SUMMARY],
        )

    def _drop_expired(self) -> None:
        oldest_at = self._clock.now() - REPORT_TIMEOUT_MS
        for received in (self._reports, self._summaries_by_poller):
            for name, entry in list(received.items()):
                if entry.received_at < oldest_at:
                    del received[name]
