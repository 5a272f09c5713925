"""Which instances may lead a shard or stand by for it."""

from tarragonhinge import base
from tarragonhinge import configuration
from tarragonhinge import membership
from tarragonhinge.shards import _record


#: Instances that may claim a shard without being its standby.
CANDIDATES = 3


class Candidates:
    """Ranks live instances by rendezvous hash.

    The first of each shard are kept until the list or the table
    changes, since ranking a region for all its shards takes long.

    Parameters
    ----------
    me : InstanceEntry
        This instance.
    view : TableView
        The operators' table in force.
    instances : InstanceView
        The platform's list.
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
        self._first: dict[base.ShardId, list[membership.InstanceEntry]] = {}
        self._first_of = (0, base.TableVersion(0))

    def list_first(
        self, shard: base.ShardId
    ) -> list[membership.InstanceEntry]:
        """Return the instances that may claim a shard, by preference."""
        if not self.knows_first(shard):
            self._first[shard] = self.rank(shard)[:CANDIDATES]
        return self._first[shard]

    def knows_first(self, shard: base.ShardId) -> bool:
        """Return whether `list_first` answers without ranking."""
        current = (self._instances.revision, self._view.current.version)
        if current != self._first_of:
            self._first_of = current
            self._first.clear()
        return shard in self._first

    def rank(self, shard: base.ShardId) -> list[membership.InstanceEntry]:
        """Return the live instances of the region by preference."""
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
        """Return the best candidate, in another availability zone if any.

        The holder `excluded` has just been lost and the platform's
        list may still show it.  The incarnation is learned from the
        first acknowledgement; until then nothing is reserved for it.
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
