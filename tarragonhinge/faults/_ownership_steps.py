"""Steps of leader election and of grants of partitions to servers."""

from tarragonhinge.faults import _step
from tarragonhinge.faults import _trial
from tarragonhinge import servers
from tarragonhinge import shards
from tarragonhinge import stores
from tarragonhinge import testing

#: Exemption reason of steps before the first leader serves.
NO_LEADER_REASON = "no leader has served the shard yet"


def get_written_record(
    trial: _trial.Trial, event: testing.ProbeEvent
) -> shards.ShardRecord | None:
    """Return the first shard's record that a transaction writes, or None."""
    if not isinstance(event.content, stores.Transaction):
        return None
    key = shards.make_record_key(trial.deployment.shard)
    for put in event.content.puts:
        if put.key == key:
            return shards.decode_record(put.value)
    return None


def get_grant_request(
    trial: _trial.Trial, event: testing.ProbeEvent
) -> servers.GrantRequest | None:
    """Return the first shard's heartbeat that reaches a server, or None."""
    if event.stage is not testing.Stage.GRANT_ARRIVED:
        return None
    if event.content.shard != trial.deployment.shard:
        return None
    return event.content


@_step.STEPS.register("claim")
class Claim(_step.Step):
    """An instance claims the leadership of a leaderless shard."""

    title = "claim of a shard without a leader"
    during_startup = True
    exemption_reason = NO_LEADER_REASON

    def find_target(self, trial, event):
        """Return the claimant when its write reaches the table."""
        if event.stage is not testing.Stage.TABLE_ASKED:
            return None
        record = get_written_record(trial, event)
        return _trial.FaultTarget(node=event.source) if record else None


@_step.STEPS.register("grant")
class Grant(_step.Step):
    """A server is granted partitions for the first time."""

    title = "first grant"
    during_startup = True
    exemption_reason = NO_LEADER_REASON

    def find_target(self, trial, event):
        """Return the leader and the server when the grant arrives."""
        heartbeat = get_grant_request(trial, event)
        if heartbeat is None or not heartbeat.granted:
            return None
        return _trial.FaultTarget(node=event.source, server=event.target)


@_step.STEPS.register("renew")
class Renew(_step.Step):
    """A server's grants are renewed."""

    title = "renewal of grants"

    def find_target(self, trial, event):
        """Return the leader and the server when the renewal arrives."""
        heartbeat = get_grant_request(trial, event)
        if heartbeat is None or heartbeat.granted or heartbeat.revoked:
            return None
        if not heartbeat.expires_at:
            return None
        return _trial.FaultTarget(node=event.source, server=event.target)


@_step.STEPS.register("acknowledgement")
class Acknowledgement(_step.Step):
    """The standby acknowledges a heartbeat of its leader."""

    title = "standby's acknowledgement"

    def find_target(self, trial, event):
        """Return the standby when it sends its acknowledgement."""
        if event.stage is not testing.Stage.PEER_REPLIED:
            return None
        if not isinstance(event.content, shards.HeartbeatAck):
            return None
        standby = trial.deployment.find_standby().address
        if event.source != standby:
            return None
        return _trial.FaultTarget(node=event.source)


@_step.STEPS.register("takeover")
class Takeover(_step.Step):
    """The standby claims the leadership after the leader was killed."""

    title = "takeover by the standby"
    exemption_reason = "the leader is lost already: a second loss within 2 s"

    async def trigger(self, trial):
        """Kill the leader."""
        trial.kill_node(trial.find_leader().address)

    def find_target(self, trial, event):
        """Return the standby when its claim reaches the table."""
        if event.stage is not testing.Stage.TABLE_ASKED:
            return None
        record = get_written_record(trial, event)
        if record is None or record.term == 1:
            return None
        return _trial.FaultTarget(node=event.source)
