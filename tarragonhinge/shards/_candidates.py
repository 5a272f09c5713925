"""Ranking of the instances that may lead a shard or stand by for it."""

from tarragonhinge import base
from tarragonhinge import configuration
from tarragonhinge import membership
from tarragonhinge.shards import _record


#: Number of instances that may claim a shard without being its standby.
CANDIDATES_PER_SHARD = 3


class Candidates:
    """Ranks live instances by rendezvous hashing.

    The candidates of each shard are cached until the list of instances
    or the operators' table changes, since ranking the instances of a
    region for all its shards is slow.

    Parameters
    ----------
    me : InstanceEntry
        This instance.
    view : TableView
        Current version of the operators' table.
    instances : InstanceView
        The platform's list of instances.
    """

    def __init__(
        self,
        *,
        me: membership.InstanceEntry,
        view: configuration.TableView,
        instances: membership.InstanceView,
    ) -> None:
        self._me = me
        self._view = view
        self._instances = instances
        self._ranked: dict[base.ShardId, list[membership.InstanceEntry]] = {}
        self._ranked_for = (0, base.TableVersion(0))

    def list_candidates(
        self, shard: base.ShardId
    ) -> list[membership.InstanceEntry]:
        """Return the instances that may claim a shard, best first."""
        if not self.is_ranked(shard):
            self._ranked[shard] = self.rank(shard)[:CANDIDATES_PER_SHARD]
        return self._ranked[shard]

    def is_ranked(self, shard: base.ShardId) -> bool:
        """Return whether the candidates of a shard are cached."""
        current = (self._instances.revision, self._view.current.version)
        if current != self._ranked_for:
            self._ranked_for = current
            self._ranked.clear()
        return shard in self._ranked

    def rank(self, shard: base.ShardId) -> list[membership.InstanceEntry]:
        """Return the eligible live instances for a shard, best first."""
        service, region = base.split_shard_id(shard)
        row = self._view.current.find_row(service)
        eligible = {
            entry.instance: entry
            for entry in self._instances.list_ready(region)
            if row is None
            or not row.instances
            or entry.instance in row.instances
        }
        names = membership.rank_names(shard, eligible)
        return [eligible[name] for name in names]

    def choose_standby(
        self, shard: base.ShardId, excluded: _record.Holder | None
    ) -> _record.Holder | None:
        """Return the standby for a shard that this instance leads.

        Instances of other availability zones are preferred.  The
        incarnation is empty until the first acknowledgement reveals it;
        until then no term is reserved for the standby.

        Parameters
        ----------
        shard : ShardId
            The shard.
        excluded : Holder or None
            Instance that has been lost; the platform's list may still
            contain it.

        Returns
        -------
        Holder or None
            The standby; None if there is no other eligible instance.
        """
        lost = excluded.instance if excluded else None
        others = [
            entry
            for entry in self.rank(shard)
            if entry.instance not in (self._me.instance, lost)
        ]
        others.sort(key=lambda entry: entry.zone == self._me.zone)
        if not others:
            return None
        return _record.Holder(
            instance=others[0].instance,
            incarnation=base.IncarnationId(""),
            address=others[0].address,
        )
