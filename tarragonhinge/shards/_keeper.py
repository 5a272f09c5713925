"""Renewal of the grants of one backend server."""

import asyncio
from collections.abc import Callable
import enum
import itertools

from tarragonhinge import base
from tarragonhinge import configuration
from tarragonhinge import servers
from tarragonhinge.shards import _authority
from tarragonhinge.shards import _server_report
from tarragonhinge.shards import _timing


class ServerState(enum.Enum):
    """State of a server, as seen by a leader."""

    UNSEEN = "unseen"
    REACHABLE = "reachable"
    SILENT = "silent"
    REFUSING = "refusing"


class GrantKeeper:
    """Renews the grants of one server with batched heartbeats.

    Each renewal states its expiry on the server's own clock, computed
    from a clock reading that the server has reported.  A delayed renewal
    therefore does not extend the grants.  No grant outlasts the
    authority under which it was given.  After an unanswered renewal only
    probes without grants are sent, so that the instant by which the
    grants have lapsed does not advance.

    Parameters
    ----------
    entry : ServerEntry
        The server.
    client : ServerClient
        Connection to the server.
    shard : ShardId
        Shard whose partitions the server may own.
    term : Term
        Term of the leader.
    authority : AuthorityLease
        Checked right before each renewal.
    clock : Clock
        The leader's clock.
    timing : Timing
        Durations of leases and heartbeats.
    dialect : GrantDialect
        Rules by which the server handles grants.
    inherited_until : int
        Instant by which the authority and grants of previous leaders
        have expired.

    Attributes
    ----------
    state : ServerState
        State of the server.
    draining : bool
        True if the server asks that its partitions be moved away.
    seen_idle : bool
        True once the server has reported that no request is in flight.
    higher_term : Term
        Higher term that the server has accepted; 0 if there is none.
    report : ServerReport or None
        Last load report of the server.
    on_change : callable or None
        Called when the state or the acknowledged grants have changed.
    on_report : callable or None
        Called with each load report.
    lost : bool
        True if an operator has declared that the server is lost, which
        means that it has certainly stopped.
    """

    def __init__(
        self,
        *,
        entry: configuration.ServerEntry,
        client: servers.ServerClient,
        shard: base.ShardId,
        term: base.Term,
        authority: _authority.AuthorityLease,
        clock: base.Clock,
        timing: _timing.Timing,
        dialect: servers.GrantDialect,
        inherited_until: int,
    ) -> None:
        self.entry = entry
        self.client = client
        self.state = ServerState.UNSEEN
        self.draining = False
        self.seen_idle = False
        self.on_change: Callable[[], None] | None = None
        self.higher_term = base.Term(0)
        self.report: _server_report.ServerReport | None = None
        self.on_report: (
            Callable[[_server_report.ServerReport], None] | None
        ) = None
        self._shard = shard
        self._term = term
        self._authority = authority
        self._clock = clock
        self._timing = timing
        self.lost = False
        self._dialect = dialect
        self._lapsed_at = 0
        self._inherited_until = inherited_until
        self._incarnation = ""
        self._server_clock_ms = 0
        self._server_clock_read_at = 0
        self._wanted: dict[base.PartitionId, base.Epoch] = {}
        self._acknowledged: dict[base.PartitionId, base.Epoch] = {}
        self._needs_full = True
        self._sequence = itertools.count(1)
        self._wake = asyncio.Event()
        self._heartbeat_done = asyncio.Condition()

    def set_wanted(self, wanted: dict[base.PartitionId, base.Epoch]) -> None:
        """Set the partitions that the server should own.

        Parameters
        ----------
        wanted : dict
            Epoch of each partition; must not be changed afterwards.
        """
        if wanted != self._wanted:
            self._wanted = wanted
            self._wake.set()

    def owns(self, partition: base.PartitionId, epoch: base.Epoch) -> bool:
        """Return whether requests for a partition may be sent to the server.

        The server has acknowledged the grant, which is not being
        withdrawn.  If the grant has lapsed at the server since, the server
        rejects the requests.
        """
        return (
            self.state is ServerState.REACHABLE
            and self._acknowledged.get(partition) == epoch
            and self._wanted.get(partition) == epoch
            and self._dialect.may_send(
                now=self._clock.now(), inherited_until=self._inherited_until
            )
        )

    def has_lapsed(self) -> bool:
        """Return whether all grants of the server have surely lapsed."""
        if self.lost and self.state is not ServerState.REACHABLE:
            return True
        return self._dialect.may_reassign(
            now=self._clock.now(),
            lapsed_at=max(self._lapsed_at, self._inherited_until),
        )

    def has_released(self, partition: base.PartitionId) -> bool:
        """Return whether the server certainly does not own a partition."""
        if self.has_lapsed():
            return True
        if self._clock.now() < self._inherited_until:
            # A restarted server forgets the highest term that it has
            # seen, and may accept a grant of a previous leader.
            return False
        return (
            self.state is ServerState.REACHABLE
            and not self._needs_full
            and partition not in self._acknowledged
            and partition not in self._wanted
        )

    def set_inherited_until(self, until: int) -> None:
        """Set when the authority and grants of previous leaders expire."""
        self._inherited_until = until

    async def wait_heartbeat(self, timeout_ms: int) -> None:
        """Wait for the end of the next heartbeat, at most `timeout_ms`."""
        try:
            async with asyncio.timeout(timeout_ms / base.MS_PER_S):
                async with self._heartbeat_done:
                    await self._heartbeat_done.wait()
        except TimeoutError:
            pass

    async def run(self) -> None:
        """Send heartbeats until cancelled."""
        while True:
            await self._send_heartbeat()
            async with self._heartbeat_done:
                self._heartbeat_done.notify_all()
            if self._wake.is_set() and self.state is ServerState.REACHABLE:
                self._wake.clear()
                continue
            await self._wait_next()

    async def _wait_next(self) -> None:
        self._wake.clear()
        wake = asyncio.ensure_future(self._wake.wait())
        period = asyncio.ensure_future(
            self._clock.sleep(self._timing.heartbeat_ms)
        )
        try:
            await asyncio.wait(
                {wake, period}, return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            wake.cancel()
            period.cancel()

    async def _send_heartbeat(self) -> None:
        renewing = self._may_renew()
        wanted = self._wanted
        sent_at = self._clock.now()
        if renewing:
            request = self._make_renewal(wanted, sent_at)
        else:
            request = servers.GrantRequest(
                shard=self._shard,
                term=self._term,
                sequence=next(self._sequence),
            )
        reply = await self.client.send_grants(
            request, timeout_ms=self._timing.call_timeout_ms
        )
        before = (
            self.state,
            self.draining,
            self.seen_idle,
            id(self._acknowledged),
        )
        self._apply_reply(reply, wanted if renewing else None)
        if reply is not None and reply.term <= self._term:
            self._store_report(reply, sent_at)
        after = (
            self.state,
            self.draining,
            self.seen_idle,
            id(self._acknowledged),
        )
        if after != before and self.on_change is not None:
            self.on_change()

    def _store_report(self, reply: servers.GrantReply, sent_at: int) -> None:
        self.report = _server_report.ServerReport(
            in_flight=reply.in_flight,
            sent_at=sent_at,
            incarnation=reply.server_incarnation,
        )
        if self.on_report is not None:
            self.on_report(self.report)

    def _may_renew(self) -> bool:
        """Return whether the next heartbeat may renew grants.

        The last reading of the server's clock must not be older than a
        grant, since the drift between the clocks grows with its age.
        """
        age_ms = self._clock.now() - self._server_clock_read_at
        return (
            self.state is ServerState.REACHABLE
            and age_ms <= self._timing.grant_ms
            and self._authority.is_valid()
        )

    def _make_renewal(
        self, wanted: dict[base.PartitionId, base.Epoch], sent_at: int
    ) -> servers.GrantRequest:
        acknowledged = {} if self._needs_full else self._acknowledged
        granted, revoked = _diff_grants(acknowledged, wanted)
        remaining_ms = self._authority.get_remaining_ms()
        duration_ms = min(self._timing.grant_ms, remaining_ms)
        self._lapsed_at = max(
            self._lapsed_at, sent_at + self._timing.add_margin(duration_ms)
        )
        elapsed_ms = sent_at - self._server_clock_read_at
        return servers.GrantRequest(
            shard=self._shard,
            term=self._term,
            sequence=next(self._sequence),
            server_incarnation=self._incarnation,
            expires_at=self._server_clock_ms + elapsed_ms + duration_ms,
            granted=granted,
            revoked=revoked,
            full=self._needs_full,
        )

    def _apply_reply(
        self,
        reply: servers.GrantReply | None,
        wanted: dict[base.PartitionId, base.Epoch] | None,
    ) -> None:
        if reply is None:
            if self.state is not ServerState.UNSEEN:
                self.state = ServerState.SILENT
            self._needs_full = True
            return
        self.draining = reply.draining
        if reply.term > self._term:
            self.state = ServerState.REFUSING
            self.higher_term = reply.term
            return
        self._server_clock_ms = reply.clock_ms
        self._server_clock_read_at = self._clock.now()
        if reply.server_incarnation != self._incarnation:
            self._incarnation = reply.server_incarnation
            self._needs_full = True
            self._acknowledged = {}
        first_contact = self.state is not ServerState.REACHABLE
        self.state = ServerState.REACHABLE
        if reply.accepted and not reply.in_flight:
            self.seen_idle = True
        if reply.accepted and wanted is not None:
            self._acknowledged = wanted
            self._needs_full = False
        elif first_contact:
            self._wake.set()


def _diff_grants(
    acknowledged: dict[base.PartitionId, base.Epoch],
    wanted: dict[base.PartitionId, base.Epoch],
) -> tuple[list[servers.PartitionGrant], list[base.PartitionId]]:
    """Return the grants and revocations that lead to `wanted`.

    Parameters
    ----------
    acknowledged : dict
        Epoch of each partition that the server has acknowledged.
    wanted : dict
        Epoch of each partition that the server should own.

    Returns
    -------
    granted : list of PartitionGrant
        Grants that the server lacks.
    revoked : list of PartitionId
        Partitions to withdraw.
    """
    if acknowledged is wanted:
        return [], []
    granted = [
        servers.PartitionGrant(partition=partition, epoch=epoch)
        for partition, epoch in wanted.items()
        if acknowledged.get(partition) != epoch
    ]
    revoked = [name for name in acknowledged if name not in wanted]
    return granted, revoked
