"""Leader and standby roles of one instance."""

from tarragonhinge import base
from tarragonhinge.shards import _leader
from tarragonhinge.shards import _record_reader
from tarragonhinge.shards import _standby


class ShardRoles:
    """Leaderships and standby roles of one instance.

    Parameters
    ----------
    reader : RecordReader
        Reads the records of the shards in which the instance has a role.
    """

    def __init__(self, *, reader: _record_reader.RecordReader) -> None:
        self.leaders: dict[base.ShardId, _leader.ShardLeader] = {}
        self.standbys: dict[base.ShardId, _standby.ShardStandby] = {}
        self._reader = reader

    def leads(self, shard: base.ShardId) -> bool:
        """Return whether this instance leads a shard."""
        leader = self.leaders.get(shard)
        return (
            leader is not None and leader.state is _leader.LeaderState.LEADING
        )

    def add_standby(self, standby: _standby.ShardStandby) -> None:
        """Start standing by for a shard."""
        self.standbys[standby.shard] = standby
        self._reader.watch(standby.shard, standby)

    def drop_standby(self, shard: base.ShardId) -> None:
        """Stop standing by for a shard."""
        standby = self.standbys.pop(shard, None)
        if standby is not None:
            self._reader.unwatch(shard, standby)

    def get_promised_until(self, shard: base.ShardId) -> int:
        """Return until when this process promised not to reassign servers.

        The promise is part of an outage agreement with the leader.  The
        result is 0 if no promise was made.
        """
        standby = self.standbys.get(shard)
        return standby.promised_until if standby is not None else 0

    def end_roles(self, shard: base.ShardId) -> None:
        """End the roles in a shard whose row another instance changed.

        The change shows that another instance has become the leader.
        """
        self.drop_standby(shard)
        if shard in self.leaders:
            self.leaders[shard].depose()

    async def add_leader(self, leader: _leader.ShardLeader) -> None:
        """Start leading a shard; replaces any other role in it."""
        self.drop_standby(leader.shard)
        previous = self.leaders.pop(leader.shard, None)
        if previous is not None:
            await previous.stop()
        self.leaders[leader.shard] = leader
        leader.start()

    async def stop_deposed_leaders(self) -> None:
        """Stop leaders that have been deposed."""
        for shard, leader in list(self.leaders.items()):
            if leader.state is _leader.LeaderState.DEPOSED:
                del self.leaders[shard]
                await leader.stop()
