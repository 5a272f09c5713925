"""The coordinator's side of the relay."""

import asyncio
from collections.abc import Callable
import contextlib

from tarragonhinge import base
from tarragonhinge import catalog
from tarragonhinge.relay import _frames
from tarragonhinge.relay import _messages

#: Interval of beats; each crosses regions, so they are rare.
HEARTBEAT_INTERVAL_MS = 450

#: Interval at which the state of the store is looked at between beats.
STORE_CHECK_INTERVAL_MS = 100

#: Changes within this time go in one message, so that a storm of
#: versions is passed on as few.
CHANGE_BATCH_MS = 20
TABLE_BATCH_MS = 250

#: Interval at which loads of servers are passed on.
LOAD_BATCH_MS = 80

#: Bytes that may wait for one subscriber before it is cut off.
MAX_BACKLOG_BYTES = 4 << 20

#: Part of the subscribers ever seen that must agree on an outage.
OUTAGE_QUORUM_RATIO = 0.5

#: Time after which a subscriber's word on the store is too old.
MAX_OUTAGE_REPORT_AGE_MS = 2_500


class _Subscriber:
    """One instance that is subscribed."""

    def __init__(self, *, writer: asyncio.StreamWriter) -> None:
        self._writer = writer
        self.store_silent_at: int | None = None

    def send(self, frame: bytes) -> None:
        """Send a frame; a subscriber that does not read is cut off."""
        if self._writer.transport.get_write_buffer_size() > MAX_BACKLOG_BYTES:
            self._writer.transport.abort()
            return
        self._writer.write(frame)

    def close(self) -> None:
        """Close once everything is sent."""
        self._writer.close()


class Hub:
    """Passes on what the coordinator knows, and takes reports.

    Parameters
    ----------
    term : Term
        The coordinator's leadership.
    view : View
        What is passed on.
    get_store_age : callable
        Returns how long ago the store answered, in milliseconds.
    is_store_failing : callable
        Returns whether the last call to the store failed.
    take_report : callable
        Takes reports.
    take_loads : callable
        Takes loads of servers that others have seen.
    clock : Clock
        This process's clock.
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
        clock: base.Clock,
    ) -> None:
        self._term = term
        self._view = view
        self._get_store_age = get_store_age
        self._is_store_failing = is_store_failing
        self._handle_report = handle_report
        self._handle_loads = handle_loads
        self._pending_loads: dict[base.ServerId, int] = {}
        self._has_pending_loads = asyncio.Event()
        self._clock = clock
        self._subscribers: set[_Subscriber] = set()
        self._max_subscribers = 0
        self._sent_table = view.table
        self._sent_servers = dict(view.servers)
        self._sent_owners = dict(view.owners)
        self._table_sent_at = 0
        self._changed = asyncio.Event()
        self._subscription = view.changes.subscribe(
            lambda _: self._changed.set()
        )

    @property
    def fleet_size(self) -> int:
        """Number of subscribed instances, and this one."""
        return len(self._subscribers) + 1

    def is_outage_agreed(self) -> bool:
        """Return whether no subscriber reaches the store either.

        Those that left may have followed another coordinator, so most
        of the fleet must still be here.
        """
        now = self._clock.read_boot()
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
        """Send changes and beats until cancelled."""
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._send_changes())
                group.create_task(self._send_heartbeats())
                group.create_task(self._send_loads())
        finally:
            self._subscription.dispose()

    def depose(self, term: base.Term) -> None:
        """Send all subscribers away."""
        frame = _frames.encode_frame(_messages.Deposed(term=term))
        for subscriber in list(self._subscribers):
            subscriber.send(frame)
            subscriber.close()
        self._subscribers.clear()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one subscriber until its connection ends."""
        subscriber = _Subscriber(writer=writer)
        subscriber.send(_frames.encode_frame(self._make_heartbeat()))
        subscriber.send(_frames.encode_frame(self._make_snapshot()))
        self._subscribers.add(subscriber)
        self._max_subscribers = max(
            self._max_subscribers, len(self._subscribers)
        )
        try:
            while True:
                message = await _frames.read_message(reader)
                if isinstance(message, _messages.Report):
                    subscriber.store_silent_at = None
                    if message.is_store_silent:
                        subscriber.store_silent_at = self._clock.read_boot()
                    self._handle_report(message)
                elif isinstance(message, _messages.Loads):
                    self._handle_loads(message)
                    self.forward_loads(message)
        except (OSError, EOFError, base.CodecError):
            return
        finally:
            self._subscribers.discard(subscriber)
            with contextlib.suppress(OSError):
                writer.close()

    def _make_heartbeat(self) -> _messages.Heartbeat:
        return _messages.Heartbeat(
            term=self._term,
            store_age_ms=self._get_store_age(),
            is_store_failing=self._is_store_failing(),
            fleet_size=self.fleet_size,
        )

    def _make_snapshot(self) -> _messages.Update:
        """Return what was sent so far, to which the next change applies."""
        return _messages.Update(
            is_whole=True,
            table=self._sent_table,
            servers=list(self._sent_servers.values()),
            segments={
                name: list(owners.segments)
                for name, owners in self._sent_owners.items()
            },
        )

    async def _send_heartbeats(self) -> None:
        """Send a beat at intervals, and when the store fails or returns."""
        while True:
            heartbeat = self._make_heartbeat()
            self._send(heartbeat)
            ends_at = self._clock.now() + HEARTBEAT_INTERVAL_MS
            while (
                self._clock.now() < ends_at
                and self._is_store_failing() == heartbeat.is_store_failing
            ):
                await self._clock.sleep(STORE_CHECK_INTERVAL_MS)

    def forward_loads(self, loads: _messages.Loads) -> None:
        """Pass on what an instance has seen."""
        self._pending_loads.update(
            (seen.server, seen.total) for seen in loads.seen
        )
        if self._pending_loads:
            self._has_pending_loads.set()

    async def _send_loads(self) -> None:
        while True:
            await self._has_pending_loads.wait()
            await self._clock.sleep(LOAD_BATCH_MS)
            self._has_pending_loads.clear()
            loads, self._pending_loads = self._pending_loads, {}
            self._send(
                _messages.Loads(
                    seen=[
                        _messages.SeenLoad(server=server, total=total)
                        for server, total in loads.items()
                    ]
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
            update = self._make_update()
            if update is not None:
                self._send(update)

    def _make_update(self) -> _messages.Update | None:
        """Return what differs from what was sent last."""
        view = self._view
        table, delta = self._pick_table_change()
        servers = [
            entry
            for server, entry in view.servers.items()
            if self._sent_servers.get(server) != entry
        ]
        gone = [s for s in self._sent_servers if s not in view.servers]
        segments = {}
        for name, owners in view.owners.items():
            former = self._sent_owners.get(name)
            known = set(former.segments) if former is not None else set()
            changed = [s for s in owners.segments if s not in known]
            if changed:
                segments[name] = changed
        self._sent_servers = dict(view.servers)
        self._sent_owners = dict(view.owners)
        if not (table or delta or servers or gone or segments):
            return None
        return _messages.Update(
            table=table,
            table_delta=delta,
            servers=servers,
            gone=gone,
            segments=segments,
        )

    def _pick_table_change(
        self,
    ) -> tuple[catalog.RoutingTable | None, catalog.RoutingDelta | None]:
        """Return a new version, at most one in `GATHER_TABLE_MS`.

        It is returned as a whole or as a delta; a storm of versions of a
        long table would otherwise fill a narrow link.
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
