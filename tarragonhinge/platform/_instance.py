"""An instance of the router on the platform."""

import asyncio
import functools
import itertools
import pathlib
import signal
import uuid

from tarragonhinge import base
from tarragonhinge import catalog
from tarragonhinge import coordination
from tarragonhinge import events
from tarragonhinge import gateway
from tarragonhinge import memory
from tarragonhinge.platform import _codec
from tarragonhinge.platform import _dialect
from tarragonhinge.platform import _errors
from tarragonhinge.platform import _grants
from tarragonhinge.platform import _node_file
from tarragonhinge.platform import _row_store

#: Path of the readiness endpoint.
READY_PATH = "/tarragonhinge/readyz"

#: Port of the metrics endpoint, as configured in ``deploy/system.toml``.
METRICS_PORT = 9464

#: Interval at which readiness is updated, and at which a stop checks whether
#: all requests have ended.
UPDATE_INTERVAL_MS = 50

#: Number of updates of readiness after which resident memory is read.
UPDATES_PER_READING = 5

#: Interval at which the end of a stop checks whether all responses are
#: written.
RESPONSE_CHECK_MS = 10


#: Help texts of the gauges of the account of memory.
_MEMORY_GAUGES = {
    memory.Kind.CONNECTION: "Memory of open connections.",
    memory.Kind.REQUEST: "Memory of requests until their response.",
    memory.Kind.RESPONSE: "Memory of responses until clients read them.",
}


class PlatformInstance:
    """One instance with all its components.

    Parameters
    ----------
    options : InstanceOptions
        Settings of the instance.
    log : EventLog
        Log of structured events.
    clock : Clock
        This process's clock.
    """

    def __init__(
        self,
        *,
        options: gateway.InstanceOptions,
        log: events.EventLog,
        clock: base.Clock,
    ) -> None:
        self._options = options
        self._clock = clock
        self.log = log
        self._view = catalog.View()
        self._store = _row_store.PlatformStore(
            address=options.store, row_bytes=options.row_bytes, log=log
        )
        self.gateway = gateway.Gateway(
            options=options,
            view=self._view,
            dialect=_dialect.PlatformDialect(),
            log=self.log,
            clock=clock,
        )
        self._grants = _grants.PlatformGrants(
            clock=clock,
            report_silence=self.gateway.monitor.suspect_owner,
        )
        reporter = gateway.Reporter(
            owners=self.gateway.owners,
            links=self.gateway.links,
            server_limits=self.gateway.server_limits,
            leaving=self.gateway.leaving,
            cold_watch=self.gateway.cold_watch,
        )
        self._member = coordination.Member(
            instance=options.instance,
            incarnation=base.IncarnationId(uuid.uuid4().hex),
            address=options.peers,
            store=self._store,
            codec=_codec.PlatformCodec(),
            view=self._view,
            grants=self._grants,
            exchange=reporter,
            directory=self.gateway.directory,
            is_cut_off=self.gateway.monitor.is_cut_off,
            permits=self.gateway.permits,
            ledger=self.gateway.ledger,
            trials=self.gateway.guard.trials,
            log=self.log,
            clock=clock,
            is_first_start=options.is_first_start,
            link_mbps=options.link_mbps,
            grant_limit_ms=options.grant_limit_ms,
            zones=options.zones,
            row_bytes=options.row_bytes,
        )
        self._caller_listener = gateway.CallerListener(
            address=options.callers, gateway=self.gateway
        )
        self._call_listener = gateway.CallerListener(
            address=options.forwarding,
            gateway=self.gateway,
            calls=gateway.CallHandler(gateway=self.gateway, log=self.log),
        )
        host = options.peers.rpartition(":")[0]
        self._health = gateway.HealthServer(
            address=options.health,
            ready_path=READY_PATH,
            metrics_address=base.Address(f"{host}:{METRICS_PORT}"),
            is_ready=self.is_ready,
            registry=self.gateway.metrics.registry,
            describe=self.dump,
        )
        self._state_report = gateway.StateReport(
            view=self._view,
            links=self.gateway.links,
            eligibility=self.gateway.eligibility,
            zones=dict(options.zones),
            clock=clock,
        )
        self._register_gauges()
        self._peers: asyncio.Server | None = None
        self._tasks: list[asyncio.Task] = []
        self._was_ready = False
        self._was_short = False

    def _register_gauges(self) -> None:
        """Register the gauges that are evaluated on each scrape."""
        watch = self.gateway.metrics.watch
        watch("ready", "Whether callers should be sent here.", self.is_ready)
        watch(
            "in_flight",
            "Requests of callers that are not answered yet.",
            lambda: self.gateway.in_flight,
        )
        watch(
            "table_version",
            "Version of the routing table in force.",
            lambda: self._view.table.version if self._view.table else 0,
        )
        watch(
            "coordinates",
            "Whether this instance coordinates.",
            lambda: self._member.is_coordinator,
        )
        watch(
            "fleet_size",
            "Instances, as the coordinator counts them.",
            lambda: self._member.fleet_size or 0,
        )
        watch(
            "view_age_seconds",
            "Age of what is known of routes, servers and keys.",
            lambda: (self._member.get_view_age_ms() or 0) / base.MS_PER_S,
        )
        watch(
            "store_calls",
            "Calls to the platform's store since the start.",
            lambda: self._store.call_count,
        )
        watch(
            "store_writes_rejected",
            "Writes that the platform's store does not accept as they are.",
            lambda: self._store.rejected_count,
        )
        leaders = self._member.list_leaders
        watch(
            "segments_moving",
            "Segments of keys that move; at the coordinator.",
            lambda: sum(leader.count_moving() for leader in leaders()),
        )
        watch(
            "segments_evacuated",
            "Segments that have to leave a zone or region yet; at the"
            " coordinator.",
            lambda: sum(leader.evacuated_count for leader in leaders()),
        )
        watch(
            "key_record_bytes",
            "Length of the longest record of keys, in bytes of base64; at the"
            " coordinator.",
            lambda: max((one.record_bytes for one in leaders()), default=0),
        )
        watch(
            "server_crashes",
            "Crashes of servers that this instance has recognized.",
            lambda: self.gateway.guard.crash_count,
        )
        watch(
            "crash_suspects",
            "Requests that ran at a server when it crashed.",
            lambda: self.gateway.ledger.suspect_count,
        )
        watch(
            "servers_out_of_reach",
            "Servers to which this instance can't open connections.",
            self.gateway.monitor.get_closed_count,
        )
        watch(
            "out_of_reach_seconds",
            "Time since which any of them is out of reach; 0 if none is.",
            lambda: self.gateway.monitor.get_closed_ms() / base.MS_PER_S,
        )
        watch(
            "connections_opened",
            "Attempts to connect to the servers that are listed now.",
            self.gateway.links.count_opened,
        )
        watch(
            "subset_requests",
            "Requests placed at servers of a subset, since the start.",
            lambda: self.gateway.subsets.used,
        )
        watch(
            "subset_exceeded",
            "Requests for which no subset had room, since the start.",
            lambda: self.gateway.subsets.exceeded,
        )
        watch(
            "standing_queues",
            "Servers whose queues stand, so that fewer requests are admitted.",
            self.gateway.links.count_standing,
        )
        watch(
            "room_waits",
            "Waits for room after a reset, since the start.",
            lambda: self.gateway.room_waits,
        )
        watch(
            "early_resets",
            "New connections reset before a request was written.",
            lambda: self.gateway.early_resets,
        )
        watch(
            "quarantined_requests",
            "Requests that are refused since they crash servers.",
            lambda: self.gateway.ledger.refused_count,
        )
        watch(
            "connections_open",
            "Open connections to servers and to other instances.",
            lambda: self.gateway.connection_budget.open_count,
        )
        account = self.gateway.memory
        watch(
            "memory_budget_bytes",
            "Memory for connections, requests and responses.",
            lambda: account.budget_bytes,
        )
        watch(
            "memory_resident_bytes",
            "Memory that the process holds.",
            lambda: account.resident_bytes,
        )
        watch(
            "memory_uncounted_bytes",
            "Part of it that is missing from the budget.",
            lambda: account.uncounted_bytes,
        )
        watch(
            "memory_unread_bytes",
            "What the kernel holds for clients that are not read.",
            lambda: account.unread_bytes,
        )
        watch(
            "memory_window_bytes",
            "Receive buffers of more than 64 KB of clients' connections.",
            lambda: account.window_bytes,
        )
        for kind, help_ in _MEMORY_GAUGES.items():
            watch(
                f"memory_{kind.value}_bytes",
                help_,
                functools.partial(account.get_used, kind),
            )
        for reason in ("memory", "descriptors"):
            watch(
                f"clients_closed_for_{reason}",
                f"Connections of clients closed for lack of {reason}.",
                functools.partial(
                    self.gateway.closed_clients.__getitem__, reason
                ),
            )
        watch(
            "evacuated_zones",
            "Zones whose servers are to get no requests.",
            lambda: len(self._view.evacuated_zones),
        )
        watch(
            "evacuated_in_flight",
            "Requests of this instance at servers of these zones.",
            self._state_report.count_in_flight,
        )
        watch(
            "evacuated_segments",
            "Segments of keys whose owners are in these zones.",
            self._state_report.count_segments,
        )
        self.gateway.metrics.watch_servers(
            "server_cold_seconds",
            "Time for which a server stays cold.",
            self.gateway.server_limits.cold.list_left_s,
        )
        self.gateway.metrics.watch_servers(
            "server_pace_requests",
            "Requests that a server that has come up may have now.",
            self.gateway.links.list_pace_limits,
        )
        watch(
            "log_lines_dropped",
            "Lines left out of the log since the start.",
            lambda: self.log.dropped,
        )

    def dump(self) -> dict:
        """Return the state on which this instance decides."""
        table = self._view.table
        return {
            "instance": self._options.instance,
            "zone": self._options.zone,
            "ready": self.is_ready(),
            "coordinates": self._member.is_coordinator,
            "view_age_ms": self._member.get_view_age_ms(),
            "table_version": table.version if table is not None else None,
            **self._state_report.describe(),
        }

    def is_ready(self) -> bool:
        """Return whether the instance should receive requests."""
        return (
            not self.gateway.shutdown.has_begun
            and self._view.is_complete()
            and self._member.is_current()
        )

    async def start(self) -> None:
        """Start listening and join the fleet."""
        host, _, port = self._options.peers.rpartition(":")
        self._peers = await asyncio.start_server(
            self._member.serve_peer, host, int(port)
        )
        await self._health.start()
        await self._call_listener.start()
        await self._caller_listener.start()
        self._tasks = [
            asyncio.create_task(self._member.run()),
            asyncio.create_task(self._update_state()),
            asyncio.create_task(
                self.gateway.health_checker.run(
                    lambda: self._member.is_coordinator
                )
            ),
        ]
        self.log.write(
            events.Started(
                zone=self._options.zone,
                callers=self._options.callers,
            )
        )

    async def _update_state(self) -> None:
        """Update fleet size and budget, and log changes of readiness."""
        for number in itertools.count():
            if number % UPDATES_PER_READING == 0:
                self._observe_memory()
            if self._member.fleet_size is not None:
                self.gateway.fleet_size.record(self._member.fleet_size)
            ready = self.is_ready()
            if ready != self._was_ready:
                self._was_ready = ready
                self.log.write(
                    events.Readiness(
                        ready=ready, reason=self._explain_readiness()
                    )
                )
            await self._clock.sleep(UPDATE_INTERVAL_MS)

    def _observe_memory(self) -> None:
        """Correct the budget by the resident memory, and log a shortage."""
        account = self.gateway.memory
        account.read_resident()
        is_short = account.is_short
        if is_short != self._was_short:
            self._was_short = is_short
            self.log.write(
                events.MemoryShort(
                    short=is_short,
                    resident_bytes=account.resident_bytes,
                    counted_bytes=account.used_bytes,
                    uncounted_bytes=account.uncounted_bytes,
                )
            )

    def _explain_readiness(self) -> str:
        if self.gateway.shutdown.has_begun:
            return "stopping"
        if not self._view.is_complete():
            return "view_incomplete"
        return "current" if self._member.is_current() else "view_stale"

    async def stop(self) -> None:
        """Stop after the accepted requests have finished, or in time."""
        shutdown = self.gateway.shutdown
        shutdown.begin()
        self.log.write(
            events.Stopping(reason="signal", in_flight=self.gateway.in_flight)
        )
        while not shutdown.is_time_up():
            if shutdown.is_notice_over():
                for listener in self._listeners:
                    listener.stop_accepting()
                    listener.close_idle()
                if self._count_busy() == 0:
                    break
            await self._clock.sleep(UPDATE_INTERVAL_MS)
        cut_off = self.gateway.abort_requests()
        while self._count_busy() and not shutdown.is_over():
            await self._clock.sleep(RESPONSE_CHECK_MS)
        self.log.write(
            events.Stopped(
                cut_off=cut_off, elapsed_ms=shutdown.compute_elapsed_ms()
            )
        )
        await self._close()

    @property
    def _listeners(self) -> tuple[gateway.CallerListener, ...]:
        return self._caller_listener, self._call_listener

    def _count_busy(self) -> int:
        """Return the number of connections with a request in progress."""
        return sum(listener.count_busy() for listener in self._listeners)

    async def _close(self) -> None:
        """Stop the tasks and close all connections."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for listener in self._listeners:
            await listener.stop()
        self.gateway.close()
        await self._grants.close()
        await self._store.close()
        self.log.flush()

    def reload(self, path: pathlib.Path) -> None:
        """Validate changed settings; only a restart applies them."""
        outcome = "unchanged"
        try:
            options = _node_file.load_node_file(path)
            if options != self._options:
                outcome = "changed; in force after a restart"
        except _errors.NodeFileError as error:
            outcome = f"rejected: {error}"
        self.log.write(events.Reloaded(outcome=outcome))


async def run_instance(path: pathlib.Path) -> int:
    """Run an instance until SIGTERM or SIGINT and return the exit status.

    Raises
    ------
    NodeFileError
        If the settings file is missing or invalid.
    """
    options = _node_file.load_node_file(path)
    memory.tune_allocator()
    clock = base.Clock()
    log = events.EventLog(instance=options.instance, clock=clock)
    instance = PlatformInstance(options=options, log=log, clock=clock)
    loop = asyncio.get_running_loop()
    stop_requested = asyncio.Event()
    for stop_signal in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(stop_signal, stop_requested.set)
    loop.add_signal_handler(signal.SIGHUP, instance.reload, path)
    await instance.start()
    await stop_requested.wait()
    await instance.stop()
    return 0
