"""Subscriber's side of the relay."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import enum
import itertools

import msgspec

from tarragonhinge import base
from tarragonhinge import catalog
from tarragonhinge import events
from tarragonhinge import forwarding
from tarragonhinge import limits
from tarragonhinge import quarantine
from tarragonhinge.relay import _exchange
from tarragonhinge.relay import _frames
from tarragonhinge.relay import _hub
from tarragonhinge.relay import _messages

#: Time without a message after which the coordinator counts as lost: two
#: heartbeat intervals and the delay of a link between regions.
COORDINATOR_TIMEOUT_MS = 2 * _hub.HEARTBEAT_INTERVAL_MS + 250

#: Connection timeout. It is short because a paused coordinator accepts no
#: connection, and key moves and table versions wait for its successor.
CONNECT_TIMEOUT_MS = 350

#: Time from the start of a subscription within which the first message must
#: arrive. The coordinator sends a heartbeat at once; a connection alone is no
#: sign of life, since the kernel accepts it for a process that stands still.
FIRST_MESSAGE_TIMEOUT_MS = 600

#: Interval between reports.
REPORT_INTERVAL_MS = 500

#: Interval at which loads of busy servers are reported.
LOAD_REPORT_INTERVAL_MS = 80

#: Age of the store's last response to the coordinator from which an instance
#: tries to reach the store itself. The coordinator's watch takes up to
#: 700 ms, and another 900 ms without a response exceed any network delay.
MAX_STORE_AGE_MS = 1_650

#: Time after which an unanswered request to the coordinator is given up.
CALL_TIMEOUT_MS = 300

#: Time that the coordinator gets to reach the store again before an instance
#: leaves it.
STORE_RECOVERY_MS = 300


class EndReason(enum.Enum):
    """Reason for the end of a subscription.

    UNREACHABLE: the connection could not be opened. SILENT: the connection
    brought no message. LOST: the connection ended, timed out later or
    brought an update that can't be applied. DEPOSED: the coordinator reported
    the end of its leadership. STORE_LOST: the coordinator has lost the store,
    which this instance still reaches.
    """

    UNREACHABLE = "unreachable"
    SILENT = "silent"
    LOST = "lost"
    DEPOSED = "deposed"
    STORE_LOST = "store_lost"


class Subscription(limits.PermitSource, quarantine.TrialSource):
    """Applies the coordinator's updates and sends it reports.

    Parameters
    ----------
    instance : InstanceId
        Id of this instance.
    address : Address
        Address on which the coordinator listens.
    view : View
        View to keep up to date.
    exchange : Exchange
        Source of this instance's reports and loads, and receiver of the
        loads of others.
    directory : PeerDirectory
        The other instances, as the coordinator lists them.
    ledger : CrashLedger
        Crashes that this instance has seen or heard of.
    check_store : callable
        Coroutine function that returns whether this instance reaches the
        store.
    compute_leave_delay_ms : callable
        Returns the delay in milliseconds before leaving a coordinator that
        alone has lost the store. The delays of the instances differ, so
        that one instance succeeds the coordinator and notifies the others.
    on_update : callable
        Called after each update.
    log : EventLog
        Destination of log events.
    clock : Clock
        This process's clock.

    Attributes
    ----------
    last_message_at : int or None
        Time of the coordinator's last message (boot time).
    confirmed_at : int or None
        Time of the coordinator's last heartbeat by which the view names the
        only server that may hold a key (boot time).
    fleet_size : int or None
        Number of instances; None before the coordinator reported it.
    term : Term
        Term of the coordinator; 0 before it reported it.
    """

    def __init__(
        self,
        *,
        instance: base.InstanceId,
        address: base.Address,
        view: catalog.View,
        exchange: _exchange.Exchange,
        directory: forwarding.PeerDirectory,
        ledger: quarantine.CrashLedger,
        check_store: Callable[[], Awaitable[bool]],
        compute_leave_delay_ms: Callable[[], int],
        on_update: Callable[[], None],
        log: events.EventLog,
        clock: base.Clock,
    ) -> None:
        self._instance = instance
        self._address = address
        self._view = view
        self._exchange = exchange
        self._directory = directory
        self._ledger = ledger
        self._check_store = check_store
        self._compute_leave_delay_ms = compute_leave_delay_ms
        self._probe_task: asyncio.Task | None = None
        self._leave_timer: asyncio.TimerHandle | None = None
        self._leave_due = asyncio.Event()
        self._on_update = on_update
        self._log = log
        self._clock = clock
        self._store_age_ms = 0
        self._is_store_silent = False
        self._table: catalog.RoutingTable | None = None
        self.last_message_at: int | None = None
        self.confirmed_at: int | None = None
        self._has_snapshot = False
        self.fleet_size: int | None = None
        self.term = base.Term(0)
        self._writer: asyncio.StreamWriter | None = None
        self._call_numbers = itertools.count()
        self._awaited_replies: dict[
            int, asyncio.Future[_messages.Permit | _messages.Trial]
        ] = {}

    async def run(self) -> EndReason:
        """Follow the coordinator; return why the subscription ended."""
        host, _, port = self._address.rpartition(":")
        began_at = self._clock.now()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_MS / base.MS_PER_S):
                reader, writer = await asyncio.open_connection(host, int(port))
        except (OSError, TimeoutError):
            return EndReason.UNREACHABLE
        first_message_at = began_at + FIRST_MESSAGE_TIMEOUT_MS
        read_task = asyncio.create_task(self._read(reader, first_message_at))
        leave_task = asyncio.create_task(self._leave_due.wait())
        tasks = [
            read_task,
            leave_task,
            asyncio.create_task(self._send_reports(writer)),
            asyncio.create_task(self._send_loads(writer)),
            asyncio.create_task(self._send_evidence(writer)),
        ]
        self._writer = writer
        self._exchange.report_again()
        try:
            hello = _messages.Hello(
                instance=self._instance, peer=self._directory.own
            )
            writer.write(_frames.encode_frame(hello))
            await asyncio.wait(
                [read_task, leave_task], return_when=asyncio.FIRST_COMPLETED
            )
            return (
                read_task.result()
                if read_task.done()
                else EndReason.STORE_LOST
            )
        finally:
            self._writer = None
            self._cancel_leaving()
            for task in tasks:
                task.cancel()
            with contextlib.suppress(OSError):
                writer.transport.abort()

    async def request_permit(
        self,
        incarnation: limits.Incarnation,
        *,
        rate: float,
        max_wait_ms: int,
        is_cold: bool = False,
    ) -> limits.Reservation | None:
        """Ask the coordinator; return None if it does not answer in time."""
        server, born_ms = incarnation
        permit = await self._call(
            _messages.PermitRequest(
                number=next(self._call_numbers),
                server=server,
                born_ms=born_ms,
                rate=rate,
                max_wait_ms=max_wait_ms,
                is_cold=is_cold,
            )
        )
        return permit.reservation if permit is not None else None

    async def request_trial(
        self, digest: quarantine.RequestDigest, version: str | None
    ) -> str | None:
        """Ask the coordinator; return None if it does not answer in time."""
        trial = await self._call(
            _messages.TrialRequest(
                number=next(self._call_numbers), digest=digest, version=version
            )
        )
        return trial.reason if trial is not None else None

    async def _call(
        self, request: _messages.PermitRequest | _messages.TrialRequest
    ) -> _messages.Permit | _messages.Trial | None:
        """Return the coordinator's reply; None without one in time."""
        if self._writer is None:
            return None
        self._writer.write(_frames.encode_frame(request))
        reply = asyncio.get_running_loop().create_future()
        self._awaited_replies[request.number] = reply
        try:
            async with asyncio.timeout(CALL_TIMEOUT_MS / base.MS_PER_S):
                return await reply
        except TimeoutError:
            return None
        finally:
            del self._awaited_replies[request.number]

    def _handle_reply(
        self, message: _messages.Permit | _messages.Trial
    ) -> None:
        reply = self._awaited_replies.get(message.number)
        if reply is not None and not reply.done():
            reply.set_result(message)

    async def _read(
        self, reader: asyncio.StreamReader, first_message_at: int
    ) -> EndReason:
        """Apply messages until the subscription ends.

        Parameters
        ----------
        reader : StreamReader
            Connection to the coordinator.
        first_message_at : int
            Time by which the first message must arrive.
        """
        timeout_ms = max(0, first_message_at - self._clock.now())
        while True:
            try:
                async with asyncio.timeout(timeout_ms / base.MS_PER_S):
                    message = await _frames.read_message(reader)
            except (OSError, EOFError, TimeoutError, base.CodecError):
                if self.last_message_at is None:
                    return EndReason.SILENT
                return EndReason.LOST
            timeout_ms = COORDINATOR_TIMEOUT_MS
            if isinstance(message, _messages.Deposed):
                return EndReason.DEPOSED
            self.last_message_at = self._clock.read_boottime()
            if isinstance(message, _messages.Update):
                if not self._apply(message):
                    return EndReason.LOST
                self._on_update()
            elif isinstance(message, _messages.Loads):
                self._exchange.apply_loads(message)
            elif isinstance(message, quarantine.Evidence):
                self._ledger.merge(message, is_published=True)
            elif isinstance(message, _messages.Permit | _messages.Trial):
                self._handle_reply(message)
            elif isinstance(message, _messages.Heartbeat):
                self.fleet_size = message.fleet_size
                self.term = message.term
                # The first heartbeat comes before the snapshot.
                if message.knows_holders and self._has_snapshot:
                    self.confirmed_at = self.last_message_at
                if message.peers is not msgspec.UNSET:
                    self._directory.record(message.peers)
                self._check_coordinator_store(message)

    def _check_coordinator_store(self, heartbeat: _messages.Heartbeat) -> None:
        """Probe the store if the coordinator seems to have lost it."""
        if (
            not heartbeat.is_store_failing
            and heartbeat.store_age_ms < MAX_STORE_AGE_MS
        ):
            self._is_store_silent = False
            self._cancel_leaving()
        elif self._probe_task is None and self._leave_timer is None:
            self._probe_task = asyncio.create_task(self._probe_store())

    async def _probe_store(self) -> None:
        """Probe the store; schedule leaving if this instance reaches it.

        If this instance reaches the store, only the coordinator has lost it,
        and another instance can succeed the coordinator. If not, the next
        report states that the store does not respond.
        """
        is_reached = await self._check_store()
        self._probe_task = None
        self._is_store_silent = not is_reached
        if is_reached:
            delay_ms = STORE_RECOVERY_MS + self._compute_leave_delay_ms()
            self._leave_timer = asyncio.get_running_loop().call_later(
                delay_ms / base.MS_PER_S, self._leave_due.set
            )

    def _cancel_leaving(self) -> None:
        """Cancel a pending probe of the store and a scheduled leave."""
        if self._probe_task is not None:
            self._probe_task.cancel()
            self._probe_task = None
        if self._leave_timer is not None:
            self._leave_timer.cancel()
            self._leave_timer = None

    def _apply(self, update: _messages.Update) -> bool:
        """Apply an update; return False if its base version is missing."""
        if update.evacuated_zones is not msgspec.UNSET:
            # Before the table, so that no request is routed without them.
            self._apply_evacuations(update.evacuated_zones)
        if not self._apply_table(update):
            return False
        if update.is_whole or update.servers or update.gone:
            entries = {} if update.is_whole else dict(self._view.servers)
            entries.update(catalog.index_servers(update.servers))
            for server in update.gone:
                entries.pop(server, None)
            self._view.set_servers(entries)
        for name, segments in update.segments.items():
            owners = catalog.OwnerMap()
            if not update.is_whole and name in self._view.owners:
                owners = self._view.owners[name]
            self._view.set_owners(name, owners.replace(segments))
        self._has_snapshot = self._has_snapshot or update.is_whole
        return True

    def _apply_evacuations(self, zones: list[base.ZoneName]) -> None:
        if self._view.set_evacuated_zones(zones):
            self._log.write(
                events.EvacuationChanged(zones=zones, source="coordinator")
            )

    def _apply_table(self, update: _messages.Update) -> bool:
        """Apply a table or delta; return False if its base is missing.

        The last table received is kept apart from the view, which may have
        a newer version already.
        """
        table, delta = update.table, update.table_delta
        if delta is not None:
            table = delta.apply(self._table) if self._table else None
            if table is None:
                return False
        if table is None:
            return True
        self._table = table
        if self._view.set_table(table):
            self._log.write(
                events.TableInForce(
                    version=table.version,
                    routes=len(table.routes),
                    source="coordinator",
                )
            )
        return True

    async def _send_loads(self, writer: asyncio.StreamWriter) -> None:
        while True:
            await self._clock.sleep(LOAD_REPORT_INTERVAL_MS)
            loads = self._exchange.make_loads()
            if loads:
                writer.write(_frames.encode_frame(loads))

    async def _send_evidence(self, writer: asyncio.StreamWriter) -> None:
        """Send all records to the coordinator, then those that change."""
        evidence = self._ledger.list_all()
        self._ledger.take_news()
        while True:
            if evidence:
                writer.write(_frames.encode_frame(evidence))
            await self._ledger.wait_for_news()
            evidence = self._ledger.take_news()

    async def _send_reports(self, writer: asyncio.StreamWriter) -> None:
        while True:
            await self._clock.sleep(REPORT_INTERVAL_MS)
            report = self._exchange.make_report()
            if self._is_store_silent:
                report = _mark_store_silent(report)
            if report != _messages.Report():
                writer.write(_frames.encode_frame(report))


def _mark_store_silent(report: _messages.Report) -> _messages.Report:
    return _messages.Report(
        keys=report.keys, speeds=report.speeds, is_store_silent=True
    )
