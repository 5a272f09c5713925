"""Propagates the operators' table and the instance list."""

import random

from absl import logging
import msgspec

from tarragonhinge import base
from tarragonhinge import configuration
from tarragonhinge import membership
from tarragonhinge import peers
from tarragonhinge.propagation import _election
from tarragonhinge.propagation import _fleet
from tarragonhinge.propagation import _list_delta
from tarragonhinge.propagation import _messages
from tarragonhinge.propagation import _selection
from tarragonhinge.propagation import _zone_reports

#: Interval between two reports to a poller, and between two polls of the
#: store.
STEP_PERIOD_MS = 1000

#: Steps between two exchanges of summaries.
STEPS_PER_EXCHANGE = 4

#: Timeout of one call to a peer.
CALL_TIMEOUT_MS = 500

#: Time without contact with the store or any peer after which an instance
#: is disconnected and not ready.
DISCONNECTED_AFTER_MS = 5000


class Propagator:
    """Fetches new versions from the store or from peers.

    A few pollers of each availability zone read the platform's services;
    the other instances report to one of them and receive the updates
    that they lack.  Pollers exchange versions with pollers of other
    zones, so a zone that has lost its connection to the store still
    receives updates.  Versions never decrease.

    Parameters
    ----------
    me : InstanceEntry
        Entry of this instance.
    poller : TablePoller
        Poller of the table service.
    view : TableView
        Version of the table in force on this instance.
    instance_list : InstanceList
        Client of the platform's instance list.
    instances : InstanceView
        Instance list in use on this instance.
    transport : PeerTransport
        Transport to the other instances.
    clock : Clock
        Clock of this process.
    rng : random.Random
        Source of jitter, which spreads the load on the pollers.
    seeds : tuple of Address
        Instances to report to if no poller replies, for example while
        the platform's list is unavailable.
    """

    def __init__(
        self,
        *,
        me: membership.InstanceEntry,
        poller: configuration.TablePoller,
        view: configuration.TableView,
        instance_list: membership.InstanceList,
        instances: membership.InstanceView,
        transport: peers.PeerTransport,
        clock: base.Clock,
        rng: random.Random,
        seeds: tuple[base.Address, ...] = (),
    ) -> None:
        self.election = _election.PollerElection(me=me, instances=instances)
        self.failed_reports = 0
        self._me = me
        self._poller = poller
        self._view = view
        self._list = instance_list
        self._instances = instances
        self._transport = transport
        self._clock = clock
        self._rng = rng
        self._seeds = seeds
        self._zone_reports = _zone_reports.ZoneReports(me=me, clock=clock)
        self._fleet = _fleet.FleetSummaries(clock=clock)
        self._entries: list[membership.InstanceEntry] = []
        self._histories: dict[base.RegionName, _list_delta.ListHistory] = {}
        self._list_digest = 0
        self._last_contact_at = clock.now() - DISCONNECTED_AFTER_MS
        self._was_connected = False
        self._step_count = 0
        self._deltas = configuration.DeltaEncoder(
            empty=configuration.OperatorsTable()
        )
        view.changes.subscribe(self._deltas.advance)
        self._decoder = msgspec.msgpack.Decoder(configuration.TableDelta)
        transport.handle(_messages.VersionReport, self._on_report)
        transport.handle(_messages.PollerExchange, self._on_exchange)
        transport.handle(_messages.SummaryQuery, self._on_summary_query)

    def is_connected(self) -> bool:
        """Return whether there was recent contact with the store or a peer.

        An instance that is alone on its list is always connected, because
        it has no peers to lose contact with.
        """
        if self._clock.now() - self._last_contact_at < DISCONNECTED_AFTER_MS:
            return True
        entries = self._instances.list_all()
        return bool(entries) and all(
            entry.instance == self._me.instance for entry in entries
        )

    async def run(self) -> None:
        """Run a step in each period until cancelled."""
        while True:
            await self.step()
            jitter_ms = self._rng.randint(
                -STEP_PERIOD_MS // 10, STEP_PERIOD_MS // 10
            )
            await self._clock.sleep(STEP_PERIOD_MS + jitter_ms)

    async def step(self) -> None:
        """Poll or report once, and exchange summaries when due."""
        self._step_count += 1
        if not self._instances.list_ready():
            await self._fetch_list()
        if self.election.is_poller():
            await self._poll()
        elif not await self._report():
            # No poller replied: read the store so as not to fall behind.
            await self._poll_store()
        self._log_connection_change()

    def _log_connection_change(self) -> None:
        connected = self.is_connected()
        if connected != self._was_connected:
            self._was_connected = connected
            logging.info(
                "contact with the store and the peers changed connected=%s",
                connected,
            )

    # Pollers -------------------------------------------------------------

    async def _poll(self) -> None:
        if await self._poller.poll():
            self._last_contact_at = self._clock.now()
        else:
            await self._report()
        self._zone_reports.record_report(
            self._me.instance, self._view.current.version
        )
        await self._fetch_list()
        if self._step_count % STEPS_PER_EXCHANGE == 0:
            await self._exchange_summaries()

    async def _poll_store(self) -> None:
        if await self._poller.poll():
            self._last_contact_at = self._clock.now()

    async def _fetch_list(self) -> None:
        entries = await self._list.fetch()
        if entries is None:
            return
        if entries != self._entries:
            self._entries = entries
            self._refresh_lists()

    def _refresh_lists(self) -> None:
        """Recompute the lists of this region and of all cached regions."""
        for region, history in self._histories.items():
            selected = _selection.select_entries(self._entries, region)
            history.advance(_selection.compute_digest(selected), selected)
        selected = _selection.select_entries(self._entries, self._me.region)
        digest = _selection.compute_digest(selected)
        if digest != self._list_digest:
            self._list_digest = digest
            self._instances.replace(selected)

    def _get_or_create_history(
        self, region: base.RegionName
    ) -> _list_delta.ListHistory:
        """Return the list history of a region; create it if missing."""
        history = self._histories.get(region)
        if history is None:
            entries = self._entries or self._instances.list_all()
            selected = _selection.select_entries(entries, region)
            history = _list_delta.ListHistory(
                digest=_selection.compute_digest(selected), entries=selected
            )
            self._histories[region] = history
        return history

    async def _exchange_summaries(self) -> None:
        """Exchange summaries with other pollers.

        The first poller of a zone exchanges with a poller of each other
        zone.  The other pollers of the zone exchange with the first one;
        if it does not reply, with the next one in order that precedes
        them.
        """
        pollers = self.election.list_pollers(self._me.zone)
        is_first = not pollers or pollers[0].instance == self._me.instance
        if not is_first:
            for poller in pollers:
                if poller.instance == self._me.instance:
                    return
                if await self._exchange(poller):
                    return
        for zone in self.election.list_zones():
            if zone != self._me.zone:
                await self._exchange_zone(zone)

    async def _exchange_zone(self, zone: base.ZoneName) -> None:
        """Exchange with the first poller of a zone that replies."""
        for poller in self.election.list_pollers(zone):
            if await self._exchange(poller):
                return

    async def _exchange(self, poller: membership.InstanceEntry) -> bool:
        """Exchange summaries and versions; return False without a reply."""
        if poller.zone == self._me.zone:
            summary = self._summarize()
        else:
            summary = self._summarize_zone()
        reply = await self._transport.call(
            poller.address,
            _messages.PollerExchange(
                table_version=self._view.current.version,
                summary=summary,
            ),
            timeout_ms=CALL_TIMEOUT_MS,
        )
        if not isinstance(reply, _messages.PollerExchangeReply):
            return False
        self._last_contact_at = self._clock.now()
        self._record_summary(reply.summary)
        self._apply_table_delta(reply.table)
        return True

    def _summarize(self) -> _messages.ZoneSummary:
        """Return the summary of the reports to this poller."""
        return self._zone_reports.summarize(
            version=self._view.current.version,
            expected=self.election.list_expected_reporters(),
        )

    def _summarize_zone(self) -> _messages.ZoneSummary:
        """Return the summary of the reports to all pollers of this zone."""
        other_pollers = [
            entry.instance
            for entry in self.election.list_pollers(self._me.zone)
            if entry.instance != self._me.instance
        ]
        return self._zone_reports.summarize_zone(
            self._summarize(), other_pollers
        )

    def _record_summary(self, summary: _messages.ZoneSummary) -> None:
        if summary.poller:
            self._zone_reports.record_summary(summary)
        elif summary.zone != self._me.zone:
            self._fleet.record(summary)

    # Reports -------------------------------------------------------------

    async def _report(self) -> bool:
        """Report to a poller or seed; return False if none replies."""
        for poller in self.election.list_preferred_pollers(self._me.instance):
            if await self._report_to(poller.address):
                return True
        for address in self._seeds:
            if await self._report_to(address):
                return True
        return False

    async def _report_to(self, address: base.Address) -> bool:
        reply = await self._transport.call(
            address,
            _messages.VersionReport(
                sender=self._me,
                table_version=self._view.current.version,
                list_digest=self._list_digest,
            ),
            timeout_ms=CALL_TIMEOUT_MS,
        )
        if not isinstance(reply, _messages.VersionReply):
            self.failed_reports += 1
            return False
        self._apply_table_delta(reply.table)
        if reply.instances is not None:
            self._apply_list_delta(reply.instances)
        self._last_contact_at = self._clock.now()
        return True

    def _apply_list_delta(self, delta: _list_delta.ListDelta) -> None:
        """Apply a delta of the list; ignore a delta of another base."""
        if delta.base_digest not in (0, self._list_digest):
            return
        self._list_digest = delta.digest
        self._instances.replace(delta.apply(self._instances.list_all()))
        self._histories.clear()

    def _apply_table_delta(self, content: bytes) -> None:
        """Put a newer version in force; ignore a delta of another base.

        The base differs if this instance has received a newer version
        from elsewhere since it sent its report; the reply to the next
        report then contains the missing updates.
        """
        if not content:
            return
        delta = self._decoder.decode(content)
        current = self._view.current
        if not delta.base_version:
            current = configuration.OperatorsTable()
        table = delta.apply(current)
        if table is not None and self._view.advance(table):
            logging.info("table in force version=%d", table.version)

    # Messages ------------------------------------------------------------

    async def _on_report(
        self, report: _messages.VersionReport
    ) -> _messages.VersionReply:
        self._last_contact_at = self._clock.now()
        sender = report.sender
        if sender.zone == self._me.zone:
            self._zone_reports.record_report(
                sender.instance, report.table_version
            )
        history = self._get_or_create_history(sender.region)
        return _messages.VersionReply(
            table=self._encode_table_delta(report.table_version),
            instances=history.compute_delta(report.list_digest),
        )

    async def _on_exchange(
        self, exchange: _messages.PollerExchange
    ) -> _messages.PollerExchangeReply:
        self._last_contact_at = self._clock.now()
        self._record_summary(exchange.summary)
        return _messages.PollerExchangeReply(
            table=self._encode_table_delta(exchange.table_version),
            summary=self._summarize_zone(),
        )

    async def _on_summary_query(
        self, _: _messages.SummaryQuery
    ) -> _messages.SummaryReply:
        self._fleet.record(self._summarize_zone())
        return _messages.SummaryReply(summaries=self._fleet.list_summaries())

    def _encode_table_delta(self, version: base.TableVersion) -> bytes:
        """Return the delta from a version; empty if it is not older."""
        return self._deltas.encode(version)

    # Operators -----------------------------------------------------------

    def get_fleet_version(self) -> _fleet.FleetVersion | None:
        """Return the fleet's version from the summaries of this instance.

        Returns
        -------
        FleetVersion or None
            None unless this instance is the first poller of its
            availability zone: only that one receives the summaries of
            other zones.
        """
        pollers = self.election.list_pollers(self._me.zone)
        if not pollers or pollers[0].instance != self._me.instance:
            return None
        self._fleet.record(self._summarize_zone())
        return _fleet.combine_summaries(self._fleet.list_summaries())

    async def fetch_fleet_version(self) -> _fleet.FleetVersion | None:
        """Return the fleet's version; None if no poller replies."""
        for poller in self.election.list_pollers(self._me.zone):
            fleet_version = self.get_fleet_version()
            if fleet_version is not None:
                return fleet_version
            reply = await self._transport.call(
                poller.address,
                _messages.SummaryQuery(),
                timeout_ms=CALL_TIMEOUT_MS,
            )
            if isinstance(reply, _messages.SummaryReply):
                return _fleet.combine_summaries(reply.summaries)
        return None
