"""Which instances read the platform's services for the others."""

from tarragonhinge import base
from tarragonhinge import membership

#: Fewest pollers of one availability zone.
POLLERS_PER_ZONE = 3

#: Instances that report to one poller; a larger zone has more pollers.
REPORTS_PER_POLLER = 32


class PollerElection:
    """Chooses the pollers of each availability zone by rendezvous hash.

    Instances whose lists differ may choose differently; then there are a
    few more pollers for a while, which harms nothing.  What was chosen
    is kept until the list changes.

    Parameters
    ----------
    me : InstanceEntry
        This instance.
    instances : InstanceView
        The list that this instance has.
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
        self._expected: list[base.InstanceId] | None = None

    def _follow_list(self) -> None:
        """Forget what was chosen from an earlier list."""
        if self._revision != self._instances.revision:
            self._revision = self._instances.revision
            self._pollers.clear()
            self._expected = None

    def is_poller(self) -> bool:
        """Return whether this instance is a poller."""
        chosen = self.list_pollers(self._me.zone)
        if not chosen:
            return True
        return any(entry.instance == self._me.instance for entry in chosen)

    def list_pollers(
        self, zone: base.ZoneName
    ) -> list[membership.InstanceEntry]:
        """Return the pollers of an availability zone by preference."""
        self._follow_list()
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

    def list_preferred(
        self, instance: base.InstanceId
    ) -> list[membership.InstanceEntry]:
        """Return the pollers of this zone as an instance prefers them.

        An instance stays with one poller, so that it does not see lists
        of different age in turn, and each poller knows whose reports to
        expect.  In a large zone the first poller comes last, since it
        exchanges summaries with all other zones.
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

    def list_expected(self) -> list[base.InstanceId]:
        """Return the instances that prefer to report to this poller."""
        self._follow_list()
        if self._expected is None:
            self._expected = self._choose_expected()
        return self._expected

    def _choose_expected(self) -> list[base.InstanceId]:
        pollers = {e.instance for e in self.list_pollers(self._me.zone)}
        return [
            entry.instance
            for entry in self._instances.list_ready()
            if entry.zone == self._me.zone
            and entry.instance not in pollers
            and self.list_preferred(entry.instance)[0] == self._me
        ]

    def list_zones(self) -> list[base.ZoneName]:
        """Return the availability zones on the list."""
        return sorted({entry.zone for entry in self._instances.list_ready()})
