"""Election of the instances that poll the platform's services."""

from tarragonhinge import base
from tarragonhinge import membership

#: Minimum number of pollers in an availability zone.
POLLERS_PER_ZONE = 3

#: Maximum number of instances per poller; a larger zone has more pollers
#: than the minimum.
REPORTS_PER_POLLER = 32


class PollerElection:
    """Elects the pollers of each availability zone by rendezvous hashing.

    Instances whose lists differ may elect different pollers.  This is
    harmless: the zone has a few more pollers until the lists agree.
    Results are cached until the list changes.

    Parameters
    ----------
    me : InstanceEntry
        Entry of this instance.
    instances : InstanceView
        Instance list of this instance.
    """

    def __init__(
        self,
        *,
        me: membership.InstanceEntry,
        instances: membership.InstanceView,
    ) -> None:
        self._me = me
        self._instances = instances
        self._revision = -1
        self._pollers: dict[base.ZoneName, list[membership.InstanceEntry]] = {}
        self._expected_reporters: list[base.InstanceId] | None = None

    def _clear_stale_cache(self) -> None:
        """Drop cached results computed from a previous list."""
        if self._revision != self._instances.revision:
            self._revision = self._instances.revision
            self._pollers.clear()
            self._expected_reporters = None

    def is_poller(self) -> bool:
        """Return whether this instance is a poller."""
        pollers = self.list_pollers(self._me.zone)
        if not pollers:
            return True
        return any(entry.instance == self._me.instance for entry in pollers)

    def list_pollers(
        self, zone: base.ZoneName
    ) -> list[membership.InstanceEntry]:
        """Return the pollers of an availability zone, most preferred first."""
        self._clear_stale_cache()
        if zone not in self._pollers:
            self._pollers[zone] = self._choose_pollers(zone)
        return self._pollers[zone]

    def _choose_pollers(
        self, zone: base.ZoneName
    ) -> list[membership.InstanceEntry]:
        entries = {
            entry.instance: entry
            for entry in self._instances.list_ready()
            if entry.zone == zone
        }
        count = max(POLLERS_PER_ZONE, -(-len(entries) // REPORTS_PER_POLLER))
        names = membership.rank_names(f"poller/{zone}", entries)
        return [entries[name] for name in names[:count]]

    def list_preferred_pollers(
        self, instance: base.InstanceId
    ) -> list[membership.InstanceEntry]:
        """Return the pollers of this zone in an instance's preferred order.

        The order is stable, so an instance keeps reporting to the same
        poller: it does not alternate between lists of different ages,
        and each poller can compute whose reports to expect.  If the zone
        has more than `POLLERS_PER_ZONE` pollers, the first one is placed
        last, because it also exchanges summaries with all other zones.
        """
        ranked = self.list_pollers(self._me.zone)
        pollers = {
            entry.instance: entry
            for entry in ranked
            if entry.instance != instance
        }
        names = membership.rank_names(instance, pollers)
        if len(ranked) > POLLERS_PER_ZONE:
            names.sort(key=lambda name: name == ranked[0].instance)
        return [pollers[name] for name in names]

    def list_expected_reporters(self) -> list[base.InstanceId]:
        """Return the instances whose preferred poller is this instance."""
        self._clear_stale_cache()
        if self._expected_reporters is None:
            self._expected_reporters = self._choose_expected_reporters()
        return self._expected_reporters

    def _choose_expected_reporters(self) -> list[base.InstanceId]:
        pollers = {e.instance for e in self.list_pollers(self._me.zone)}
        return [
            entry.instance
            for entry in self._instances.list_ready()
            if entry.zone == self._me.zone
            and entry.instance not in pollers
            and self.list_preferred_pollers(entry.instance)[0] == self._me
        ]

    def list_zones(self) -> list[base.ZoneName]:
        """Return the availability zones that have ready instances."""
        return sorted({entry.zone for entry in self._instances.list_ready()})
