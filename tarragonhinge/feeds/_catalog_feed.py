"""Keeps the catalog view up to date with the store."""

import asyncio
from collections.abc import Sequence

import msgspec

from tarragonhinge import base
from tarragonhinge import catalog
from tarragonhinge import events
from tarragonhinge.feeds import _codec
from tarragonhinge.feeds import _follower
from tarragonhinge import stores

#: Time after the store's recovery for which entries that expired during the
#: outage are retained. Servers that still run rewrite their entries within
#: about 2 s.
EXPIRED_ENTRY_GRACE_MS = 2_200

#: Time after the store's restore from an older copy for which evacuations that
#: the copy lacks are kept. The operator's rows are written again within it.
EVACUATION_GRACE_MS = 2_200

#: Time after the store's recovery within which a removal of an entry is taken
#: for an expiry during the outage.
EXPIRY_WINDOW_MS = 500

#: Variation of the delay with which entries are read. A warm-up that ends
#: later than expected by more than this has begun again.
WARM_UP_TOLERANCE_MS = 300


class CatalogFeed:
    """Follows the routes, evacuations and server entries in the store.

    Parameters
    ----------
    store : RowStore
        Store that holds the tables.
    codec : CatalogCodec
        Decodes rows of the store.
    view : View
        View to keep up to date.
    log : EventLog
        Destination of log events.
    clock : Clock
        This process's clock.
    """

    def __init__(
        self,
        *,
        store: stores.RowStore,
        codec: _codec.CatalogCodec,
        view: catalog.View,
        log: events.EventLog,
        clock: base.Clock,
    ) -> None:
        self._codec = codec
        self._view = view
        self._log = log
        self._clock = clock
        self._retained_until: dict[base.ServerId, int] = {}
        self._withheld: dict[base.ServerId, catalog.ServerEntry] = {}
        self._evacuated: set[base.ZoneName] = set()
        self._kept_until: dict[base.ZoneName, int] = {}
        self._has_read_evacuations = False
        # Expected end of the warm-up that was published, and version of the
        # row that was read last.
        self._cold_until: dict[base.ServerId, tuple[int, int]] = {}
        self._routing = _follower.TableFollower(
            store=store,
            table=codec.routing_table,
            handle_rows=self._handle_routing,
            log=log,
            clock=clock,
        )
        self._servers = _follower.TableFollower(
            store=store,
            table=codec.servers_table,
            handle_rows=self._handle_servers,
            log=log,
            clock=clock,
        )

    def get_age_ms(self) -> int | None:
        """Return the age of the less recent of both tables in milliseconds.

        None if one of the tables has not been read yet.
        """
        ages = [self._routing.get_age_ms(), self._servers.get_age_ms()]
        return None if None in ages else max(ages)

    async def run(self) -> None:
        """Follow both tables until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._routing.run())
            group.create_task(self._servers.run())
            group.create_task(self._remove_expired())

    def _handle_routing(
        self, rows: Sequence[stores.StoredRow], is_whole: bool
    ) -> None:
        # Before the table, so that no request is routed without them.
        self._handle_evacuations(rows, is_whole)
        for row in rows:
            if row.key != self._codec.routing_key or row.dropped:
                continue
            try:
                table = self._codec.decode_routing(row.value)
            except Exception as error:
                self._log_ignored(row, error)
                continue
            if self._view.set_table(table):
                self._log.write(
                    events.TableInForce(
                        version=table.version,
                        routes=len(table.routes),
                        source="store",
                    )
                )

    def _handle_evacuations(
        self, rows: Sequence[stores.StoredRow], is_whole: bool
    ) -> None:
        if is_whole:
            self._keep_missing_evacuations()
            self._evacuated = set()
        for row in rows:
            zone = self._codec.decode_evacuation(row.key)
            if zone is None:
                continue
            self._kept_until.pop(zone, None)
            if row.dropped:
                self._evacuated.discard(zone)
            else:
                self._evacuated.add(zone)
        self._publish_evacuations()

    def _keep_missing_evacuations(self) -> None:
        """Keep known evacuations that an older copy of the store may lack.

        This feed cannot know whether the store was restored before its own
        first read: a successor of the coordinator begins with one.
        """
        now = self._clock.read_boottime()
        restored_at = self._routing.restored_at
        if not self._has_read_evacuations:
            restored_at = now
            self._has_read_evacuations = True
        if restored_at is None or now - restored_at >= EVACUATION_GRACE_MS:
            return
        until = restored_at + EVACUATION_GRACE_MS
        for zone in self._view.evacuated_zones:
            self._kept_until.setdefault(zone, until)

    def _publish_evacuations(self) -> None:
        zones = self._evacuated | self._kept_until.keys()
        if self._view.set_evacuated_zones(zones):
            self._log.write(
                events.EvacuationChanged(zones=sorted(zones), source="store")
            )

    def _end_kept_evacuations(self) -> None:
        now = self._clock.read_boottime()
        ended = [z for z, until in self._kept_until.items() if until <= now]
        for zone in ended:
            del self._kept_until[zone]
        if ended:
            self._publish_evacuations()

    def _handle_servers(
        self, rows: Sequence[stores.StoredRow], is_whole: bool
    ) -> None:
        entries = {} if is_whole else dict(self._view.servers)
        for row in rows:
            server = base.ServerId(row.key)
            self._withheld.pop(server, None)
            if row.dropped:
                entries.pop(server, None)
                self._cold_until.pop(server, None)
                continue
            try:
                entry = self._codec.decode_server(row.key, row.value)
            except Exception as error:
                entries.pop(server, None)
                self._log_ignored(row, error)
                continue
            # An entry in which only the remaining warm-up time has decreased
            # is not published. Otherwise each heartbeat of a server in its
            # warm-up would cause an update to all instances.
            entries[server] = self._choose_published(
                entry, entries.get(server), row.version
            )
        if is_whole:
            self._withhold_left(entries)
        self._retain_expired(entries)
        self._log_changes(entries)
        self._view.set_servers(entries)

    def _choose_published(
        self,
        entry: catalog.ServerEntry,
        published: catalog.ServerEntry | None,
        version: int,
    ) -> catalog.ServerEntry:
        """Return an entry that was read, or the one published before.

        A server may become cold again without a new start. Its remaining
        time may then still be below the one that was published when it
        started, so that it is compared with the expected end.
        """
        server = entry.server
        until = self._clock.read_boottime() + entry.cold_ms
        expected, known_version = self._cold_until.get(server, (until, None))
        is_again = (
            version != known_version
            and until > expected + WARM_UP_TOLERANCE_MS
        )
        if entry.differs_only_by_warm_up(published) and not is_again:
            self._cold_until[server] = min(until, expected), version
            return published
        if entry.cold_ms:
            self._cold_until[server] = until, version
        else:
            self._cold_until.pop(server, None)
        if is_again and entry == published:
            # An equal entry would not be sent to the other instances.
            return msgspec.structs.replace(entry, cold_ms=entry.cold_ms + 1)
        return entry

    def _withhold_left(
        self, entries: dict[base.ServerId, catalog.ServerEntry]
    ) -> None:
        """Leave out servers that left before the store was restored.

        The copy may list them until their removal is written again.
        """
        self._withheld = {}
        if not self._is_recently_restored():
            return
        for server, entry in list(entries.items()):
            if self._view.has_left(entry):
                self._withheld[server] = entries.pop(server)

    def _is_recently_restored(self) -> bool:
        restored_at = self._servers.restored_at
        now = self._clock.read_boottime()
        return (
            restored_at is not None
            and now - restored_at < EXPIRED_ENTRY_GRACE_MS
        )

    def _retain_expired(
        self, entries: dict[base.ServerId, catalog.ServerEntry]
    ) -> None:
        """Retain entries that expired during an outage of the store."""
        recovered_at = self._servers.recovered_at
        now = self._clock.read_boottime()
        for server, entry in self._view.servers.items():
            if server in entries:
                self._retained_until.pop(server, None)
                continue
            if server in self._retained_until:
                entries[server] = entry
            elif recovered_at is not None and (
                now - recovered_at < EXPIRY_WINDOW_MS
            ):
                self._retained_until[server] = (
                    recovered_at + EXPIRED_ENTRY_GRACE_MS
                )
                entries[server] = entry

    async def _remove_expired(self) -> None:
        """Apply what the store says once the time after an outage is over."""
        while True:
            await self._clock.sleep(EXPIRY_WINDOW_MS // 2)
            self._end_kept_evacuations()
            now = self._clock.read_boottime()
            expired = [
                retained
                for retained, until in self._retained_until.items()
                if until <= now
            ]
            listed = {}
            if not self._is_recently_restored():
                listed, self._withheld = self._withheld, {}
            if not expired and not listed:
                continue
            entries = {**self._view.servers, **listed}
            for server in expired:
                del self._retained_until[server]
                entries.pop(server, None)
            self._log_changes(entries)
            self._view.set_servers(entries)

    def _log_changes(
        self, entries: dict[base.ServerId, catalog.ServerEntry]
    ) -> None:
        previous = self._view.servers
        for server in previous.keys() | entries.keys():
            entry, old_entry = entries.get(server), previous.get(server)
            if entry == old_entry:
                continue
            logged = entry or old_entry
            self._log.write(
                events.ServerSeen(
                    server=server,
                    service=logged.service,
                    state=logged.state.value if entry else "gone",
                    born_ms=logged.born_ms,
                )
            )

    def _log_ignored(self, row: stores.StoredRow, error: Exception) -> None:
        """Log a row that can't be decoded.

        Any writer may have written it, so that whatever its decoding raises
        concerns this row alone.
        """
        problem = repr(error)
        if isinstance(error, base.CodecError):
            problem = error.problem
        self._log.write(
            events.RowIgnored(table=row.table, key=row.key, problem=problem)
        )
