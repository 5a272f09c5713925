"""Checks of a routing table, each registered by a decorator."""

from collections.abc import Callable
from collections.abc import Iterator

from tarragonhinge import base
from tarragonhinge import catalog
from tarragonhinge.preflight import _finding
from tarragonhinge.preflight import _surroundings

#: Fraction of the latency objective that an attempt needs at least.
MIN_ATTEMPT_OBJECTIVE_FRACTION = 0.5

Check = Callable[
    [catalog.RoutingTable, _surroundings.Surroundings],
    Iterator[_finding.Finding],
]

_CHECKS: list[Check] = []
_Severity = _finding.Severity


def _register(check: Check) -> Check:
    """Add a check to those that `check_table` runs."""
    _CHECKS.append(check)
    return check


def check_table(
    table: catalog.RoutingTable, surroundings: _surroundings.Surroundings
) -> list[_finding.Finding]:
    """Return all findings, in the order of the checks.

    Parameters
    ----------
    table : RoutingTable
        Table to check.
    surroundings : Surroundings
        What is known of the deployment.
    """
    return [f for check in _CHECKS for f in check(table, surroundings)]


def _locate_route(
    index: int, route: catalog.Route, field: str = ""
) -> _finding.Place:
    return _finding.Place(
        section="routes", index=index, name=route.name, field=field
    )


def _locate_service(
    index: int, service: catalog.Service, field: str = ""
) -> _finding.Place:
    return _finding.Place(
        section="services", index=index, name=service.name, field=field
    )


def _locate_limit(field: str) -> _finding.Place:
    return _finding.Place(section="limits", field=field)


@_register
def _check_names(
    table: catalog.RoutingTable, _: _surroundings.Surroundings
) -> Iterator[_finding.Finding]:
    """Find names that are used twice; only one of the entries counts."""
    for entries, locate in (
        (table.routes, _locate_route),
        (table.services, _locate_service),
    ):
        seen = set()
        for index, entry in enumerate(entries):
            if entry.name in seen:
                yield _finding.Finding(
                    severity=_Severity.ERROR,
                    place=locate(index, entry, "name"),
                    problem=f"the name {entry.name} is used twice",
                    effect="one of the entries replaces the other one in "
                    "updates between instances",
                    remedy="give each entry a name of its own",
                )
            seen.add(entry.name)


@_register
def _check_targets(
    table: catalog.RoutingTable, _: _surroundings.Surroundings
) -> Iterator[_finding.Finding]:
    """Find targets that don't exist or never get a request."""
    for index, route in enumerate(table.routes):
        place = _locate_route(index, route, "targets")
        for target in route.targets:
            if table.find_service(target.service) is None:
                yield _finding.Finding(
                    severity=_Severity.ERROR,
                    place=place,
                    problem=f"the service {target.service} does not exist",
                    effect="requests for it are refused with 503",
                    remedy="add the service, or name another one",
                )
            elif target.weight <= 0:
                yield _finding.Finding(
                    severity=_Severity.UNREACHABLE,
                    place=place,
                    problem=f"the weight of {target.service} is 0",
                    effect="the service gets no requests of this route",
                    remedy="remove the target, or give it a weight",
                )


@_register
def _check_matches(
    table: catalog.RoutingTable, _: _surroundings.Surroundings
) -> Iterator[_finding.Finding]:
    """Find routes that match no request."""
    first_routes: dict[tuple[str, str], catalog.Route] = {}
    for index, route in enumerate(table.routes):
        problem = ""
        field = "prefix"
        known = first_routes.setdefault((route.host, route.prefix), route)
        if known is not route:
            problem = f"{known.name} has the same host and prefix"
        elif not (route.prefix.startswith("/") and route.prefix.endswith("/")):
            problem = "the prefix does not begin and end with a slash"
        elif not route.host or ":" in route.host.rpartition("]")[2]:
            field = "host"
            problem = "the host is empty or has a port"
        if problem:
            yield _finding.Finding(
                severity=_Severity.UNREACHABLE,
                place=_locate_route(index, route, field),
                problem=problem,
                effect="no request uses this route",
                remedy="correct host and prefix, or remove the route",
            )


@_register
def _check_use(
    table: catalog.RoutingTable, _: _surroundings.Surroundings
) -> Iterator[_finding.Finding]:
    """Find services without a route."""
    used = {t.service for r in table.routes for t in r.targets if t.weight > 0}
    for index, service in enumerate(table.services):
        if service.name not in used:
            yield _finding.Finding(
                severity=_Severity.UNREACHABLE,
                place=_locate_service(index, service),
                problem="no route leads to the service",
                effect="its servers get no requests",
                remedy="add a route, or remove the service",
            )


@_register
def _check_regions(
    table: catalog.RoutingTable, surroundings: _surroundings.Surroundings
) -> Iterator[_finding.Finding]:
    """Find allowed regions in which no request can be served."""
    for index, route in enumerate(table.routes):
        allowed = frozenset(route.allowed_regions)
        if not allowed:
            continue
        place = _locate_route(index, route, "allowed_regions")
        problem = ""
        if surroundings.zones and not allowed & surroundings.regions:
            problem = "no availability zone lies in an allowed region"
        elif surroundings.servers:
            problem = next(
                (
                    f"{target.service} has no server in an allowed region"
                    for target in route.targets
                    if target.weight > 0
                    and not allowed & surroundings.list_regions(target.service)
                ),
                "",
            )
        if problem:
            yield _finding.Finding(
                severity=_Severity.UNREACHABLE,
                place=place,
                problem=problem,
                effect="all of these requests are refused with 503",
                remedy="allow a region with servers of the service",
            )


@_register
def _check_keyed_regions(
    table: catalog.RoutingTable, _: _surroundings.Surroundings
) -> Iterator[_finding.Finding]:
    """Find keyed services whose keys can't be kept in allowed regions."""
    for index, service in enumerate(table.services):
        if not service.keyed:
            continue
        restrictions = [
            frozenset(route.allowed_regions)
            for route in table.routes
            if any(target.service == service.name for target in route.targets)
        ]
        is_restricted = any(restrictions)
        has_common = all(restrictions) and frozenset.intersection(
            *restrictions
        )
        if is_restricted and not has_common:
            yield _finding.Finding(
                severity=_Severity.CONFLICT,
                place=_locate_service(index, service),
                problem="the routes to this keyed service share no allowed "
                "region",
                effect="requests whose key is owned in another region are "
                "refused with 503",
                remedy="restrict all its routes to a common region, or none",
            )


@_register
def _check_times(
    table: catalog.RoutingTable, _: _surroundings.Surroundings
) -> Iterator[_finding.Finding]:
    """Find timeouts that the other limits of a route contradict."""
    for index, route in enumerate(table.routes):
        place = _locate_route(index, route, "timeout_ms")
        if route.timeout_ms < route.objective_ms:
            yield _finding.Finding(
                severity=_Severity.CONFLICT,
                place=place,
                problem=f"the timeout of {route.timeout_ms} ms is below the "
                f"latency objective of {route.objective_ms} ms",
                effect="requests end with 504 that would be in time",
                remedy="raise the timeout to the objective or above",
            )
            continue
        needed_ms = (
            route.max_attempts
            * MIN_ATTEMPT_OBJECTIVE_FRACTION
            * route.objective_ms
        )
        if route.max_attempts > 1 and needed_ms > route.timeout_ms:
            yield _finding.Finding(
                severity=_Severity.CONFLICT,
                place=_locate_route(index, route, "max_attempts"),
                problem=f"{route.max_attempts} attempts don't fit in "
                f"{route.timeout_ms} ms",
                effect="the last attempts are never made",
                remedy="lower the attempts or raise the timeout",
            )


@_register
def _check_cold_rates(
    table: catalog.RoutingTable, _: _surroundings.Surroundings
) -> Iterator[_finding.Finding]:
    """Find warm-up settings with which a cold server gets no request."""
    for index, service in enumerate(table.services):
        place = _locate_service(index, service, "cold_rate")
        if service.cold_rate > 0 and not service.warm_up_ms:
            problem = "there is a cold rate, but no warm-up time"
            effect = "the rate limits nothing once a server is listed"
        elif 0 < service.cold_rate * service.warm_up_ms < base.MS_PER_S:
            problem = (
                f"a rate of {service.cold_rate:g}/s allows no request within "
                f"the warm-up time of {service.warm_up_ms} ms"
            )
            effect = "servers that start stay idle until they are warm"
        else:
            continue
        yield _finding.Finding(
            severity=_Severity.CONFLICT,
            place=place,
            problem=problem,
            effect=effect,
            remedy="set both to what a server that has started can take",
        )


@_register
def _check_limits(
    table: catalog.RoutingTable, surroundings: _surroundings.Surroundings
) -> Iterator[_finding.Finding]:
    """Find limits on callers that can't hold together."""
    limits = table.limits
    if limits.header_timeout_ms > limits.idle_timeout_ms:
        yield _finding.Finding(
            severity=_Severity.CONFLICT,
            place=_locate_limit("header_timeout_ms"),
            problem=f"a header may take {limits.header_timeout_ms} ms, but a "
            f"connection may be idle for {limits.idle_timeout_ms} ms only",
            effect="slow headers end with the idle timeout",
            remedy="raise the idle timeout above the header timeout",
        )
    memory_bytes = surroundings.memory_bytes
    if memory_bytes is not None and limits.body_bytes > memory_bytes:
        yield _finding.Finding(
            severity=_Severity.CONFLICT,
            place=_locate_limit("body_bytes"),
            problem=f"bodies of {limits.body_bytes} bytes are allowed, but "
            f"the smallest instance has {memory_bytes} bytes of memory",
            effect="the largest bodies are refused with 503",
            remedy="lower the limit, or use larger instances",
        )
