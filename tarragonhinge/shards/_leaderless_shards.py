"""Search for shards that no instance leads."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses

from tarragonhinge import base
from tarragonhinge import membership
from tarragonhinge import peers
from tarragonhinge.shards import _candidates
from tarragonhinge.shards import _messages
from tarragonhinge.shards import _record
from tarragonhinge.shards import _timing
from tarragonhinge import stores

#: Period at which an instance searches for shards without a leader.
SEARCH_PERIOD_MS = 500

#: Delay of a claim for each live candidate that ranks higher, which has
#: precedence.
CLAIM_DELAY_PER_RANK_MS = 1000

#: Claims a shard: ``(shard, record or None, row_version) -> None``.
Claim = Callable[
    [base.ShardId, _record.ShardRecord | None, int], Awaitable[None]
]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LeaderlessShard:
    """Shard for which no candidate reported a role.

    Parameters
    ----------
    shard : ShardId
        The shard.
    rank : int
        Number of candidates that replied and rank above this instance.
    missing_ms : int
        Time for which no candidate has reported a role in the shard.
    """

    shard: base.ShardId
    rank: int
    missing_ms: int


_Peer = membership.InstanceEntry | _record.Holder


class LeaderlessShardFinder:
    """Finds shards without a leader by asking their candidates.

    Each search sends one message to each peer, for all shards together.

    Parameters
    ----------
    me : InstanceEntry
        This instance.
    candidates : Candidates
        Ranks the instances.
    table : TableClient
        Provides the record of a shard that may have no leader.
    transport : PeerTransport
        Sends queries to the other candidates.
    clock : Clock
        Clock of this process.
    timing : Timing
        Durations of leases and heartbeats.
    """

    def __init__(
        self,
        *,
        me: membership.InstanceEntry,
        candidates: _candidates.Candidates,
        table: stores.TableClient,
        transport: peers.PeerTransport,
        clock: base.Clock,
        timing: _timing.Timing,
    ) -> None:
        self._me = me
        self._candidates = candidates
        self._table = table
        self._transport = transport
        self._clock = clock
        self._timing = timing
        self._missing_since: dict[base.ShardId, int] = {}

    async def search(
        self, shards: Collection[base.ShardId], claim: Claim
    ) -> None:
        """Claim leaderless shards that this instance may claim now.

        Parameters
        ----------
        shards : collection of ShardId
            Shards in which this instance has no role.
        claim : callable
            Called with each shard to claim.
        """
        ranked = {}
        for shard in shards:
            if not self._candidates.is_ranked(shard):
                # Ranking the instances of a large region for many shards
                # would block the event loop for longer than a heartbeat
                # may be delayed.
                await asyncio.sleep(0)
            entries = self._candidates.list_candidates(shard)
            if any(e.instance == self._me.instance for e in entries):
                ranked[shard] = entries
        replies = await self._query_roles(ranked)
        leaderless = [
            found
            for shard, entries in ranked.items()
            if (found := self._assess(shard, entries, replies)) is not None
        ]
        await self._claim_due(leaderless, claim)

    async def _query_roles(
        self,
        ranked: Mapping[base.ShardId, Sequence[_Peer]],
    ) -> dict[base.Address, frozenset[base.ShardId]]:
        """Return the shards in which each replying peer has a role."""
        queries: dict[base.Address, list[base.ShardId]] = {}
        for shard, entries in ranked.items():
            for entry in entries:
                if entry.instance != self._me.instance:
                    queries.setdefault(entry.address, []).append(shard)
        replies = await asyncio.gather(
            *(
                self._transport.call(
                    address,
                    _messages.RolesQuery(shards=shards),
                    timeout_ms=self._timing.call_timeout_ms,
                )
                for address, shards in queries.items()
            )
        )
        return {
            address: frozenset(reply.shards)
            for address, reply in zip(queries, replies, strict=True)
            if isinstance(reply, _messages.RolesReply)
        }

    def _assess(
        self,
        shard: base.ShardId,
        entries: list[membership.InstanceEntry],
        replies: dict[base.Address, frozenset[base.ShardId]],
    ) -> LeaderlessShard | None:
        if any(shard in replies.get(e.address, ()) for e in entries):
            self._missing_since.pop(shard, None)
            return None
        names = [entry.instance for entry in entries]
        above = entries[: names.index(self._me.instance)]
        now = self._clock.now()
        since = self._missing_since.setdefault(shard, now)
        return LeaderlessShard(
            shard=shard,
            rank=sum(entry.address in replies for entry in above),
            missing_ms=now - since,
        )

    async def _claim_due(
        self, leaderless: list[LeaderlessShard], claim: Claim
    ) -> None:
        due = [
            found
            for found in leaderless
            if found.missing_ms >= found.rank * CLAIM_DELAY_PER_RANK_MS
        ]
        if not due:
            return
        keys = [_record.make_record_key(found.shard) for found in due]
        rows = await self._table.read(keys)
        if isinstance(rows, stores.Unavailable):
            return
        for found, row in zip(due, rows, strict=True):
            if not row.version:
                await claim(found.shard, None, 0)
            elif self._may_replace_leader(found):
                record = _record.decode_record(row.value)
                if not await self._has_role_holder(found.shard, record):
                    await claim(found.shard, record, row.version)

    async def _has_role_holder(
        self, shard: base.ShardId, record: _record.ShardRecord
    ) -> bool:
        """Return whether a recorded leader or standby still has its role.

        Both are queried directly, since the platform's list of instances
        may lack them.
        """
        entries = [
            entry
            for entry in (record.leader, record.standby)
            if entry is not None and entry.instance != self._me.instance
        ]
        replies = await self._query_roles({shard: entries})
        return any(shard in roles for roles in replies.values())

    def _may_replace_leader(self, found: LeaderlessShard) -> bool:
        """Return whether a shard with a recorded leader may be claimed.

        The last query of the recorded leader may take `call_timeout_ms`,
        which therefore counts towards its silence.
        """
        wait_ms = (
            self._timing.silence_ms + found.rank * CLAIM_DELAY_PER_RANK_MS
        )
        return found.missing_ms >= wait_ms - self._timing.call_timeout_ms
