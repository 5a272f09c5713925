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
    extends nothing.  No grant outlasts the authority it was given under.
    After an unanswered renewal only probes are sent, so that the time at
    which the grants have surely lapsed stands still.

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
    dialect : GrantDialect
        How the server takes grants.
    inherited_until : int
        When earlier leaders and their grants have surely ended.

    Attributes
    ----------
    lost : bool
        True if an operator vouches that the server has stopped.
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
        self.report: _report.ServerReport | None = None
        self.on_report: Callable[[_report.ServerReport], None] | None = None
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
        self._reading = 0
        self._reading_at = 0
        self._wanted: dict[base.PartitionId, base.Epoch] = {}
        self._held: dict[base.PartitionId, base.Epoch] = {}
        self._full = True
        self._sequence = itertools.count(1)
        self._wake = asyncio.Event()
        self._settled = asyncio.Condition()

    def set_wanted(self, wanted: dict[base.PartitionId, base.Epoch]) -> None:
        """Set the partitions that the server is to own.

        The caller does not change the mapping afterwards.
        """
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
            and self._dialect.may_send(
                now=self._clock.now(), inherited_until=self._inherited_until
            )
        )

    def has_lapsed(self) -> bool:
        """Return whether no grant can be valid at the server."""
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
            # A restarted server forgets terms and may take an old one.
            return False
        return (
            self.state is ServerState.REACHABLE
            and not self._full
            and partition not in self._held
            and partition not in self._wanted
        )

    def set_inherited(self, until: int) -> None:
        """Set when earlier leaders and their grants have surely ended."""
        self._inherited_until = until

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
        before = (self.state, self.draining, self.seen_idle, id(self._held))
        self._take_reply(reply, wanted if renewing else None)
        if reply is not None and reply.term <= self._term:
            self._keep_report(reply, sent_at)
        after = (self.state, self.draining, self.seen_idle, id(self._held))
        if after != before and self.on_change is not None:
            self.on_change()

    def _keep_report(self, reply: servers.GrantReply, sent_at: int) -> None:
        self.report = _report.ServerReport(
            in_flight=reply.in_flight,
            sent_at=sent_at,
            incarnation=reply.server_incarnation,
        )
        if self.on_report is not None:
            self.on_report(self.report)

    def _may_renew(self) -> bool:
        """Return whether a grant may be sent now.

        An old reading of the server's clock is not used: the error of
        the clocks' rates has grown with its age.
        """
        age_ms = self._clock.now() - self._reading_at
        return (
            self.state is ServerState.REACHABLE
            and age_ms <= self._timing.grant_ms
            and self._authority.is_valid()
        )

    def _make_renewal(
        self, wanted: dict[base.PartitionId, base.Epoch], sent_at: int
    ) -> servers.GrantRequest:
        known = {} if self._full else self._held
        granted, revoked = _compare(known, wanted)
        left_ms = self._authority.get_remaining_ms()
        lasts_ms = min(self._timing.grant_ms, left_ms)
        self._lapsed_at = max(
            self._lapsed_at, sent_at + self._timing.add_margin(lasts_ms)
        )
        elapsed_ms = sent_at - self._reading_at
        return servers.GrantRequest(
            shard=self._shard,
            term=self._term,
            sequence=next(self._sequence),
            server_incarnation=self._incarnation,
            expires_at=self._reading + elapsed_ms + lasts_ms,
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
        if reply.accepted and not reply.in_flight:
            self.seen_idle = True
        if reply.accepted and wanted is not None:
            self._held = wanted
            self._full = False
        elif first_contact:
            self._wake.set()


def _compare(
    known: dict[base.PartitionId, base.Epoch],
    wanted: dict[base.PartitionId, base.Epoch],
) -> tuple[list[servers.PartitionGrant], list[base.PartitionId]]:
    """Return the grants and revocations that lead to `wanted`."""
    if known is wanted:
        return [], []
    granted = [
        servers.PartitionGrant(partition=partition, epoch=epoch)
        for partition, epoch in wanted.items()
        if known.get(partition) != epoch
    ]
    revoked = [name for name in known if name not in wanted]
    return granted, revoked
