"""Table version in force across all instances."""

import dataclasses

import msgspec

from tarragonhinge import base
from tarragonhinge.propagation import _messages

#: Age after which a summary has expired.
SUMMARY_MAX_AGE_MS = 20_000


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class FleetVersion:
    """Table version in force across all reporting instances.

    Parameters
    ----------
    version : TableVersion
        Lowest version in force on any reporting instance.
    instances : int
        Number of reporting instances.
    lagging : list of InstanceId
        Sample of the instances with a lower version than their poller.
    silent : list of InstanceId
        Sample of the instances that do not report.
    """

    version: base.TableVersion
    instances: int
    lagging: list[base.InstanceId]
    silent: list[base.InstanceId]


class FleetSummaries:
    """Latest summary of each availability zone.

    Parameters
    ----------
    clock : Clock
        Clock of this process.
    """

    def __init__(self, *, clock: base.Clock) -> None:
        self._clock = clock
        self._summaries: dict[
            base.ZoneName, tuple[int, _messages.ZoneSummary]
        ] = {}

    def record(self, summary: _messages.ZoneSummary) -> None:
        """Record a summary unless a newer one of its zone is cached."""
        made_at = self._clock.now() - summary.age_ms
        cached = self._summaries.get(summary.zone)
        if cached is None or cached[0] <= made_at:
            self._summaries[summary.zone] = (made_at, summary)

    def list_summaries(self) -> list[_messages.ZoneSummary]:
        """Return the unexpired summaries with their current ages."""
        now = self._clock.now()
        return [
            msgspec.structs.replace(summary, age_ms=now - made_at)
            for made_at, summary in self._summaries.values()
            if now - made_at <= SUMMARY_MAX_AGE_MS
        ]


def combine_summaries(
    summaries: list[_messages.ZoneSummary],
) -> FleetVersion:
    """Combine the summaries of all zones into the fleet's version.

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
