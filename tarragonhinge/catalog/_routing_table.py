"""Routes and services in force."""

import functools

import msgspec

from tarragonhinge import base
from tarragonhinge.catalog import _limits
from tarragonhinge.catalog import _route
from tarragonhinge.catalog import _service


class RoutingTable(msgspec.Struct, frozen=True, kw_only=True, dict=True):
    """One version of the routes, services and limits.

    Parameters
    ----------
    version : TableVersion
        Grows with each change, in uneven steps.
    routes : tuple of Route
        All routes.
    services : tuple of Service
        All services.
    limits : CallerLimits
        Bounds on callers.
    """

    version: base.TableVersion
    routes: tuple[_route.Route, ...] = ()
    services: tuple[_service.Service, ...] = ()
    limits: _limits.CallerLimits = _limits.CallerLimits()

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
        """Return the route of a host whose prefix is the longest match.

        Parameters
        ----------
        host : str
            Host of the request, with or without a port.
        path : str
            Path of the request, without the query.
        """
        name = host.lower()
        if ":" in name and not name.endswith("]"):
            name = name.rpartition(":")[0]
        for route in self._by_host.get(name, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def find_service(self, name: base.ServiceName) -> _service.Service | None:
        """Return a service, or None if the version has none of the name."""
        return self._by_name.get(name)

    def list_keyed(self) -> list[base.ServiceName]:
        """Return the services whose keys belong to servers."""
        return [s.name for s in self.services if s.keyed]
