"""Reports of an instance to the coordinator."""

import struct

from tarragonhinge import balancing
from tarragonhinge import base
from tarragonhinge.gateway import _cold_watch
from tarragonhinge import limits
from tarragonhinge import relay

#: Duration of work that counts as usual.
USUAL_WORK_PERCENT = 100


class Reporter(relay.Exchange):
    """Reports requested keys, service times and loads of servers.

    Parameters
    ----------
    owners : OwnerFinder
        Collects the keys of requests.
    links : ServerLinks
        Links that measure service times and loads.
    server_limits : ServerLimits
        Limits that the servers name.
    leaving : LeavingServers
        Servers that say that they leave.
    cold_watch : ColdWatch or None
        Recognizes servers that are cold.
    """

    def __init__(
        self,
        *,
        owners: balancing.OwnerFinder,
        links: balancing.ServerLinks,
        server_limits: limits.ServerLimits,
        leaving: balancing.LeavingServers,
        cold_watch: _cold_watch.ColdWatch | None = None,
    ) -> None:
        self._owners = owners
        self._links = links
        self._server_limits = server_limits
        self._leaving = leaving
        self._cold_watch = cold_watch
        self._cold = server_limits.cold

    def make_report(self) -> relay.Report:
        """Return the keys and service times recorded since the last report."""
        keys = {
            service: struct.pack(f"!{len(samples)}H", *samples)
            for service, samples in self._owners.take_key_samples().items()
        }
        speeds = []
        for link in self._links.list_keyed():
            count, mean_ms = link.load.take_latencies()
            if count:
                speeds.append(
                    relay.MeasuredServiceTime(
                        server=base.ServerId(link.entry.server),
                        count=count,
                        mean_ms=round(mean_ms, 1),
                    )
                )
        return relay.Report(keys=keys, speeds=speeds)

    def make_loads(self) -> relay.Loads:
        """Return what responses have shown of servers since the last call."""
        loads = []
        work_percents = {}
        for link in self._links.list_reported():
            total = link.load.take_observed_load()
            if total is not None:
                server = link.entry.server
                loads.append(relay.ObservedLoad(server=server, total=total))
                if link.load.work_speed.percent != USUAL_WORK_PERCENT:
                    work_percents[server] = link.load.work_speed.percent
        return relay.Loads(
            seen=loads,
            named_limits=self._server_limits.take_unreported(),
            leaving=self._leaving.take_unreported(),
            cold=self._cold.take_unreported() if self._cold else [],
            work_percents=work_percents,
        )

    def report_again(self) -> None:
        """Report leaving and cold servers to another coordinator, too."""
        self._leaving.report_again()
        if self._cold:
            self._cold.report_again()

    def apply_loads(self, loads: relay.Loads) -> None:
        """Record loads and limits that other instances have observed."""
        self._server_limits.apply(loads.named_limits)
        self._leaving.apply(loads.leaving)
        if self._cold and loads.cold:
            self._cold.apply(
                report
                for report in loads.cold
                if self._cold_watch is None
                or not self._cold_watch.is_contradicted(report)
            )
        for load in loads.seen:
            link = self._links.find(load.server)
            if link is not None:
                link.load.record_observed_load(
                    load.total,
                    loads.work_percents.get(load.server, USUAL_WORK_PERCENT),
                )
