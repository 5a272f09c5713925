"""What is known of the deployment that a routing table is for."""

from collections.abc import Mapping
from collections.abc import Sequence

import msgspec

from tarragonhinge import base
from tarragonhinge import catalog


class Surroundings(msgspec.Struct, frozen=True, kw_only=True):
    """Facts about a deployment; checks that lack a fact are left out.

    Parameters
    ----------
    zones : mapping
        Region of each availability zone; empty if unknown.
    servers : sequence of ServerEntry
        Backend servers; empty if unknown.
    memory_bytes : int or None
        Memory of the smallest instance, if known.
    """

    zones: Mapping[base.ZoneName, base.RegionName] = {}
    servers: Sequence[catalog.ServerEntry] = ()
    memory_bytes: int | None = None

    @property
    def regions(self) -> frozenset[base.RegionName]:
        """Regions of the deployment."""
        return frozenset(self.zones.values())

    def list_regions(
        self, service: base.ServiceName
    ) -> frozenset[base.RegionName]:
        """Return the regions in which a service has servers."""
        return frozenset(
            self.zones[entry.zone]
            for entry in self.servers
            if entry.service == service and entry.zone in self.zones
        )
