"""Membership of an instance in the fleet, as follower or coordinator."""

import asyncio
from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
import contextlib
import math
import random

import msgspec

from tarragonhinge import base
from tarragonhinge import catalog
from tarragonhinge.coordination import _claim
from tarragonhinge.coordination import _coordinator
from tarragonhinge.coordination import _leadership
from tarragonhinge import events
from tarragonhinge import feeds
from tarragonhinge import forwarding
from tarragonhinge import limits
from tarragonhinge import quarantine
from tarragonhinge import ranges
from tarragonhinge import relay
from tarragonhinge import stores

#: Mean backoff after a failed call to the store.
STORE_RETRY_MS = 300

#: Time without a coordinator after which an instance reads the store
#: directly.
STANDALONE_DELAY_MS = 700

#: Timeout of each attempt to notify the previous coordinator, which is also
#: the delay before the next attempt, and number of attempts.
NOTIFY_INTERVAL_MS = 700
NOTIFY_ATTEMPTS = 8

#: Delay after which an instance that may not claim tries to follow the
#: coordinator again.
STANDALONE_RETRY_MS = 1_500

#: Interval at which an instance that waits to claim checks for another
#: instance's claim.
CLAIM_CHECK_INTERVAL_MS = 250

#: Age of the view from which the view counts as outdated.
MAX_VIEW_AGE_MS = 5_000


class Member:
    """Keeps the view of one instance up to date.

    The instance follows the coordinator, coordinates itself, or reads the
    store directly while there is no coordinator.

    Parameters
    ----------
    instance : InstanceId
        Id of this instance.
    incarnation : IncarnationId
        Incarnation of this process.
    address : Address
        Address on which this instance listens for other instances.
    store : RowStore
        Store of the platform.
    codec : CatalogCodec
        Decodes rows of the store.
    view : View
        View to keep up to date.
    grants : GrantClient
        Sends grants while this instance coordinates.
    exchange : relay.Exchange
        Source of this instance's reports and loads, and receiver of the
        loads of others.
    directory : PeerDirectory
        The other instances, which the coordinator lists.
    is_cut_off : callable
        Returns whether another instance reaches owners of keys that this one
        does not, and far more servers.
    permits : Permits
        Permits for requests to servers that name a limit, which get the
        coordinator as their source.
    ledger : CrashLedger
        Crashes of servers, and the requests that are refused for them.
    trials : Trials
        Trials for refused requests, which get the coordinator as their
        source.
    log : EventLog
        Destination of log events.
    clock : Clock
        This process's clock.
    rng : random.Random
        Adds jitter to claims and retries.
    is_first_start : bool
        Whether the whole system starts for the first time.
    link_mbps : float
        Bandwidth of this instance's link in Mbit/s.
    grant_limit_ms : int
        Upper bound of a grant's duration.
    zones : mapping
        Region of each availability zone.
    row_bytes : int
        Longest value of a row that the store accepts, in bytes of base64.
    """

    def __init__(
        self,
        *,
        instance: base.InstanceId,
        incarnation: base.IncarnationId,
        address: base.Address,
        store: stores.RowStore,
        codec: feeds.CatalogCodec,
        view: catalog.View,
        grants: ranges.GrantClient,
        exchange: relay.Exchange,
        directory: forwarding.PeerDirectory,
        is_cut_off: Callable[[], bool],
        permits: limits.Permits,
        ledger: quarantine.CrashLedger,
        trials: quarantine.Trials,
        log: events.EventLog,
        clock: base.Clock,
        rng: random.Random | None = None,
        is_first_start: bool = True,
        link_mbps: float = math.inf,
        grant_limit_ms: int = 10_000,
        zones: Mapping[base.ZoneName, base.RegionName] | None = None,
        row_bytes: int = 65_536,
    ) -> None:
        self._instance = instance
        self._incarnation = incarnation
        self._address = address
        self._store = store
        self._codec = codec
        self._view = view
        self._grants = grants
        self._exchange = exchange
        self._directory = directory
        self._is_cut_off = is_cut_off
        self._permits = permits
        self._ledger = ledger
        self._trials = trials
        self._log = log
        self._clock = clock
        self._rng = rng or random.Random()
        self._is_first_start = is_first_start
        self._grant_limit_ms = grant_limit_ms
        self._zones = zones or {}
        self._row_bytes = row_bytes
        self._policy = _claim.ClaimPolicy(rng=self._rng, link_mbps=link_mbps)
        self._store_rtt_ms = 0
        self._claim_era = 0
        self._followed_era = 0
        self._era_seen_at = 0
        self._confirmed_era: int | None = None
        self._highest_term = base.Term(0)
        self._deposed_version = 0
        self._successor = base.Address("")
        self._subscription: relay.Subscription | None = None
        self._coordinator: _coordinator.Coordinator | None = None
        self._standalone_task: asyncio.Task | None = None
        self._standalone_feed: feeds.CatalogFeed | None = None
        self._fleet_size: int | None = None

    @property
    def is_coordinator(self) -> bool:
        """Whether this instance coordinates."""
        return self._coordinator is not None

    @property
    def fleet_size(self) -> int | None:
        """Number of instances; None before a coordinator reported it."""
        if self._coordinator is not None:
            return self._coordinator.hub.fleet_size
        if self._subscription is not None:
            self._fleet_size = self._subscription.fleet_size
        return self._fleet_size

    def list_leaders(self) -> list[ranges.RangeLeader]:
        """Return the leaders of the keyed services if it coordinates."""
        if self._coordinator is None:
            return []
        return self._coordinator.list_leaders()

    def get_view_age_ms(self) -> int | None:
        """Return an upper bound of the view's age in milliseconds.

        None if no view was received yet.
        """
        ages = []
        if self._coordinator is not None and self._coordinator.is_acting():
            ages.append(0)
        if self._subscription is not None:
            last_message_at = self._subscription.last_message_at
            if last_message_at is not None:
                ages.append(self._clock.read_boottime() - last_message_at)
        if self._standalone_feed is not None:
            age_ms = self._standalone_feed.get_age_ms()
            if age_ms is not None:
                ages.append(age_ms)
        return min(ages, default=None)

    def is_current(self) -> bool:
        """Return whether the view is recent enough to route requests by."""
        view_age_ms = self.get_view_age_ms()
        return view_age_ms is not None and view_age_ms < MAX_VIEW_AGE_MS

    async def serve_peer(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve a connection from another instance.

        An instance that does not coordinate answers with `Deposed` and
        closes the connection.
        """
        coordinator = self._coordinator
        if coordinator is None:
            with contextlib.suppress(OSError):
                writer.write(
                    relay.encode_frame(relay.Deposed(term=base.Term(0)))
                )
                await writer.drain()
                writer.close()
            return
        try:
            message = await relay.read_message(reader)
        except (OSError, EOFError, base.CodecError):
            writer.close()
            return
        if isinstance(message, relay.Deposed):
            self._record_successor(message)
            writer.close()
            return
        peer = None
        if isinstance(message, relay.Hello) and message.peer:
            peer = message.peer
        await coordinator.hub.serve(reader, writer, peer=peer)

    def _record_successor(self, deposed: relay.Deposed) -> None:
        """Step down for a newer coordinator, also during a store outage."""
        coordinator = self._coordinator
        if coordinator is not None and deposed.term > coordinator.term:
            self._successor = deposed.address
            coordinator.step_down()

    async def _notify_previous(
        self, previous: _leadership.Leadership, term: base.Term
    ) -> None:
        """Notify the previous coordinator of the new one.

        The previous coordinator may be unable to reach the store, where it
        would read the new claim.
        """
        frame = relay.encode_frame(
            relay.Deposed(term=term, address=self._address)
        )
        host, _, port = previous.address.rpartition(":")
        for _ in range(NOTIFY_ATTEMPTS):
            with contextlib.suppress(OSError, TimeoutError):
                async with asyncio.timeout(NOTIFY_INTERVAL_MS / base.MS_PER_S):
                    _, writer = await asyncio.open_connection(host, int(port))
                    writer.write(frame)
                    await writer.drain()
                    writer.close()
                return
            await self._clock.sleep(NOTIFY_INTERVAL_MS)

    async def run(self) -> None:
        """Follow the coordinator or coordinate, until cancelled."""
        try:
            while True:
                self._schedule_standalone()
                row = await self._read_claim()
                if isinstance(row, stores.Unavailable):
                    await self._follow_successor()
                    await self._clock.sleep(
                        int(STORE_RETRY_MS * self._rng.uniform(0.7, 1.3))
                    )
                    continue
                leadership = _leadership.find_leadership(row)
                end_reason = relay.EndReason.UNREACHABLE
                if leadership is not None and not self._is_own(leadership):
                    end_reason = await self._follow(leadership.address)
                    self._schedule_standalone()
                if (
                    end_reason is relay.EndReason.DEPOSED
                    and not self._is_first_deposed_message(row)
                ):
                    # The recorded coordinator is reachable, but has stepped
                    # down.
                    end_reason = relay.EndReason.UNREACHABLE
                if end_reason in (
                    relay.EndReason.UNREACHABLE,
                    relay.EndReason.SILENT,
                ):
                    await self._try_claim(
                        row,
                        delay_ms=self._policy.compute_delay_ms(
                            store_rtt_ms=self._store_rtt_ms,
                            is_cut_off=self._is_cut_off(),
                        ),
                    )
                elif end_reason is relay.EndReason.STORE_LOST:
                    # The claim delay has already passed in the subscription.
                    await self._try_claim(row, delay_ms=0)
                elif end_reason is relay.EndReason.DEPOSED:
                    await self._clock.sleep(STORE_RETRY_MS // 3)
        finally:
            self._stop_standalone()

    async def _follow_successor(self) -> None:
        """Follow the coordinator that deposed this instance, if any."""
        if self._successor:
            address, self._successor = self._successor, base.Address("")
            await self._follow(address)

    def _is_first_deposed_message(self, row: stores.StoredRow) -> bool:
        """Return whether this is the first `Deposed` for a claim's version."""
        is_first = self._deposed_version != row.version
        self._deposed_version = row.version
        return is_first

    def _is_own(self, leadership: _leadership.Leadership) -> bool:
        return leadership.incarnation == self._incarnation

    async def _read_claim(
        self,
    ) -> stores.StoredRow | None | stores.Unavailable:
        """Return the claim's row; None if there is no claim."""
        began_at = self._clock.now()
        result = await self._store.read(_leadership.TABLE)
        if isinstance(result, stores.Unavailable):
            return result
        self._store_rtt_ms = self._clock.now() - began_at
        if result.era != self._claim_era:
            self._claim_era = result.era
            self._era_seen_at = self._clock.read_boottime()
        row = next((r for r in result.rows if r.key == _leadership.KEY), None)
        leadership = _leadership.find_leadership(row)
        if leadership is not None:
            self._record_term(leadership.term)
        return row

    def _record_term(self, term: base.Term) -> None:
        """Record a term that was seen.

        The terms in the store go back if it comes back from an older copy.
        """
        self._highest_term = max(self._highest_term, term)

    async def _check_store(self) -> bool:
        """Return whether this instance reaches the store."""
        row = await self._read_claim()
        return not isinstance(row, stores.Unavailable)

    def _compute_leave_delay_ms(self) -> int:
        """Return the delay before leaving a coordinator that lost the store.

        The delay is given in milliseconds.
        """
        if not self._policy.may_claim(now=self._clock.read_boottime()):
            return STANDALONE_RETRY_MS
        delay_ms = self._policy.compute_delay_ms(
            store_rtt_ms=self._store_rtt_ms, is_cut_off=self._is_cut_off()
        )
        if self._claim_era != self._followed_era:
            # The coordinator confirms the view by its next heartbeat.
            delay_ms += relay.HEARTBEAT_INTERVAL_MS
        return delay_ms

    async def _follow(self, address: base.Address) -> relay.EndReason:
        """Follow a coordinator; return why the subscription ended."""
        subscription = relay.Subscription(
            instance=self._instance,
            address=address,
            view=self._view,
            exchange=self._exchange,
            directory=self._directory,
            ledger=self._ledger,
            check_store=self._check_store,
            compute_leave_delay_ms=self._compute_leave_delay_ms,
            on_update=self._stop_standalone,
            log=self._log,
            clock=self._clock,
        )
        self._subscription = subscription
        self._followed_era = self._claim_era
        self._permits.source = subscription
        self._trials.source = subscription
        try:
            end_reason = await subscription.run()
        finally:
            self._permits.source = None
            self._trials.source = None
        self._record_term(subscription.term)
        if subscription.last_message_at is not None:
            confirmed_at = subscription.confirmed_at
            is_confirmed = (
                confirmed_at is not None and confirmed_at > self._era_seen_at
            )
            self._confirmed_era = self._claim_era if is_confirmed else None
        self._log.write(
            events.DependencyChanged(
                dependency=f"coordinator/{address}",
                reachable=False,
                silent_ms=self.get_view_age_ms() or -1,
                reason=end_reason.value,
            )
        )
        return end_reason

    async def _try_claim(
        self, row: stores.StoredRow | None, *, delay_ms: int
    ) -> None:
        """Claim the coordination; coordinate if the claim succeeds."""
        if not self._policy.may_claim(now=self._clock.read_boottime()):
            await self._clock.sleep(STANDALONE_RETRY_MS)
            return
        version = row.version if row is not None else 0
        era = self._claim_era
        ends_at = self._clock.now() + delay_ms
        while True:
            left_ms = max(0, ends_at - self._clock.now())
            await self._clock.sleep(min(left_ms, CLAIM_CHECK_INTERVAL_MS))
            current = await self._read_claim()
            if isinstance(current, stores.Unavailable):
                return
            if self._claim_era != era:
                return
            if (current.version if current is not None else 0) != version:
                return
            if self._clock.now() >= ends_at:
                break
        previous = _leadership.find_leadership(current)
        term = base.Term(self._highest_term + 1)
        claim = _leadership.Leadership(
            term=term,
            instance=self._instance,
            incarnation=self._incarnation,
            address=self._address,
            first_era=_leadership.find_first_era(
                previous,
                seen=self._store.first_era,
                is_first_start=self._is_first_start,
            ),
        )
        result = await self._store.write(
            checks=[
                stores.RowCheck(
                    table=_leadership.TABLE,
                    key=_leadership.KEY,
                    version=version,
                )
            ],
            puts=[
                stores.RowPut(
                    table=_leadership.TABLE,
                    key=_leadership.KEY,
                    value=_leadership.encode_leadership(claim),
                )
            ],
            era=era,
        )
        if isinstance(result, stores.Conflict):
            return
        current = await self._read_claim()
        if isinstance(current, stores.StoredRow):
            stored = _leadership.find_leadership(current)
            if stored is not None and self._is_own(stored):
                await self._coordinate(stored, current.version, previous)

    async def _coordinate(
        self,
        leadership: _leadership.Leadership,
        version: int,
        previous: _leadership.Leadership | None,
    ) -> None:
        """Coordinate until another instance is the coordinator."""
        began_at = self._clock.read_boottime()
        self._stop_standalone()
        self._log_leadership(leadership.term, leads=True, reason="claimed")
        condition = stores.Claim(
            term=leadership.term,
            check=stores.RowCheck(
                table=_leadership.TABLE, key=_leadership.KEY, version=version
            ),
            era=self._claim_era,
        )
        coordinator = _coordinator.Coordinator(
            leadership=leadership,
            condition=condition,
            store=self._store,
            codec=self._codec,
            view=self._view,
            grants=self._grants,
            exchange=self._exchange,
            directory=self._directory,
            is_cut_off=self._is_cut_off,
            server_limits=self._permits.limits,
            ledger=self._ledger,
            log=self._log,
            clock=self._clock,
            is_view_confirmed=self._confirmed_era == self._claim_era,
            grant_limit_ms=self._grant_limit_ms,
            zones=self._zones,
            row_bytes=self._row_bytes,
        )
        self._coordinator = coordinator
        self._permits.source = coordinator
        self._trials.source = coordinator
        notifier = None
        if previous is not None and not self._is_own(previous):
            notifier = asyncio.create_task(
                self._notify_previous(previous, leadership.term)
            )
        reason = "cancelled"
        try:
            await coordinator.run()
            reason = coordinator.end_reason
        except Exception as error:
            reason = "failed"
            self._log.write(
                events.TaskFailed(task="coordinator", problem=repr(error))
            )
        finally:
            if notifier is not None:
                notifier.cancel()
            self._coordinator = None
            self._permits.source = None
            self._trials.source = None
            self._fleet_size = coordinator.hub.fleet_size
            self._record_term(coordinator.term)
            self._log_leadership(coordinator.term, leads=False, reason=reason)
        if reason in ("deposed", "failed"):
            self._policy.record_leadership(
                began_at=began_at, ended_at=self._clock.read_boottime()
            )

    def _log_leadership(
        self, term: base.Term, *, leads: bool, reason: str
    ) -> None:
        self._log.write(
            events.LeadershipChanged(term=term, leads=leads, reason=reason)
        )

    def _schedule_standalone(self) -> None:
        """Read the store directly after `STANDALONE_DELAY_MS`.

        Only an update of a coordinator, or the coordination by this instance,
        ends the delay or the reading; attempts to follow one do not.
        """
        if self._standalone_task is None:
            self._standalone_task = asyncio.create_task(self._run_standalone())

    async def _run_standalone(self) -> None:
        while True:
            await self._clock.sleep(STANDALONE_DELAY_MS)
            try:
                await self._read_store()
            except Exception as error:
                self._log.write(
                    events.TaskFailed(task="standalone", problem=repr(error))
                )

    async def _read_store(self) -> None:
        """Follow the store directly until cancelled."""
        feed = feeds.CatalogFeed(
            store=self._store,
            codec=self._codec,
            view=self._view,
            log=self._log,
            clock=self._clock,
        )
        self._standalone_feed = feed
        owners = feeds.TableFollower(
            store=self._store,
            table=ranges.TABLE,
            handle_rows=self._handle_records,
            log=self._log,
            clock=self._clock,
        )
        async with asyncio.TaskGroup() as group:
            group.create_task(feed.run())
            group.create_task(owners.run())

    def _handle_records(
        self, rows: Sequence[stores.StoredRow], is_whole: bool
    ) -> None:
        """Add the recorded lease holders to the view."""
        for row in rows:
            try:
                record = ranges.decode_record(row.value)
            except base.CodecError as error:
                self._log.write(
                    events.RowIgnored(
                        table=row.table, key=row.key, problem=error.problem
                    )
                )
                continue
            service = base.ServiceName(row.key)
            if not self._knows_later_grants(service, record):
                self._view.set_owners(service, _make_owner_map(record))

    def _knows_later_grants(
        self, service: base.ServiceName, record: ranges.RangeRecord
    ) -> bool:
        """Return whether a record may be older than the view.

        The record goes back if the store comes back from an older copy.
        """
        owners = self._view.owners.get(service)
        return owners is not None and (
            record.is_outdated(self._store.era)
            or any(s.fence >= record.next_fence for s in owners.segments)
        )

    def _stop_standalone(self) -> None:
        if self._standalone_task is not None:
            self._standalone_task.cancel()
            self._standalone_task = None
            self._standalone_feed = None


def _make_owner_map(record: ranges.RangeRecord) -> catalog.OwnerMap:
    """Return the recorded holders as owners that serve their keys.

    A holder is recorded before it is granted its keys, and the record does
    not tell whether it has them since. Requests are sent to it, since it
    refuses them if it has not.
    """
    held = catalog.SegmentState.HELD
    return catalog.OwnerMap(
        segments=[
            msgspec.structs.replace(segment, state=held)
            for segment in record.segments
        ]
    )
