"""Differences between versions of the routing table."""

import msgspec

from tarragonhinge import base
from tarragonhinge.catalog import _caller_limits
from tarragonhinge.catalog import _route
from tarragonhinge.catalog import _routing_table
from tarragonhinge.catalog import _service


class RoutingDelta(msgspec.Struct, frozen=True, kw_only=True):
    """Difference between two versions of the routing table.

    Parameters
    ----------
    base_version : TableVersion
        Version that the delta applies to.
    version : TableVersion
        Version that the delta results in.
    routes : tuple of Route
        New and changed routes; new ones are appended to the table.
    gone : tuple of str
        Names of removed routes.
    services : tuple of Service or None
        All services, or None if they did not change.
    limits : CallerLimits or None
        Limits on connections of callers, or None if they did not change.
    """

    base_version: base.TableVersion
    version: base.TableVersion
    routes: tuple[_route.Route, ...] = ()
    gone: tuple[str, ...] = ()
    services: tuple[_service.Service, ...] | None = None
    limits: _caller_limits.CallerLimits | None = None

    def apply(
        self, table: _routing_table.RoutingTable
    ) -> _routing_table.RoutingTable | None:
        """Apply the delta to a table.

        Returns
        -------
        RoutingTable or None
            The resulting version, or None if `table` is not the base
            version.
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
    """Return the difference between two versions.

    Returns
    -------
    RoutingDelta or None
        None if a delta can't express the change, because a route name is
        used twice or the order of the remaining routes has changed.
    """
    old_routes = {route.name: route for route in old.routes}
    new_names = {route.name for route in new.routes}
    delta = RoutingDelta(
        base_version=old.version,
        version=new.version,
        routes=tuple(r for r in new.routes if old_routes.get(r.name) != r),
        gone=tuple(name for name in old_routes if name not in new_names),
        services=new.services if new.services != old.services else None,
        limits=new.limits if new.limits != old.limits else None,
    )
    return delta if delta.apply(old) == new else None
