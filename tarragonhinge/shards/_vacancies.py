"""Finds shards that no instance leads."""

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

#: Period at which an instance looks for shards without a leader.
SEARCH_PERIOD_MS = 500

#: How long a candidate leaves a shard to one that ranks above it.
RANK_DELAY_MS = 1000

#: Candidates for the leadership of one shard.
CANDIDATES = 3

#: Claims a shard: ``(shard, record or None, row_version) -> None``.
Claim = Callable[
    [base.ShardId, _record.ShardRecord | None, int], Awaitable[None]
]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Vacancy:
    """A shard for which no candidate answered that it leads.

    Parameters
    ----------
    shard : ShardId
        The shard.
    rank : int
        Candidates that answered and rank above this instance.
    missing_ms : int
        How long no leader has answered.
    """

    shard: base.ShardId
    rank: int
    missing_ms: int


_Peer = membership.InstanceEntry | _record.Holder


class VacancyFinder:
    """Asks the candidates of all shards, with one message for each peer.

    Parameters
    ----------
    me : InstanceEntry
        This instance.
    candidates : Candidates
        Ranks the instances.
    table : TableClient
        Tells the record of a shard that may be vacant.
    transport : PeerTransport
        Reaches the other candidates.
    clock : Clock
        This process's clock.
    timing : Timing
        Durations.
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
        """Claim those of `shards` that are vacant and this one's turn."""
        ranked = {}
        for shard in shards:
            entries = self._candidates.rank(shard)[:CANDIDATES]
            if any(e.instance == self._me.instance for e in entries):
                ranked[shard] = entries
        replies = await self._ask(ranked)
        vacancies = [
            vacancy
            for shard, entries in ranked.items()
            if (vacancy := self._judge(shard, entries, replies)) is not None
        ]
        await self._claim_due(vacancies, claim)

    async def _ask(
        self,
        ranked: Mapping[base.ShardId, Sequence[_Peer]],
    ) -> dict[base.Address, frozenset[base.ShardId]]:
        """Return the shards that each candidate that answered holds."""
        asked: dict[base.Address, list[base.ShardId]] = {}
        for shard, entries in ranked.items():
            for entry in entries:
                if entry.instance != self._me.instance:
                    asked.setdefault(entry.address, []).append(shard)
        replies = await asyncio.gather(
            *(
                self._transport.call(
                    address,
                    _messages.RolesQuery(shards=shards),
                    timeout_ms=self._timing.call_timeout_ms,
                )
                for address, shards in asked.items()
            )
        )
        return {
            address: frozenset(reply.shards)
            for address, reply in zip(asked, replies, strict=True)
            if isinstance(reply, _messages.RolesReply)
        }

    def _judge(
        self,
        shard: base.ShardId,
        entries: list[membership.InstanceEntry],
        replies: dict[base.Address, frozenset[base.ShardId]],
    ) -> Vacancy | None:
        if any(shard in replies.get(e.address, ()) for e in entries):
            self._missing_since.pop(shard, None)
            return None
        names = [entry.instance for entry in entries]
        above = entries[: names.index(self._me.instance)]
        now = self._clock.now()
        since = self._missing_since.setdefault(shard, now)
        return Vacancy(
            shard=shard,
            rank=sum(entry.address in replies for entry in above),
            missing_ms=now - since,
        )

    async def _claim_due(self, vacancies: list[Vacancy], claim: Claim) -> None:
        due = [
            vacancy
            for vacancy in vacancies
            if vacancy.missing_ms >= vacancy.rank * RANK_DELAY_MS
        ]
        if not due:
            return
        keys = [_record.make_record_key(vacancy.shard) for vacancy in due]
        rows = await self._table.read(keys)
        if isinstance(rows, stores.Unavailable):
            return
        for vacancy, row in zip(due, rows, strict=True):
            if not row.version:
                await claim(vacancy.shard, None, 0)
            elif self._is_silent(vacancy):
                record = _record.decode_record(row.value)
                if not await self._is_held(vacancy.shard, record):
                    await claim(vacancy.shard, record, row.version)

    async def _is_held(
        self, shard: base.ShardId, record: _record.ShardRecord
    ) -> bool:
        """Ask the recorded holders, whom the platform's list may miss."""
        entries = [
            entry
            for entry in (record.leader, record.standby)
            if entry is not None and entry.instance != self._me.instance
        ]
        replies = await self._ask({shard: entries})
        return any(shard in held for held in replies.values())

    def _is_silent(self, vacancy: Vacancy) -> bool:
        """Return whether to ask a recorded leader once more and claim.

        One that gives no answer takes up the rest of the silence.
        """
        wait_ms = self._timing.silence_ms + vacancy.rank * RANK_DELAY_MS
        return vacancy.missing_ms >= wait_ms - self._timing.call_timeout_ms
