"""Keeps the grants of one backend server renewed."""

import asyncio
from collections.abc import Callable
import enum
import itertools

from tarragonhinge import base
from tarragonhinge import configuration
from tarragonhinge import servers
from tarragonhinge.shards import _authority
from tarragonhinge.shards import _report
from tarragonhinge.shards import _timing


class ServerState(enum.Enum):
    """What a leader knows of a server."""

    UNSEEN = "unseen"
    REACHABLE = "reachable"
    SILENT = "silent"
    REFUSING = "refusing"


class GrantKeeper:
    """Batched heartbeat of a leader to one server.

    The expiry of a renewal is stated on the server's own clock, from a
    reading that the server gave earlier: a renewal that arrives late
    extends nothing.  After an unanswered renewal only probes are sent,
    so that the time at which the grants have surely lapsed stands still.

    Parameters
    ----------
    entry : ServerEntry
        The server.
    client : ServerClient
        Connection to it.
    shard : ShardId
        The shard whose partitions it may own.
    term : Term
        Term of the leader.
    authority : AuthorityLease
        Checked right before each renewal.
    clock : Clock
        The leader's clock.
    timing : Timing
        Durations.
    lapsed_at : int
        When grants of earlier leaders have surely lapsed there.
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
        lapsed_at: int,
    ) -> None:
        self.entry = entry
        self.client = client
        self.state = ServerState.UNSEEN
        self.draining = False
        self.higher_term = base.Term(0)
        self.report: _report.ServerReport | None = None
        self.on_report: Callable[[_report.ServerReport], None] | None = None
        self._shard = shard
        self._term = term
        self._authority = authority
        self._clock = clock
        self._timing = timing
        self._lapsed_at = lapsed_at
        self._incarnation = ""
        self._reading = 0
        self._reading_at = 0
        self._wanted: dict[base.PartitionId, base.Epoch] = {}
        self._held: dict[base.PartitionId, base.Epoch] = {}
        self._full = True
        self._sequence = itertools.count(1)
        self._wake = asyncio.Event()
        self._settled = asyncio.Condition()

    def set_wanted(self, wanted: dict[base.PartitionId, base.Epoch]) -> None:
        """Set the partitions that the server is to own."""
        if wanted != self._wanted:
            self._wanted = wanted
            self._wake.set()

    def owns(self, partition: base.PartitionId, epoch: base.Epoch) -> bool:
        """Return whether the server acknowledged a grant and still wants it.

        A server may have let the grant lapse since; it then refuses.
        """
        return (
            self.state is ServerState.REACHABLE
            and self._held.get(partition) == epoch
            and self._wanted.get(partition) == epoch
        )

    def has_lapsed(self) -> bool:
        """Return whether no grant can be valid at the server."""
        return self._clock.now() >= self._lapsed_at

    def has_released(self, partition: base.PartitionId) -> bool:
        """Return whether the server certainly does not own a partition."""
        if self.has_lapsed():
            return True
        return (
            self.state is ServerState.REACHABLE
            and not self._full
            and partition not in self._held
            and partition not in self._wanted
        )

    async def wait_settled(self, timeout_ms: int) -> None:
        """Wait for the next change of state, at most `timeout_ms`."""
        try:
            async with asyncio.timeout(timeout_ms / base.MS_PER_S):
                async with self._settled:
                    await self._settled.wait()
        except TimeoutError:
            pass

    async def run(self) -> None:
        """Send heartbeats until cancelled."""
        while True:
            await self._beat()
            async with self._settled:
                self._settled.notify_all()
            if self._wake.is_set() and self.state is ServerState.REACHABLE:
                self._wake.clear()
                continue
            await self._wait_turn()

    async def _wait_turn(self) -> None:
        self._wake.clear()
        wake = asyncio.ensure_future(self._wake.wait())
        turn = asyncio.ensure_future(
            self._clock.sleep(self._timing.heartbeat_ms)
        )
        try:
            await asyncio.wait(
                {wake, turn}, return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            wake.cancel()
            turn.cancel()

    async def _beat(self) -> None:
        renewing = (
            self.state is ServerState.REACHABLE and self._authority.is_valid()
        )
        wanted = dict(self._wanted)
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
        self._take_reply(reply, wanted if renewing else None)
        if reply is not None and reply.term <= self._term:
            self._keep_report(reply, sent_at)

    def _keep_report(self, reply: servers.GrantReply, sent_at: int) -> None:
        self.report = _report.ServerReport(
            in_flight=reply.in_flight,
            sent_at=sent_at,
            incarnation=reply.server_incarnation,
        )
        if self.on_report is not None:
            self.on_report(self.report)

    def _make_renewal(
        self, wanted: dict[base.PartitionId, base.Epoch], sent_at: int
    ) -> servers.GrantRequest:
        known = {} if self._full else self._held
        granted = [
            servers.PartitionGrant(partition=partition, epoch=epoch)
            for partition, epoch in wanted.items()
            if known.get(partition) != epoch
        ]
        revoked = [name for name in known if name not in wanted]
        self._lapsed_at = max(
            self._lapsed_at,
            sent_at + self._timing.grant_ms + self._timing.margin_ms,
        )
        elapsed_ms = sent_at - self._reading_at
        return servers.GrantRequest(
            shard=self._shard,
            term=self._term,
            sequence=next(self._sequence),
            server_incarnation=self._incarnation,
            expires_at=self._reading + elapsed_ms + self._timing.grant_ms,
            granted=granted,
            revoked=revoked,
            full=self._full,
        )

    def _take_reply(
        self,
        reply: servers.GrantReply | None,
        wanted: dict[base.PartitionId, base.Epoch] | None,
    ) -> None:
        if reply is None:
            if self.state is not ServerState.UNSEEN:
                self.state = ServerState.SILENT
            self._full = True
            return
        self.draining = reply.draining
        if reply.term > self._term:
            self.state = ServerState.REFUSING
            self.higher_term = reply.term
            return
        self._reading = reply.clock_ms
        self._reading_at = self._clock.now()
        if reply.server_incarnation != self._incarnation:
            self._incarnation = reply.server_incarnation
            self._full = True
            self._held = {}
        first_contact = self.state is not ServerState.REACHABLE
        self.state = ServerState.REACHABLE
        if reply.accepted and wanted is not None:
            self._held = wanted
            self._full = False
        elif first_contact:
            self._wake.set()
