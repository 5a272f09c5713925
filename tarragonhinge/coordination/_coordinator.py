"""Duties of the instance that coordinates the fleet."""

import asyncio
from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
import struct

import msgspec

from tarragonhinge import base
from tarragonhinge import catalog
from tarragonhinge.coordination import _authority
from tarragonhinge.coordination import _leadership
from tarragonhinge.coordination import _refusal_keeper
from tarragonhinge import events
from tarragonhinge import feeds
from tarragonhinge import forwarding
from tarragonhinge import limits
from tarragonhinge import quarantine
from tarragonhinge import ranges
from tarragonhinge import relay
from tarragonhinge import stores

#: Interval between checks for new keyed services.
CHECK_INTERVAL_MS = 100

#: Interval between the reports of the coordinator's own gateway.
REPORT_INTERVAL_MS = 500

#: Longest duration of a watch on the claim. The responses to the watch prove
#: the leadership and show the other instances that the coordinator reaches
#: the store.
CLAIM_WATCH_TIMEOUT_MS = 700

#: Longest backoff after a failed watch on the claim. It is short so that the
#: coordinator reaches the store again before its followers leave it.
CLAIM_WATCH_RETRY_CAP_MS = 250

#: Delay before a claim that could not be written again is retried.
CLAIM_RETRY_MS = 100

#: Interval at which a coordinator checks whether others reach owners of keys
#: that it can't reach, and time after which it steps down for that.
CUT_OFF_CHECK_INTERVAL_MS = 100
CUT_OFF_CONFIRMATION_MS = 200

#: Interval at which server loads that this instance observed are forwarded.
LOAD_REPORT_INTERVAL_MS = 80


class Coordinator(limits.PermitSource, quarantine.TrialSource):
    """Reads the store for all instances and assigns the keys to servers.

    Parameters
    ----------
    leadership : Leadership
        This instance's claim.
    condition : Claim
        Condition that holds only while the claim is stored.
    store : RowStore
        Store of the platform.
    codec : CatalogCodec
        Decodes rows of the store.
    view : View
        This instance's view of tables, servers and owners.
    grants : GrantClient
        Sends grants to servers.
    exchange : relay.Exchange
        Source of this instance's own reports and loads.
    directory : PeerDirectory
        The other instances, which the hub lists.
    is_cut_off : callable
        Returns whether another instance reaches owners of keys that this one
        does not, and far more servers.
    server_limits : ServerLimits
        Limits of servers that this instance knows of.
    ledger : CrashLedger
        Crashes of servers, and the requests that are refused for them.
    log : EventLog
        Destination of log events.
    clock : Clock
        This process's clock.
    is_view_confirmed : bool
        Whether the former coordinator confirmed its owner maps after the store
        had come back from a copy.
    grant_limit_ms : int
        Upper bound of a grant's duration.
    zones : mapping
        Region of each availability zone.
    row_bytes : int
        Longest value of a row that the store accepts, in bytes of base64.

    Attributes
    ----------
    hub : relay.Hub
        Distributes updates to the other instances.
    end_reason : str
        Reason why the leadership has ended.
    """

    def __init__(
        self,
        *,
        leadership: _leadership.Leadership,
        condition: stores.Claim,
        store: stores.RowStore,
        codec: feeds.CatalogCodec,
        view: catalog.View,
        grants: ranges.GrantClient,
        exchange: relay.Exchange,
        directory: forwarding.PeerDirectory,
        is_cut_off: Callable[[], bool],
        server_limits: limits.ServerLimits,
        ledger: quarantine.CrashLedger,
        log: events.EventLog,
        clock: base.Clock,
        is_view_confirmed: bool,
        grant_limit_ms: int,
        zones: Mapping[base.ZoneName, base.RegionName],
        row_bytes: int,
    ) -> None:
        self._leadership = leadership
        self._condition = condition
        self._store = store
        self._view = view
        self._grants = grants
        self._exchange = exchange
        self._is_cut_off = is_cut_off
        self._log = log
        self._clock = clock
        self._is_view_confirmed = is_view_confirmed
        self._grant_limit_ms = grant_limit_ms
        self._zones = zones
        self._row_bytes = row_bytes
        self._claimed_at = clock.read_boottime()
        self._feed = feeds.CatalogFeed(
            store=store, codec=codec, view=view, log=log, clock=clock
        )
        self._claim_follower = feeds.TableFollower(
            store=store,
            table=_leadership.TABLE,
            handle_rows=self._handle_claims,
            log=log,
            clock=clock,
            watch_timeout_ms=CLAIM_WATCH_TIMEOUT_MS,
            retry_cap_ms=CLAIM_WATCH_RETRY_CAP_MS,
        )
        self._deposed = asyncio.Event()
        self.end_reason = "deposed"
        # Era and version of the newest claim that the follower has seen.
        self._seen_claim = (0, 0)
        self._issuer = limits.PermitIssuer(limits=server_limits, clock=clock)
        self._trial_issuer = quarantine.TrialIssuer(ledger=ledger, log=log)
        self._refusal_keeper = _refusal_keeper.RefusalKeeper(
            store=store, claim=condition, ledger=ledger, log=log, clock=clock
        )
        self.hub = relay.Hub(
            term=leadership.term,
            view=view,
            get_store_age=self.get_store_age,
            is_store_failing=lambda: self._claim_follower.is_failing,
            handle_report=self._handle_report,
            handle_loads=exchange.apply_loads,
            knows_holders=self._knows_holders,
            issuer=self._issuer,
            ledger=ledger,
            trial_issuer=self._trial_issuer,
            directory=directory,
            clock=clock,
        )
        self._authority = _authority.Authority(
            get_proof_age=self._get_proof_age,
            is_outage_agreed=self.hub.is_outage_agreed,
        )
        self._leaders: dict[base.ServiceName, ranges.RangeLeader] = {}

    @property
    def term(self) -> base.Term:
        """Term of the claim."""
        return self._leadership.term

    def list_leaders(self) -> list[ranges.RangeLeader]:
        """Return the leaders of the keyed services."""
        return list(self._leaders.values())

    def _get_proof_age(self) -> base.Millis:
        if not self._condition.is_current(self._store):
            return base.Millis(_authority.AUTHORITY_MS)
        age_ms = self._claim_follower.get_age_ms()
        if age_ms is None:
            return base.Millis(self._clock.read_boottime() - self._claimed_at)
        return base.Millis(age_ms)

    async def request_permit(
        self,
        incarnation: limits.Incarnation,
        *,
        rate: float,
        max_wait_ms: int,
        is_cold: bool = False,
    ) -> limits.Reservation:
        """Issue a permit to this instance itself."""
        return self._issuer.reserve(
            incarnation,
            named_rate=rate,
            max_wait_ms=max_wait_ms,
            is_cold=is_cold,
        )

    async def request_trial(
        self, digest: quarantine.RequestDigest, version: str | None
    ) -> str | None:
        """Issue a trial to this instance itself."""
        return self._trial_issuer.issue(digest, version)

    def _knows_holders(self) -> bool:
        """Return whether the view names the only holder of each key."""
        table = self._view.table
        return table is not None and all(
            name in self._leaders and self._leaders[name].knows_holders
            for name in table.list_keyed()
        )

    def _find_rate_limit(self, entry: catalog.ServerEntry) -> float | None:
        return self._issuer.limits.find_lowest((entry.server, entry.born_ms))

    def get_store_age(self) -> int:
        """Return the time since the store last responded, in milliseconds."""
        age_ms = self._feed.get_age_ms()
        if age_ms is None:
            return self._get_proof_age()
        return min(age_ms, self._get_proof_age())

    def is_acting(self) -> bool:
        """Return whether this instance may still act as coordinator."""
        return self._authority.may_act()

    def _handle_claims(
        self, rows: Sequence[stores.StoredRow], is_whole: bool
    ) -> None:
        """Step down if another instance has written a claim.

        A store that has come back from a copy may show a former claim, which
        has a lower term.
        """
        for row in rows:
            if row.key != _leadership.KEY:
                continue
            self._seen_claim = (self._claim_follower.era, row.version)
            if (
                self._condition.era == self._claim_follower.era
                and not self._is_own(row)
            ):
                self._deposed.set()

    def _is_own(self, row: stores.StoredRow) -> bool:
        """Return whether a row is a claim of this term or a later one."""
        stored = _leadership.find_leadership(row)
        return (
            stored is not None
            and stored.incarnation == self._leadership.incarnation
            and stored.term >= self.term
        )

    async def _keep_claim(self) -> None:
        """Claim again each time the store has come back from a copy."""
        while True:
            await self._store.wait_for_era_after(self._condition.era)
            await self._claim_again()
            self.hub.term = self.term
            for leader in self._leaders.values():
                leader.record_again()

    async def _claim_again(self) -> None:
        """Write the claim with a higher term, unless another one is newer."""
        while not self._condition.is_current(self._store):
            rows = await self._store.read(_leadership.TABLE)
            if isinstance(rows, stores.Unavailable):
                await self._clock.sleep(CLAIM_RETRY_MS)
                continue
            row = next(
                (r for r in rows.rows if r.key == _leadership.KEY), None
            )
            stored = _leadership.find_leadership(row)
            if row is not None and self._is_own(row):
                if self._seen_claim <= (rows.era, row.version):
                    self._leadership = stored
                    self._renew_condition(row.version, rows.era)
                continue
            if stored is not None and stored.term >= self.term:
                self._deposed.set()
                return
            await self._write_claim(row, rows.era)

    async def _write_claim(
        self, row: stores.StoredRow | None, era: int
    ) -> None:
        """Write the claim with the next term in place of a former one.

        It is read back, since another claim may replace it at once.
        """
        version = row.version if row is not None else 0
        leadership = msgspec.structs.replace(
            self._leadership, term=base.Term(self.term + 1)
        )
        result = await self._store.write(
            checks=[self._make_check(version)],
            puts=[
                stores.RowPut(
                    table=_leadership.TABLE,
                    key=_leadership.KEY,
                    value=_leadership.encode_leadership(leadership),
                )
            ],
            era=era,
        )
        if isinstance(result, stores.Committed):
            self._leadership = leadership
        elif isinstance(result, stores.Unavailable | stores.Rejected):
            await self._clock.sleep(CLAIM_RETRY_MS)

    def _renew_condition(self, version: int, era: int) -> None:
        self._condition.renew(
            term=self.term, check=self._make_check(version), era=era
        )
        self._log.write(
            events.LeadershipChanged(
                term=self.term, leads=True, reason="claimed_again"
            )
        )

    @staticmethod
    def _make_check(version: int) -> stores.RowCheck:
        return stores.RowCheck(
            table=_leadership.TABLE, key=_leadership.KEY, version=version
        )

    def _handle_report(self, report: relay.Report) -> None:
        for service, packed in report.keys.items():
            leader = self._leaders.get(service)
            if leader is not None:
                keys = struct.unpack(f"!{len(packed) // 2}H", packed)
                leader.record_keys(keys)
        for speed in report.speeds:
            entry = self._view.servers.get(speed.server)
            if entry is not None and entry.service in self._leaders:
                self._leaders[entry.service].record_service_time(
                    speed.server, count=speed.count, mean_ms=speed.mean_ms
                )

    def step_down(self) -> None:
        """End the leadership."""
        self._deposed.set()

    async def run(self) -> None:
        """Coordinate until cancelled or until the leadership ends."""
        tasks = [
            asyncio.create_task(coroutine)
            for coroutine in (
                self._feed.run(),
                self._claim_follower.run(),
                self._keep_claim(),
                self.hub.run(),
                self._refusal_keeper.run(),
                self._manage_services(),
                self._apply_own_reports(),
                self._forward_own_loads(),
                self._wait_until_cut_off(),
                self._deposed.wait(),
            )
        ]
        try:
            done, _ = await asyncio.wait(
                tasks, return_when=asyncio.FIRST_COMPLETED
            )
            for task in done:
                self._raise_unless_deposed(task)
        finally:
            for task in tasks:
                task.cancel()
            self.hub.depose(self.term)

    def _raise_unless_deposed(self, task: asyncio.Task) -> None:
        error = task.exception()
        if error is None:
            return
        if isinstance(error, BaseExceptionGroup):
            _, other_errors = error.split(ranges.LeadershipLostError)
            if other_errors is None:
                return
        raise error

    async def _wait_until_cut_off(self) -> None:
        """Return once an instance that reaches the owners is to take over.

        The owners' grants expire if no coordinator reaches them.
        """
        cut_off_since: int | None = None
        while True:
            now = self._clock.now()
            if not self._is_cut_off():
                cut_off_since = None
            elif cut_off_since is None:
                cut_off_since = now
            elif now - cut_off_since >= CUT_OFF_CONFIRMATION_MS:
                self.end_reason = "cut_off"
                return
            await self._clock.sleep(CUT_OFF_CHECK_INTERVAL_MS)

    async def _apply_own_reports(self) -> None:
        """Apply the reports of this instance at intervals."""
        while True:
            await self._clock.sleep(REPORT_INTERVAL_MS)
            self._handle_report(self._exchange.make_report())

    async def _forward_own_loads(self) -> None:
        """Forward the server loads observed by this instance at intervals."""
        while True:
            await self._clock.sleep(LOAD_REPORT_INTERVAL_MS)
            self.hub.forward_loads(self._exchange.make_loads())

    async def _manage_services(self) -> None:
        """Run a range leader for each keyed service of the current table."""
        async with asyncio.TaskGroup() as group:
            while True:
                table = self._view.table
                names = table.list_keyed() if table is not None else []
                for name in names:
                    if name not in self._leaders:
                        leader = self._make_leader(name)
                        self._leaders[name] = leader
                        group.create_task(leader.run())
                await self._clock.sleep(CHECK_INTERVAL_MS)

    def _make_leader(self, service: base.ServiceName) -> ranges.RangeLeader:
        return ranges.RangeLeader(
            service=service,
            recorder=ranges.RangeRecorder(
                store=self._store,
                service=service,
                claim=self._condition,
                first_era=self._leadership.first_era,
                row_bytes=self._row_bytes,
                clock=self._clock,
            ),
            view=self._view,
            grants=self._grants,
            get_store_age=self.get_store_age,
            zones=self._zones,
            find_rate_limit=self._find_rate_limit,
            may_renew=self._authority.may_act,
            is_view_confirmed=self._is_view_confirmed,
            inherited_until=self._claimed_at + _authority.AUTHORITY_MS,
            log=self._log,
            clock=self._clock,
            grant_limit_ms=self._grant_limit_ms,
        )
