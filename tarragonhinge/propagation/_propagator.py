"""Brings the operators' table and the list of instances everywhere."""

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
from tarragonhinge.propagation import _tally

#: Period of reports to pollers and of polls of the store.
PERIOD_MS = 1000

#: Periods between two exchanges with other availability zones.
EXCHANGE_PERIODS = 4

#: Bound on one call to a peer.
CALL_TIMEOUT_MS = 500

#: Silence of the store and of all peers after which an instance counts
#: as cut off.
CUT_OFF_MS = 5000


class Propagator:
    """Follows new versions through the store or through peers.

    A few pollers of each availability zone read the platform's services;
    the other instances report to one of them and get what they lack.
    Pollers exchange versions with those of other zones, so a zone that
    has lost the store still follows.  Versions only move forward.

    Parameters
    ----------
    me : InstanceEntry
        This instance.
    poller : TablePoller
        Reads the table service.
    view : TableView
        The version in force here.
    instance_list : InstanceList
        The platform's list.
    instances : InstanceView
        The list that this instance uses.
    transport : PeerTransport
        Reaches the other instances.
    clock : Clock
        This process's clock.
    rng : random.Random
        Spreads the load over pollers.
    seeds : tuple of Address
        Instances to ask while the platform's list cannot be had.
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
        self._tally = _tally.ZoneTally(me=me, clock=clock)
        self._fleet = _fleet.FleetSummaries(clock=clock)
        self._entries: list[membership.InstanceEntry] = []
        self._histories: dict[base.RegionName, _list_delta.ListHistory] = {}
        self._list_digest = 0
        self._connected_at = clock.now() - CUT_OFF_MS
        self._was_connected = False
        self._periods = 0
        self._deltas = configuration.DeltaEncoder(
            empty=configuration.OperatorsTable()
        )
        view.changes.subscribe(self._deltas.advance)
        self._decoder = msgspec.msgpack.Decoder(configuration.TableDelta)
        transport.handle(_messages.VersionReport, self._on_report)
        transport.handle(_messages.PollerExchange, self._on_exchange)
        transport.handle(_messages.SummaryQuery, self._on_summary_query)

    def is_connected(self) -> bool:
        """Return whether the store or a peer was heard from lately.

        An instance that has no peers cannot be cut off from them.
        """
        if self._clock.now() - self._connected_at < CUT_OFF_MS:
            return True
        entries = self._instances.list_all()
        return bool(entries) and all(
            entry.instance == self._me.instance for entry in entries
        )

    async def run(self) -> None:
        """Follow new versions until cancelled."""
        while True:
            await self.step()
            jitter_ms = self._rng.randint(-PERIOD_MS // 10, PERIOD_MS // 10)
            await self._clock.sleep(PERIOD_MS + jitter_ms)

    async def step(self) -> None:
        """Do the work of one period."""
        self._periods += 1
        if not self._instances.list_ready():
            await self._fetch_list()
        if self.election.is_poller():
            await self._poll()
        elif not await self._report():
            # No poller answers: read the store rather than fall behind.
            await self._poll_alone()
        self._note_connection()

    def _note_connection(self) -> None:
        connected = self.is_connected()
        if connected != self._was_connected:
            self._was_connected = connected
            logging.info(
                "connection to store or peers connected=%s", connected
            )

    # Pollers -------------------------------------------------------------

    async def _poll(self) -> None:
        if await self._poller.poll():
            self._connected_at = self._clock.now()
        else:
            await self._report()
        self._tally.record(self._me.instance, self._view.current.version)
        await self._fetch_list()
        if self._periods % EXCHANGE_PERIODS == 0:
            await self._exchange_summaries()

    async def _poll_alone(self) -> None:
        if await self._poller.poll():
            self._connected_at = self._clock.now()

    async def _fetch_list(self) -> None:
        entries = await self._list.fetch()
        if entries is None:
            return
        if entries != self._entries:
            self._entries = entries
            self._refresh_lists()

    def _refresh_lists(self) -> None:
        """Select anew for each region that asked, and for this one."""
        for region, history in self._histories.items():
            selected = _selection.select_entries(self._entries, region)
            history.advance(_selection.compute_digest(selected), selected)
        selected = _selection.select_entries(self._entries, self._me.region)
        digest = _selection.compute_digest(selected)
        if digest != self._list_digest:
            self._list_digest = digest
            self._instances.replace(selected)

    def _keep_history(
        self, region: base.RegionName
    ) -> _list_delta.ListHistory:
        """Return the lists of a region, present and former."""
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
        """Report to the zone's first poller, or exchange as the first."""
        pollers = self.election.list_pollers(self._me.zone)
        first = not pollers or pollers[0].instance == self._me.instance
        if not first:
            for poller in pollers:
                if poller.instance == self._me.instance:
                    return
                if await self._exchange(poller):
                    return
        for zone in self.election.list_zones():
            if zone != self._me.zone:
                await self._exchange_zone(zone)

    async def _exchange_zone(self, zone: base.ZoneName) -> None:
        """Exchange with the first poller of a zone that answers."""
        for poller in self.election.list_pollers(zone):
            if await self._exchange(poller):
                return

    async def _exchange(self, poller: membership.InstanceEntry) -> bool:
        """Exchange summaries and versions; False without an answer."""
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
        self._connected_at = self._clock.now()
        self._record_summary(reply.summary)
        self._take_table(reply.table)
        return True

    def _summarize(self) -> _messages.ZoneSummary:
        """Return what this poller hears."""
        return self._tally.summarize(
            version=self._view.current.version,
            expected=self.election.list_expected(),
        )

    def _summarize_zone(self) -> _messages.ZoneSummary:
        """Return what all pollers of this zone hear."""
        fellows = [
            entry.instance
            for entry in self.election.list_pollers(self._me.zone)
            if entry.instance != self._me.instance
        ]
        return self._tally.summarize_zone(self._summarize(), fellows)

    def _record_summary(self, summary: _messages.ZoneSummary) -> None:
        if summary.poller:
            self._tally.record_fellow(summary)
        elif summary.zone != self._me.zone:
            self._fleet.record(summary)

    # Other instances -----------------------------------------------------

    async def _report(self) -> bool:
        """Report to a poller; False if none answers."""
        for poller in self.election.list_preferred(self._me.instance):
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
        self._take_table(reply.table)
        if reply.instances is not None:
            self._take_list(reply.instances)
        self._connected_at = self._clock.now()
        return True

    def _take_list(self, delta: _list_delta.ListDelta) -> None:
        """Take a change of the list; ignore one that does not fit."""
        if delta.base_digest not in (0, self._list_digest):
            return
        self._list_digest = delta.digest
        self._instances.replace(delta.apply(self._instances.list_all()))
        self._histories.clear()

    def _take_table(self, content: bytes) -> None:
        """Put a newer version in force; ignore one that does not fit.

        A delta does not fit if this instance has advanced by other means
        since it asked; the next report brings what is still lacking.
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
        self._connected_at = self._clock.now()
        sender = report.sender
        if sender.zone == self._me.zone:
            self._tally.record(sender.instance, report.table_version)
        known = self._keep_history(sender.region)
        return _messages.VersionReply(
            table=self._encode_newer(report.table_version),
            instances=known.compute_delta(report.list_digest),
        )

    async def _on_exchange(
        self, exchange: _messages.PollerExchange
    ) -> _messages.PollerExchangeReply:
        self._connected_at = self._clock.now()
        self._record_summary(exchange.summary)
        return _messages.PollerExchangeReply(
            table=self._encode_newer(exchange.table_version),
            summary=self._summarize_zone(),
        )

    async def _on_summary_query(
        self, _: _messages.SummaryQuery
    ) -> _messages.SummaryReply:
        self._fleet.record(self._summarize_zone())
        return _messages.SummaryReply(summaries=self._fleet.list_summaries())

    def _encode_newer(self, version: base.TableVersion) -> bytes:
        """Return what a version lacks of the one in force, or nothing."""
        return self._deltas.encode(version)

    # Operators -----------------------------------------------------------

    def get_fleet_version(self) -> _fleet.FleetVersion | None:
        """Return what this poller knows of all instances; None for others.

        Only the first poller of an availability zone hears of the others.
        """
        pollers = self.election.list_pollers(self._me.zone)
        if not pollers or pollers[0].instance != self._me.instance:
            return None
        self._fleet.record(self._summarize_zone())
        return _fleet.combine_summaries(self._fleet.list_summaries())

    async def fetch_fleet_version(self) -> _fleet.FleetVersion | None:
        """Return what is in force on all instances; None if not known."""
        for poller in self.election.list_pollers(self._me.zone):
            known = self.get_fleet_version()
            if known is not None:
                return known
            reply = await self._transport.call(
                poller.address,
                _messages.SummaryQuery(),
                timeout_ms=CALL_TIMEOUT_MS,
            )
            if isinstance(reply, _messages.SummaryReply):
                return _fleet.combine_summaries(reply.summaries)
        return None
