"""A version of the routing table as a change of an earlier one."""

import msgspec

from tarragonhinge import base
from tarragonhinge.catalog import _limits
from tarragonhinge.catalog import _route
from tarragonhinge.catalog import _routing_table
from tarragonhinge.catalog import _service


class RoutingDelta(msgspec.Struct, frozen=True, kw_only=True):
    """What changed between two versions.

    Parameters
    ----------
    base_version : TableVersion
        What the delta applies to.
    version : TableVersion
        What it gives.
    routes : tuple of Route
        New and changed routes; new ones follow those of the base.
    gone : tuple of str
        Names of routes that went.
    services : tuple of Service or None
        All services, if they changed.
    limits : CallerLimits or None
        Bounds on callers, if they changed.
    """

    base_version: base.TableVersion
    version: base.TableVersion
    routes: tuple[_route.Route, ...] = ()
    gone: tuple[str, ...] = ()
    services: tuple[_service.Service, ...] | None = None
    limits: _limits.CallerLimits | None = None

    def apply(
        self, table: _routing_table.RoutingTable
    ) -> _routing_table.RoutingTable | None:
        """Return the version that the delta gives.

        Returns
        -------
        RoutingTable or None
            None if `table` is not the base.
        """
        if table.version != self.base_version:
            return None
        routes = {route.name: route for route in table.routes}
        for name in self.gone:
            routes.pop(name, None)
        routes.update((route.name, route) for route in self.routes)
        return _routing_table.RoutingTable(
            version=self.version,
            routes=tuple(routes.values()),
            services=table.services
            if self.services is None
            else self.services,
            limits=table.limits if self.limits is None else self.limits,
        )


def compute_delta(
    old: _routing_table.RoutingTable, new: _routing_table.RoutingTable
) -> RoutingDelta | None:
    """Return the change from one version to another.

    Returns
    -------
    RoutingDelta or None
        None if a delta can't give the new version: names of routes are
        used twice, or routes that stayed come in another order.
    """
    known = {route.name: route for route in old.routes}
    names = {route.name for route in new.routes}
    delta = RoutingDelta(
        base_version=old.version,
        version=new.version,
        routes=tuple(r for r in new.routes if known.get(r.name) != r),
        gone=tuple(name for name in known if name not in names),
        services=new.services if new.services != old.services else None,
        limits=new.limits if new.limits != old.limits else None,
    )
    return delta if delta.apply(old) == new else None
