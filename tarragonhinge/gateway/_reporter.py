"""Reports of an instance to the coordinator."""

import struct

from tarragonhinge import base
from tarragonhinge.gateway import _links
from tarragonhinge.gateway import _owner_finder
from tarragonhinge import limits
from tarragonhinge import relay


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
    """

    def __init__(
        self,
        *,
        owners: _owner_finder.OwnerFinder,
        links: _links.ServerLinks,
        server_limits: limits.ServerLimits,
    ) -> None:
        self._owners = owners
        self._links = links
        self._server_limits = server_limits

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
        """Return the loads and limits observed since the last call."""
        loads = []
        for link in self._links.list_keyed():
            total = link.load.take_observed_load()
            if total is not None:
                loads.append(
                    relay.ObservedLoad(server=link.entry.server, total=total)
                )
        return relay.Loads(
            seen=loads, named_limits=self._server_limits.take_unreported()
        )

    def apply_loads(self, loads: relay.Loads) -> None:
        """Record loads and limits that other instances have observed."""
        self._server_limits.apply(loads.named_limits)
        for load in loads.seen:
            link = self._links.find(load.server)
            if link is not None:
                link.load.record_observed_load(load.total)
