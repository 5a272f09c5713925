"""Coordinator's side of the relay."""

import asyncio
from collections.abc import Callable
import contextlib

import msgspec

from tarragonhinge import base
from tarragonhinge import catalog
from tarragonhinge import forwarding
from tarragonhinge import limits
from tarragonhinge import quarantine
from tarragonhinge.relay import _frames
from tarragonhinge.relay import _messages

#: Interval between heartbeats. It is long because heartbeats cross regions.
HEARTBEAT_INTERVAL_MS = 450

#: Interval between checks for a failure or recovery of the store, which is
#: sent in an extra heartbeat.
STORE_CHECK_INTERVAL_MS = 100

#: Time for which changes are collected into one message.
CHANGE_BATCH_MS = 20

#: Shortest interval between two table versions that are sent, so that of many
#: versions in quick succession only the last is sent.
TABLE_BATCH_MS = 250

#: Time for which server loads are collected into one message.
LOAD_BATCH_MS = 80

#: Largest write buffer of a subscriber's connection; beyond it, the connection
#: is aborted.
MAX_BACKLOG_BYTES = 4 << 20

#: Minimum number of connected subscribers for an agreement on a store outage,
#: as a fraction of the largest number so far.
OUTAGE_QUORUM_RATIO = 0.5

#: Age from which a subscriber's report of a store outage is ignored.
MAX_OUTAGE_REPORT_AGE_MS = 2_500


class _Subscriber:
    """Connection to one subscribed instance."""

    def __init__(
        self,
        *,
        writer: asyncio.StreamWriter,
        peer: forwarding.PeerInstance | None,
    ) -> None:
        self._writer = writer
        self.peer = peer
        self.store_silent_at: int | None = None

    def send(self, frame: bytes) -> None:
        """Send a frame; abort the connection if the write buffer is full."""
        if self._writer.transport.get_write_buffer_size() > MAX_BACKLOG_BYTES:
            self._writer.transport.abort()
            return
        self._writer.write(frame)

    def close(self) -> None:
        """Close the connection after all buffered data is sent."""
        self._writer.close()


class Hub:
    """Sends the coordinator's view to subscribers and receives reports.

    Parameters
    ----------
    term : Term
        Leadership term of the coordinator.
    view : View
        View whose changes are sent.
    get_store_age : callable
        Returns the time since the store last responded, in milliseconds.
    is_store_failing : callable
        Returns whether the last call to the store failed.
    handle_report : callable
        Called with each report of a subscriber.
    handle_loads : callable
        Called with server loads that a subscriber observed.
    knows_holders : callable
        Returns whether the view names the only server that may hold a key.
    issuer : PermitIssuer
        Issues the permits of all instances.
    ledger : CrashLedger
        Crashes that this instance has seen or heard of.
    trial_issuer : TrialIssuer
        Issues the trials of refused requests.
    directory : PeerDirectory
        The other instances, which the hub lists.
    clock : Clock
        This process's clock.

    Attributes
    ----------
    term : Term
        Leadership term of the coordinator.
    """

    def __init__(
        self,
        *,
        term: base.Term,
        view: catalog.View,
        get_store_age: Callable[[], int],
        is_store_failing: Callable[[], bool],
        handle_report: Callable[[_messages.Report], None],
        handle_loads: Callable[[_messages.Loads], None],
        knows_holders: Callable[[], bool],
        issuer: limits.PermitIssuer,
        ledger: quarantine.CrashLedger,
        trial_issuer: quarantine.TrialIssuer,
        directory: forwarding.PeerDirectory,
        clock: base.Clock,
    ) -> None:
        self.term = term
        self._view = view
        self._get_store_age = get_store_age
        self._is_store_failing = is_store_failing
        self._handle_report = handle_report
        self._handle_loads = handle_loads
        self._knows_holders = knows_holders
        self._issuer = issuer
        self._ledger = ledger
        self._trial_issuer = trial_issuer
        self._directory = directory
        self._has_new_peers = False
        self._pending_loads: dict[base.ServerId, _messages.ObservedLoad] = {}
        self._pending_work: dict[base.ServerId, int] = {}
        self._pending_limits: dict[limits.Incarnation, limits.NamedLimit] = {}
        self._pending_cold: dict[
            tuple[limits.Incarnation, limits.ColdSource], limits.ColdServer
        ] = {}
        self._has_pending_loads = asyncio.Event()
        self._clock = clock
        self._subscribers: set[_Subscriber] = set()
        self._max_subscribers = 0
        self._sent_table = view.table
        self._sent_servers = dict(view.servers)
        self._sent_owners = dict(view.owners)
        self._sent_zones = self._get_evacuated_zones()
        self._table_sent_at = 0
        self._snapshot_frame: bytes | None = None
        self._changed = asyncio.Event()
        self._subscription = view.changes.subscribe(
            lambda _: self._changed.set()
        )

    @property
    def fleet_size(self) -> int:
        """Number of instances: the subscribers and this one."""
        return len(self._subscribers) + 1

    def is_outage_agreed(self) -> bool:
        """Return whether no subscriber reaches the store either.

        Subscribers that disconnected may follow another coordinator.
        Therefore the number of connected subscribers must be at least
        `OUTAGE_QUORUM_RATIO` times the largest number so far.
        """
        now = self._clock.read_boottime()
        if (
            len(self._subscribers)
            < OUTAGE_QUORUM_RATIO * self._max_subscribers
        ):
            return False
        return all(
            s.store_silent_at is not None
            and now - s.store_silent_at < MAX_OUTAGE_REPORT_AGE_MS
            for s in self._subscribers
        )

    async def run(self) -> None:
        """Send changes, heartbeats and loads until cancelled."""
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._send_changes())
                group.create_task(self._send_heartbeats())
                group.create_task(self._send_loads())
                group.create_task(self._send_evidence())
        finally:
            self._subscription.dispose()

    def depose(self, term: base.Term) -> None:
        """Report the end of the leadership and disconnect all subscribers."""
        frame = _frames.encode_frame(_messages.Deposed(term=term))
        for subscriber in list(self._subscribers):
            subscriber.send(frame)
            subscriber.close()
        self._subscribers.clear()

    async def serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        peer: forwarding.PeerInstance | None = None,
    ) -> None:
        """Serve one subscriber until its connection is closed.

        Parameters
        ----------
        reader, writer : StreamReader, StreamWriter
            Its connection.
        peer : PeerInstance or None
            Where it accepts requests of other instances.
        """
        subscriber = _Subscriber(writer=writer, peer=peer)
        subscriber.send(_frames.encode_frame(self._make_heartbeat()))
        evidence = self._ledger.list_all()
        if evidence:
            # Before the snapshot, with which the instance becomes ready.
            subscriber.send(_frames.encode_frame(evidence))
        subscriber.send(self._encode_snapshot())
        known = _messages.Loads(
            seen=[],
            named_limits=self._issuer.limits.list_all(),
            cold=self._issuer.limits.list_cold(),
        )
        if known:
            subscriber.send(_frames.encode_frame(known))
        self._subscribers.add(subscriber)
        self._record_peers()
        self._max_subscribers = max(
            self._max_subscribers, len(self._subscribers)
        )
        try:
            while True:
                message = await _frames.read_message(reader)
                if isinstance(message, _messages.Report):
                    subscriber.store_silent_at = None
                    if message.is_store_silent:
                        subscriber.store_silent_at = (
                            self._clock.read_boottime()
                        )
                    self._handle_report(message)
                elif isinstance(message, _messages.Loads):
                    self._handle_loads(message)
                    self.forward_loads(message)
                elif isinstance(message, quarantine.Evidence):
                    self._ledger.merge(message)
                elif isinstance(message, _messages.TrialRequest):
                    subscriber.send(
                        _frames.encode_frame(self._issue_trial(message))
                    )
                elif isinstance(message, _messages.PermitRequest):
                    subscriber.send(
                        _frames.encode_frame(self._issue_permit(message))
                    )
        except (OSError, EOFError, base.CodecError):
            return
        finally:
            # The list of a former leadership is out of date.
            if subscriber in self._subscribers:
                self._subscribers.discard(subscriber)
                self._record_peers()
            with contextlib.suppress(OSError):
                writer.close()

    def _list_peers(self) -> list[forwarding.PeerInstance]:
        """Return all instances that accept requests of others."""
        peers = [s.peer for s in self._subscribers if s.peer is not None]
        return [self._directory.own, *peers]

    def _record_peers(self) -> None:
        """Use the list of instances here, and send it with a heartbeat."""
        self._directory.record(self._list_peers())
        self._has_new_peers = True

    def _issue_permit(
        self, request: _messages.PermitRequest
    ) -> _messages.Permit:
        reservation = self._issuer.reserve(
            (request.server, request.born_ms),
            named_rate=request.rate,
            max_wait_ms=request.max_wait_ms,
            is_cold=request.is_cold,
        )
        return _messages.Permit(number=request.number, reservation=reservation)

    def _issue_trial(self, request: _messages.TrialRequest) -> _messages.Trial:
        return _messages.Trial(
            number=request.number,
            reason=self._trial_issuer.issue(request.digest, request.version),
        )

    def _make_heartbeat(self) -> _messages.Heartbeat:
        return _messages.Heartbeat(
            term=self.term,
            store_age_ms=self._get_store_age(),
            is_store_failing=self._is_store_failing(),
            fleet_size=self.fleet_size,
            knows_holders=self._knows_holders(),
        )

    def _encode_snapshot(self) -> bytes:
        """Return the state sent so far, to which the next update applies.

        All instances subscribe to a new coordinator at the same time; the
        state is encoded once for all of them.
        """
        if self._snapshot_frame is None:
            self._snapshot_frame = _frames.encode_frame(self._make_snapshot())
        return self._snapshot_frame

    def _make_snapshot(self) -> _messages.Update:
        return _messages.Update(
            is_whole=True,
            table=self._sent_table,
            servers=list(self._sent_servers.values()),
            segments={
                name: list(owners.segments)
                for name, owners in self._sent_owners.items()
            },
            evacuated_zones=self._sent_zones,
        )

    def _get_evacuated_zones(
        self,
    ) -> list[base.ZoneName] | msgspec.UnsetType:
        """Return the evacuated zones; unset before they are known here.

        A coordinator that has just started may not have read them, while its
        subscribers know them from the former one.
        """
        if not self._view.knows_evacuations:
            return msgspec.UNSET
        return sorted(self._view.evacuated_zones)

    async def _send_heartbeats(self) -> None:
        """Send heartbeats regularly and when the store fails or recovers."""
        while True:
            # A heartbeat confirms the changes up to now, so that none may
            # wait to be sent after it.
            if self._changed.is_set():
                self._send_update()
            heartbeat = self._make_heartbeat()
            if self._has_new_peers:
                self._has_new_peers = False
                heartbeat = msgspec.structs.replace(
                    heartbeat, peers=self._list_peers()
                )
            self._send(heartbeat)
            ends_at = self._clock.now() + HEARTBEAT_INTERVAL_MS
            while (
                self._clock.now() < ends_at
                and self._is_store_failing() == heartbeat.is_store_failing
            ):
                await self._clock.sleep(STORE_CHECK_INTERVAL_MS)

    def forward_loads(self, loads: _messages.Loads) -> None:
        """Queue server loads and limits for all subscribers."""
        for load in loads.seen:
            self._pending_loads[load.server] = load
            self._pending_work.pop(load.server, None)
        self._pending_work.update(loads.work_percents)
        self._pending_limits.update(
            ((limit.server, limit.born_ms), limit)
            for limit in loads.named_limits
        )
        for server in loads.cold:
            name = (server.server, server.born_ms), server.source
            # The later report of the same evidence comes last.
            self._pending_cold.pop(name, None)
            self._pending_cold[name] = server
        if self._pending_loads or self._pending_limits or self._pending_cold:
            self._has_pending_loads.set()

    async def _send_evidence(self) -> None:
        while True:
            await self._ledger.wait_for_news()
            self._send(self._ledger.take_news())

    async def _send_loads(self) -> None:
        while True:
            await self._has_pending_loads.wait()
            await self._clock.sleep(LOAD_BATCH_MS)
            self._has_pending_loads.clear()
            loads, self._pending_loads = self._pending_loads, {}
            work, self._pending_work = self._pending_work, {}
            named, self._pending_limits = self._pending_limits, {}
            cold, self._pending_cold = self._pending_cold, {}
            self._send(
                _messages.Loads(
                    seen=list(loads.values()),
                    work_percents=work,
                    named_limits=list(named.values()),
                    cold=list(cold.values()),
                )
            )

    def _send(self, message: _messages.Message) -> None:
        """Send a message to all subscribers."""
        frame = _frames.encode_frame(message)
        for subscriber in list(self._subscribers):
            subscriber.send(frame)

    async def _send_changes(self) -> None:
        while True:
            await self._changed.wait()
            await self._clock.sleep(CHANGE_BATCH_MS)
            self._changed.clear()
            self._send_update()

    def _send_update(self) -> None:
        """Send the changes since the last update, if there are any."""
        update = self._make_update()
        if update is not None:
            self._send(update)

    def _make_update(self) -> _messages.Update | None:
        """Return the changes since the last update; None if there are none."""
        view = self._view
        table, delta = self._pick_table_change()
        servers = [
            entry
            for server, entry in view.servers.items()
            if self._sent_servers.get(server) != entry
        ]
        removed = [s for s in self._sent_servers if s not in view.servers]
        segments = {}
        for name, owners in view.owners.items():
            previous = self._sent_owners.get(name)
            sent = set(previous.segments) if previous is not None else set()
            changed = [s for s in owners.segments if s not in sent]
            if changed:
                segments[name] = changed
        zones = self._get_evacuated_zones()
        if zones == self._sent_zones:
            zones = msgspec.UNSET
        else:
            self._sent_zones = zones
        self._sent_servers = dict(view.servers)
        self._sent_owners = dict(view.owners)
        self._snapshot_frame = None
        if zones is msgspec.UNSET and not (
            table or delta or servers or removed or segments
        ):
            return None
        return _messages.Update(
            table=table,
            table_delta=delta,
            servers=servers,
            gone=removed,
            segments=segments,
            evacuated_zones=zones,
        )

    def _pick_table_change(
        self,
    ) -> tuple[catalog.RoutingTable | None, catalog.RoutingDelta | None]:
        """Return a new table version, at most one in `TABLE_BATCH_MS`.

        The version is returned as a delta to the last version sent if
        possible, and as a complete table otherwise. Many complete versions of
        a long table would saturate a narrow link.
        """
        table, sent = self._view.table, self._sent_table
        if table is None or (sent and table.version == sent.version):
            return None, None
        now = self._clock.now()
        wait_ms = self._table_sent_at + TABLE_BATCH_MS - now
        if sent is not None and wait_ms > 0:
            asyncio.get_running_loop().call_later(
                wait_ms / base.MS_PER_S, self._changed.set
            )
            return None, None
        self._sent_table = table
        self._table_sent_at = now
        delta = catalog.compute_delta(sent, table) if sent else None
        return (table, None) if delta is None else (None, delta)
