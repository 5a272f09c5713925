"""Routing table with routes, services and limits."""

import functools

import msgspec

from tarragonhinge import base
from tarragonhinge.catalog import _caller_limits
from tarragonhinge.catalog import _route
from tarragonhinge.catalog import _service


class RoutingTable(msgspec.Struct, frozen=True, kw_only=True, dict=True):
    """One version of the routes, services and limits.

    Parameters
    ----------
    version : TableVersion
        Version number; it increases with each change, but not always by 1.
    routes : tuple of Route
        All routes.
    services : tuple of Service
        All services.
    limits : CallerLimits
        Limits on connections of callers.
    """

    version: base.TableVersion
    routes: tuple[_route.Route, ...] = ()
    services: tuple[_service.Service, ...] = ()
    limits: _caller_limits.CallerLimits = _caller_limits.CallerLimits()

    @functools.cached_property
    def _by_host(self) -> dict[str, list[_route.Route]]:
        hosts: dict[str, list[_route.Route]] = {}
        for route in self.routes:
            hosts.setdefault(route.host, []).append(route)
        for routes in hosts.values():
            routes.sort(key=lambda route: len(route.prefix), reverse=True)
        return hosts

    @functools.cached_property
    def _by_name(self) -> dict[base.ServiceName, _service.Service]:
        return {service.name: service for service in self.services}

    def match(self, *, host: str, path: str) -> _route.Route | None:
        """Return the route of a host with the longest matching prefix.

        Parameters
        ----------
        host : str
            Host of the request, with or without a port.
        path : str
            Path of the request, without the query.

        Returns
        -------
        Route or None
            None if no route matches.
        """
        name = host.lower()
        if ":" in name and not name.endswith("]"):
            name = name.rpartition(":")[0]
        for route in self._by_host.get(name, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def find_service(self, name: base.ServiceName) -> _service.Service | None:
        """Return a service by name, or None if it is not in this version."""
        return self._by_name.get(name)

    def list_keyed(self) -> list[base.ServiceName]:
        """Return the services whose keys are each owned by a single server."""
        return [s.name for s in self.services if s.keyed]
