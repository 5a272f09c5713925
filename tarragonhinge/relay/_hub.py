"""The coordinator's side of the relay."""

import asyncio
from collections.abc import Callable
import contextlib

from tarragonhinge import base
from tarragonhinge import catalog
from tarragonhinge.relay import _frames
from tarragonhinge.relay import _messages

#: Interval of beats; each crosses regions, so they are rare.
BEAT_MS = 450

#: Interval at which the state of the store is looked at between beats.
LOOK_MS = 100

#: Changes within this time go in one message, so that a storm of
#: versions is passed on as few.
GATHER_MS = 20
GATHER_TABLE_MS = 250

#: Interval at which loads of servers are passed on.
GATHER_LOADS_MS = 80

#: Bytes that may wait for one subscriber before it is cut off.
BACKLOG_BYTES = 4 << 20

#: Part of the subscribers ever seen that must agree on an outage.
AGREEING_PART = 0.5

#: Time after which a subscriber's word on the store is too old.
SILENCE_REPORT_MS = 2_500


class _Subscriber:
    """One instance that is subscribed."""

    def __init__(self, *, writer: asyncio.StreamWriter) -> None:
        self._writer = writer
        self.silent_at: int | None = None

    def send(self, frame: bytes) -> None:
        """Send a frame; a subscriber that does not read is cut off."""
        if self._writer.transport.get_write_buffer_size() > BACKLOG_BYTES:
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
        take_report: Callable[[_messages.Report], None],
        take_loads: Callable[[_messages.Loads], None],
        clock: base.Clock,
    ) -> None:
        self._term = term
        self._view = view
        self._get_store_age = get_store_age
        self._is_store_failing = is_store_failing
        self._take_report = take_report
        self._take_loads = take_loads
        self._loads: dict[base.ServerId, int] = {}
        self._has_loads = asyncio.Event()
        self._clock = clock
        self._subscribers: set[_Subscriber] = set()
        self._most_subscribers = 0
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
        if len(self._subscribers) < AGREEING_PART * self._most_subscribers:
            return False
        return all(
            s.silent_at is not None and now - s.silent_at < SILENCE_REPORT_MS
            for s in self._subscribers
        )

    async def run(self) -> None:
        """Send changes and beats until cancelled."""
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._send_changes())
                group.create_task(self._send_beats())
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
        subscriber.send(_frames.encode_frame(self._make_beat()))
        subscriber.send(_frames.encode_frame(self._make_whole()))
        self._subscribers.add(subscriber)
        self._most_subscribers = max(
            self._most_subscribers, len(self._subscribers)
        )
        try:
            while True:
                message = await _frames.read_message(reader)
                if isinstance(message, _messages.Report):
                    subscriber.silent_at = None
                    if message.is_store_silent:
                        subscriber.silent_at = self._clock.read_boot()
                    self._take_report(message)
                elif isinstance(message, _messages.Loads):
                    self._take_loads(message)
                    self.pass_loads(message)
        except (OSError, EOFError, base.CodecError):
            return
        finally:
            self._subscribers.discard(subscriber)
            with contextlib.suppress(OSError):
                writer.close()

    def _make_beat(self) -> _messages.Beat:
        return _messages.Beat(
            term=self._term,
            store_age_ms=self._get_store_age(),
            is_store_failing=self._is_store_failing(),
            fleet_size=self.fleet_size,
        )

    def _make_whole(self) -> _messages.Update:
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

    async def _send_beats(self) -> None:
        """Send a beat at intervals, and when the store fails or returns."""
        while True:
            beat = self._make_beat()
            self._send(beat)
            ends_at = self._clock.now() + BEAT_MS
            while (
                self._clock.now() < ends_at
                and self._is_store_failing() == beat.is_store_failing
            ):
                await self._clock.sleep(LOOK_MS)

    def pass_loads(self, loads: _messages.Loads) -> None:
        """Pass on what an instance has seen."""
        self._loads.update((seen.server, seen.total) for seen in loads.seen)
        if self._loads:
            self._has_loads.set()

    async def _send_loads(self) -> None:
        while True:
            await self._has_loads.wait()
            await self._clock.sleep(GATHER_LOADS_MS)
            self._has_loads.clear()
            loads, self._loads = self._loads, {}
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
            await self._clock.sleep(GATHER_MS)
            self._changed.clear()
            update = self._make_update()
            if update is not None:
                self._send(update)

    def _make_update(self) -> _messages.Update | None:
        """Return what differs from what was sent last."""
        view = self._view
        table, delta = self._take_table()
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

    def _take_table(
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
        wait_ms = self._table_sent_at + GATHER_TABLE_MS - now
        if sent is not None and wait_ms > 0:
            asyncio.get_running_loop().call_later(
                wait_ms / base.MS_PER_S, self._changed.set
            )
            return None, None
        self._sent_table = table
        self._table_sent_at = now
        delta = catalog.compute_delta(sent, table) if sent else None
        return (table, None) if delta is None else (None, delta)
