"""Which version is in force on all instances."""

import dataclasses

import msgspec

from tarragonhinge import base
from tarragonhinge.propagation import _messages

#: A summary older than this is no longer shown.
SUMMARY_TIMEOUT_MS = 20_000


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class FleetVersion:
    """State of the newest version on all live instances.

    Parameters
    ----------
    version : TableVersion
        Lowest version in force on an instance that reports.
    instances : int
        Instances that report.
    lagging, silent : list of InstanceId
        Some that have a lower version, or do not report.
    """

    version: base.TableVersion
    instances: int
    lagging: list[base.InstanceId]
    silent: list[base.InstanceId]


class FleetSummaries:
    """Latest summaries of all availability zones.

    Parameters
    ----------
    clock : Clock
        This process's clock.
    """

    def __init__(self, *, clock: base.Clock) -> None:
        self._clock = clock
        self._summaries: dict[
            base.ZoneName, tuple[int, _messages.ZoneSummary]
        ] = {}

    def record(self, summary: _messages.ZoneSummary) -> None:
        """Take a summary unless a younger one is known."""
        made_at = self._clock.now() - summary.age_ms
        known = self._summaries.get(summary.zone)
        if known is None or known[0] <= made_at:
            self._summaries[summary.zone] = (made_at, summary)

    def list_summaries(self) -> list[_messages.ZoneSummary]:
        """Return the summaries that are young enough, with their age."""
        now = self._clock.now()
        return [
            msgspec.structs.replace(summary, age_ms=now - made_at)
            for made_at, summary in self._summaries.values()
            if now - made_at <= SUMMARY_TIMEOUT_MS
        ]


def combine_summaries(
    summaries: list[_messages.ZoneSummary],
) -> FleetVersion:
    """Return what the summaries of all zones say together.

    Examples
    --------
    >>> north = _messages.ZoneSummary(
    ...     zone="n", lowest_version=4, instances=2, lagging=["i1"])
    >>> south = _messages.ZoneSummary(
    ...     zone="s", lowest_version=5, instances=3)
    >>> combine_summaries([north, south]).version
    4
    """
    versions = [s.lowest_version for s in summaries if s.instances]
    return FleetVersion(
        version=min(versions, default=base.TableVersion(0)),
        instances=sum(s.instances for s in summaries),
        lagging=[name for s in summaries for name in s.lagging],
        silent=[name for s in summaries for name in s.silent],
    )
