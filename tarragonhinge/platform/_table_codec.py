"""Codec that turns the operator's configuration into a routing table."""

from typing import Annotated

import msgspec

from tarragonhinge import base
from tarragonhinge import catalog

#: Store table and row key of the current configuration.
TABLE = "op"
KEY = "config"

#: Kinds of requests that may run more than once; any other kind may not.
_KINDS_BY_NAME = {"safe": catalog.RequestKind.IDEMPOTENT}


# Larger numbers can be sent to no other instance.
_MAX_NUMBER = (1 << 53) - 1
_Number = Annotated[int, msgspec.Meta(ge=-_MAX_NUMBER, le=_MAX_NUMBER)]
_Seconds = Annotated[float, msgspec.Meta(ge=0, le=1e9)]
_Rate = Annotated[float, msgspec.Meta(ge=0, le=1e9)]


class _WeightedService(msgspec.Struct):
    service: str
    weight: float = 1.0


class _Route(msgspec.Struct, rename={"objective_ms": "goalLatency"}):
    name: str
    host: str
    prefix: str
    kind: str
    # Timeout in milliseconds.
    timeout: _Number
    objective_ms: _Number = 0
    priority: _Number = 0
    max_attempts: _Number = msgspec.field(name="maxAttempts", default=1)
    # Services among which the requests are split by weight.
    backends: list[_WeightedService] = []
    service: str = ""
    regions: list[str] | None = msgspec.field(
        name="allowedRegions", default=None
    )


class _Service(msgspec.Struct):
    name: str
    max_connections: _Number = msgspec.field(name="maxConns", default=64)
    # Whether each key is owned by one server.
    sharded: bool = False
    # Warm-up time of keys in seconds.
    warm: _Seconds = 0.0
    # Time in seconds for which a server is cold, and requests per second that
    # it takes meanwhile.
    warm_up: _Seconds = msgspec.field(name="warmup", default=0.0)
    cold_rate: _Rate = msgspec.field(name="coldPerS", default=0.0)
    health_path: str = msgspec.field(name="healthPath", default="")


class _Limits(msgspec.Struct):
    header_bytes: _Number = msgspec.field(
        name="maxHeaderBytes", default=16_384
    )
    body_bytes: _Number = msgspec.field(name="maxBodyBytes", default=1 << 20)
    # Timeouts in milliseconds.
    header_ms: _Number = msgspec.field(name="headerTimeout", default=3000)
    idle_ms: _Number = msgspec.field(name="idleTimeout", default=15_000)


class _Config(msgspec.Struct):
    version: _Number
    routes: list[_Route] = []
    services: list[_Service] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)


_decoder = msgspec.json.Decoder(_Config, strict=False)


def decode_table(value: bytes) -> catalog.RoutingTable:
    """Decode a stored configuration.

    Raises
    ------
    CodecError
        If the value is not a valid configuration.
    """
    try:
        config = _decoder.decode(value)
    except base.DECODE_ERRORS as error:
        raise base.CodecError(
            problem=f"{TABLE}/{KEY} cannot be decoded: {error}",
            remedy="write a valid configuration; the last one stays in force",
        ) from error
    limits = config.limits
    return catalog.RoutingTable(
        version=base.TableVersion(config.version),
        routes=tuple(_make_route(route) for route in config.routes),
        services=tuple(_make_service(service) for service in config.services),
        limits=catalog.CallerLimits(
            header_bytes=limits.header_bytes,
            body_bytes=limits.body_bytes,
            header_timeout_ms=limits.header_ms,
            idle_timeout_ms=limits.idle_ms,
        ),
    )


def _make_route(route: _Route) -> catalog.Route:
    backends = route.backends or [_WeightedService(service=route.service)]
    return catalog.Route(
        name=route.name,
        host=route.host.lower(),
        prefix=route.prefix,
        kind=_KINDS_BY_NAME.get(
            route.kind, catalog.RequestKind.NON_IDEMPOTENT
        ),
        timeout_ms=route.timeout,
        objective_ms=route.objective_ms or route.timeout,
        priority=route.priority,
        max_attempts=max(1, route.max_attempts),
        targets=tuple(
            catalog.Target(
                service=base.ServiceName(backend.service),
                weight=backend.weight,
            )
            for backend in backends
        ),
        allowed_regions=tuple(
            base.RegionName(region) for region in route.regions or ()
        ),
    )


def _make_service(service: _Service) -> catalog.Service:
    return catalog.Service(
        name=base.ServiceName(service.name),
        max_connections=service.max_connections,
        keyed=service.sharded,
        warm_ms=int(service.warm * base.MS_PER_S),
        warm_up_ms=int(service.warm_up * base.MS_PER_S),
        cold_rate=service.cold_rate,
        health_path=service.health_path,
    )
