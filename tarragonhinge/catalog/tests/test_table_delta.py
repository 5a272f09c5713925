"""Tests of differences between versions of the routing table."""

import msgspec
import pytest

from tarragonhinge import base
from tarragonhinge import catalog


def _make_route(name, prefix="/", timeout_ms=1_000):
    return catalog.Route(
        name=name,
        host="h",
        prefix=prefix,
        kind=catalog.RequestKind.IDEMPOTENT,
        timeout_ms=timeout_ms,
        objective_ms=500,
        priority=1,
        max_attempts=2,
        targets=(catalog.Target(service=base.ServiceName("s")),),
    )


def _make_table(version, routes, **changes):
    return catalog.RoutingTable(
        version=base.TableVersion(version), routes=tuple(routes), **changes
    )


_A, _B, _C = (_make_route(name) for name in "abc")
_SERVICE = catalog.Service(name=base.ServiceName("s"), max_connections=9)


@pytest.mark.parametrize(
    ("new", "route_count"),
    [
        (_make_table(2, [_A, _B]), 0),
        (_make_table(2, [_A, _B, _C]), 1),
        (_make_table(2, [_B]), 0),
        (_make_table(2, [_make_route("a", timeout_ms=9), _B]), 1),
        (_make_table(2, [_A, _B], services=(_SERVICE,)), 0),
        (_make_table(2, [_A, _B], limits=catalog.CallerLimits()), 0),
    ],
)
def test_delta_results_in_new_version(new, route_count):
    old = _make_table(1, [_A, _B])
    delta = catalog.compute_delta(old, new)
    assert delta.apply(old) == new
    assert len(delta.routes) == route_count
    assert delta.apply(new) is None


@pytest.mark.parametrize(
    "routes",
    [[_B, _A], [_A, _A], [_C, _A, _B], [_A, _make_route("a", prefix="/x/")]],
)
def test_no_delta_for_change_that_it_cannot_express(routes):
    old = _make_table(1, [_A, _B])
    assert catalog.compute_delta(old, _make_table(2, routes)) is None


def test_encoded_delta_omits_unchanged_routes():
    old = _make_table(1, [_make_route(f"r{n}") for n in range(150)])
    new = _make_table(2, [*old.routes, _A])
    delta = catalog.compute_delta(old, new)
    assert len(msgspec.msgpack.encode(delta)) < 500
