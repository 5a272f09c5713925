"""Steps by which shards get leaders and servers get partitions."""

from tarragonhinge.faults import _step
from tarragonhinge.faults import _trial
from tarragonhinge import servers
from tarragonhinge import shards
from tarragonhinge import stores
from tarragonhinge import testing

FIRST_LEADER = "no leader has served the shard yet"


def read_record(
    trial: _trial.Trial, seen: testing.ProbeEvent
) -> shards.ShardRecord | None:
    """Return the record of the first shard that a transaction writes."""
    if not isinstance(seen.content, stores.Transaction):
        return None
    key = shards.make_record_key(trial.deployment.shard)
    for put in seen.content.puts:
        if put.key == key:
            return shards.decode_record(put.value)
    return None


def read_grant(
    trial: _trial.Trial, seen: testing.ProbeEvent
) -> servers.GrantRequest | None:
    """Return the heartbeat of the first shard that reaches a server."""
    if seen.stage is not testing.Stage.GRANT_ARRIVED:
        return None
    if seen.content.shard != trial.deployment.shard:
        return None
    return seen.content


@_step.STEPS.register("claim")
class Claim(_step.Step):
    """An instance writes itself into the record."""

    title = "claim of a shard without a leader"
    early = True
    late_reason = FIRST_LEADER

    def find_place(self, trial, seen):
        """Return the claimant as its write reaches the table."""
        if seen.stage is not testing.Stage.TABLE_ASKED:
            return None
        record = read_record(trial, seen)
        return _trial.Place(node=seen.source) if record else None


@_step.STEPS.register("grant")
class Grant(_step.Step):
    """A server gets partitions for the first time."""

    title = "first grant"
    early = True
    late_reason = FIRST_LEADER

    def find_place(self, trial, seen):
        """Return the leader and the server as the grant arrives."""
        beat = read_grant(trial, seen)
        if beat is None or not beat.granted:
            return None
        return _trial.Place(node=seen.source, server=seen.target)


@_step.STEPS.register("renew")
class Renew(_step.Step):
    """A server's grants are renewed."""

    title = "renewal of grants"

    def find_place(self, trial, seen):
        """Return the leader and the server as the renewal arrives."""
        beat = read_grant(trial, seen)
        if beat is None or beat.granted or beat.revoked:
            return None
        if not beat.expires_at:
            return None
        return _trial.Place(node=seen.source, server=seen.target)


@_step.STEPS.register("acknowledgement")
class Acknowledgement(_step.Step):
    """The standby acknowledges a heartbeat of its leader."""

    title = "standby's acknowledgement"

    def find_place(self, trial, seen):
        """Return the standby as its acknowledgement leaves."""
        if seen.stage is not testing.Stage.PEER_REPLIED:
            return None
        if not isinstance(seen.content, shards.HeartbeatAck):
            return None
        standby = trial.deployment.find_standby().address
        if seen.source != standby:
            return None
        return _trial.Place(node=seen.source)


@_step.STEPS.register("takeover")
class Takeover(_step.Step):
    """The standby claims the shard of a lost leader."""

    title = "takeover by the standby"
    late_reason = "the leader is lost already: a second loss within 2 s"

    async def drive(self, trial):
        """Lose the leader."""
        trial.lose_node(trial.find_leader().address)

    def find_place(self, trial, seen):
        """Return the standby as its claim reaches the table."""
        if seen.stage is not testing.Stage.TABLE_ASKED:
            return None
        record = read_record(trial, seen)
        if record is None or record.term == 1:
            return None
        return _trial.Place(node=seen.source)
