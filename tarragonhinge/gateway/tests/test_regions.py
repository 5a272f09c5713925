"""No request reaches a server outside its regions or in an evacuated zone."""

import asyncio

import pytest

from tarragonhinge import base
from tarragonhinge import catalog
from tarragonhinge import forwarding
from tarragonhinge.gateway.tests import regional

_ONCE = catalog.RequestKind.NON_IDEMPOTENT


def _servers(**modes):
    """Return servers that are named after their zones."""
    return {
        name: regional.Server(name[:2], mode=mode)
        for name, mode in modes.items()
    }


@pytest.mark.parametrize(
    ("modes", "allowed", "evacuated", "arrivals", "result"),
    [
        ({"a1": "ok", "b1": "ok"}, (), (), ["a1"], (200, "")),
        # First send: the near server is not eligible.
        ({"a1": "ok", "b1": "ok"}, ("b",), (), ["b1"], (200, "")),
        ({"a1": "ok", "b1": "ok"}, (), ("a1",), ["b1"], (200, "")),
        ({"a1": "ok", "b1": "ok"}, ("a", "b"), ("a1",), ["b1"], (200, "")),
        # Retry after a refusal, and after a connection that broke off.
        ({"a1": "ok", "b1": "shed"}, ("b",), (), ["b1"], (503, "shed")),
        (
            {"a1": "ok", "b1": "broken"},
            ("b",),
            (),
            ["b1"],
            (502, "broken"),
        ),
        (
            {"a1": "broken", "b1": "ok"},
            (),
            ("b1",),
            ["a1"],
            (502, "broken"),
        ),
        # Failover: no other server may get it.
        ({"a1": "ok", "b1": "silent"}, ("b",), (), ["b1"], (504, "timeout")),
        ({"a1": "silent", "b1": "ok"}, (), ("b1",), ["a1"], (504, "timeout")),
        # No server of an allowed region can be reached.
        (
            {"a1": "ok", "b1": "unreachable"},
            ("b",),
            (),
            [],
            (503, "unreachable"),
        ),
        # No server is eligible. The settings lack the region of zone x9.
        (
            {"a1": "ok", "x9": "ok"},
            ("b",),
            (),
            [],
            (503, "region_not_allowed"),
        ),
        ({"a1": "ok"}, (), ("a1", "b1"), [], (503, "zone_evacuated")),
        (
            {"a1": "ok", "b1": "ok"},
            ("b",),
            ("b1",),
            [],
            (503, "zone_evacuated"),
        ),
        ({}, ("b",), (), [], (503, "no_server")),
    ],
)
def test_attempts_reach_eligible_servers_only(
    modes, allowed, evacuated, arrivals, result
):
    async def check(fixture):
        fixture.evacuate(*evacuated)
        status, reason, elapsed_ms = await fixture.send()
        assert (status, reason) == result
        assert set(fixture.arrivals) == set(arrivals)
        # No failover is paid for without a server that may get it.
        assert fixture.count_attempts("silent") == 0
        if status == 503:
            assert float(fixture.response["retry-after"]) > 0
            assert arrivals or elapsed_ms == 0

    regional.Regional(_servers(**modes), allowed=allowed).run(check)


def _evacuate(fixture):
    fixture.evacuate("a1")


def _restrict(fixture):
    fixture.allow(("b",))


@pytest.mark.parametrize(
    ("change", "reason"),
    [(_evacuate, "zone_evacuated"), (_restrict, "region_not_allowed")],
)
@pytest.mark.parametrize("has_other", [True, False])
@pytest.mark.parametrize("case", ["connecting", "permit", "line", "retry"])
def test_request_under_way_heeds_a_change(change, reason, has_other, case):
    """Guards against requests sent by the decision of an earlier moment.

    The change comes while a connection opens, while the request waits for a
    slot at a server that names a limit, while more urgent requests go first,
    and before a retry.
    """
    servers = _servers(a1="ok", **({"b1": "ok"} if has_other else {}))
    near = servers["a1"]
    background = []

    async def check(fixture):
        sent_before = 0
        if case == "connecting":
            near.connect_ms = 100
        elif case == "permit":
            limits = fixture.gateway.server_limits
            limits.record_response((base.ServerId("a1"), 1), 2.0)
        elif case == "line":
            near.work_ms = 600
            await fixture.send(route="urgent")
            background.append(asyncio.create_task(fixture.send()))
            await asyncio.sleep(0.01)
            sent_before = len(fixture.arrivals)
        else:
            near.mode, near.work_ms, sent_before = "broken", 100, 1
        request = asyncio.create_task(fixture.send())
        await asyncio.sleep(0.05)
        change(fixture)
        status, got_reason, elapsed_ms = await request
        late = fixture.arrivals[sent_before:]
        assert "a1" not in late
        if has_other:
            assert (status, late[:1]) == (200, ["b1"])
        elif case == "retry":
            assert status == 502
        else:
            assert (status, got_reason) == (503, reason)
            assert float(fixture.response["retry-after"]) > 0
            # At once, or when the connection is open.
            assert 50 <= elapsed_ms <= (100 if case == "connecting" else 80)

    regional.Regional(servers).run(check)


@pytest.mark.parametrize(
    ("after_ms", "owner", "expected"),
    [
        (0, "a1", (200, "")),
        (2_400, "a1", (200, "")),
        (2_500, "a1", (503, "zone_evacuated")),
        (9_000, "a1", (503, "zone_evacuated")),
        (2_500, "b1", (200, "")),
    ],
)
def test_owner_in_evacuated_zone_gets_requests_for_a_while(
    after_ms, owner, expected
):
    """The keys move meanwhile; then their requests wait for the new owner."""

    async def check(fixture):
        fixture.own("a1")
        fixture.evacuate("a1")
        await asyncio.sleep(after_ms / 1_000)
        fixture.own(owner, fence=2)
        status, reason, elapsed_ms = await fixture.send()
        assert (status, reason) == expected
        assert fixture.arrivals == ([owner] if status == 200 else [])
        if status == 503:
            assert elapsed_ms == 0
            assert float(fixture.response["retry-after"]) > 0

    regional.Regional(_servers(a1="ok", b1="ok"), keyed=True).run(check)


def test_time_of_an_owner_ends_while_a_connection_opens():
    async def check(fixture):
        fixture.own("a1")
        fixture.evacuate("a1")
        fixture.servers["a1"].connect_ms = 100
        await asyncio.sleep(2.45)
        assert await fixture.send() == (503, "zone_evacuated", 100)
        assert fixture.arrivals == []

    regional.Regional(_servers(a1="ok", b1="ok"), keyed=True).run(check)


@pytest.mark.parametrize("is_held", [True, False])
def test_restricted_request_waits_for_no_owner_outside(is_held):
    """Guards against a key that moves out of the regions during a wait."""

    async def check(fixture):
        if is_held:
            fixture.own("b1", state=catalog.SegmentState.MOVING)
            request = asyncio.create_task(fixture.send())
            await asyncio.sleep(0.1)
            fixture.own("a1", fence=2)
            status, reason, _ = await request
        else:
            fixture.own("a1")
            status, reason, elapsed_ms = await fixture.send()
            assert elapsed_ms == 0
        assert (status, reason) == (503, "region_not_allowed")
        assert fixture.arrivals == []
        assert float(fixture.response["retry-after"]) > 0

    regional.Regional(
        _servers(a1="ok", b1="ok"), keyed=True, allowed=("b",)
    ).run(check)


_PEERS = {
    "old": ("b1", False),
    "outside": ("a2", True),
    "inside": ("b2", True),
    "unknown": ("x9", True),
}


@pytest.mark.parametrize(
    ("allowed", "evacuated", "peers", "expected"),
    [
        # Without a restriction, the nearest one, of any build.
        ((), (), ["old", "outside", "inside"], "outside"),
        ((), (), ["old"], "old"),
        (("b",), (), ["old", "outside", "inside", "unknown"], "inside"),
        (("b",), (), ["old", "outside", "unknown"], None),
        # An instance that does not know of the evacuation may send it there.
        ((), ("a2",), ["old", "inside"], "inside"),
        ((), ("a2",), ["old"], None),
        # The server out of reach is in an evacuated zone.
        ((), ("b1",), ["inside"], None),
    ],
)
def test_detour_by_way_of_instances_that_may_get_the_request(
    allowed, evacuated, peers, expected
):
    async def check(fixture):
        _add_peers(fixture, peers)
        fixture.evacuate(*evacuated)
        status, _, _ = await fixture.send()
        called = [(expected, allowed)] if expected else []
        assert fixture.client.calls == called
        assert fixture.client.opened == [peer for peer, _ in called]
        assert status == (200 if expected else 503)

    regional.Regional(_servers(b1="unreachable"), allowed=allowed).run(check)


@pytest.mark.parametrize("change", [_restrict, _evacuate])
def test_detour_heeds_a_change_while_a_connection_opens(change):
    async def check(fixture):
        _add_peers(fixture, ["old"])
        fixture.client.connect_ms = 100
        request = asyncio.create_task(fixture.send())
        await asyncio.sleep(0.05)
        change(fixture)
        status, _, _ = await request
        assert (status, fixture.client.calls) == (503, [])

    regional.Regional(_servers(b1="unreachable")).run(check)


def test_detour_ends_when_its_servers_become_ineligible():
    async def check(fixture):
        _add_peers(fixture, ["outside", "inside"])
        fixture.client.is_out_of_reach = True
        fixture.client.connect_ms = 100
        request = asyncio.create_task(fixture.send())
        await asyncio.sleep(0.05)
        fixture.evacuate("b1")
        status, _, _ = await request
        assert (status, fixture.client.opened) == (503, ["outside"])

    regional.Regional(_servers(b1="unreachable")).run(check)


def _add_peers(fixture, names):
    fixture.gateway.directory.record(
        forwarding.PeerInstance(
            instance=base.InstanceId(name),
            address=base.Address(f"{name}:1"),
            zone=base.ZoneName(_PEERS[name][0]),
            heeds_regions=_PEERS[name][1],
        )
        for name in names
    )


@pytest.mark.parametrize(
    ("sent", "own", "arrivals"),
    [
        # The origin's build does not know the field.
        ((), ("b",), ["b1"]),
        # The list of either instance may be newer.
        (("b",), (), ["b1"]),
        (("b",), ("a", "b"), ["b1"]),
        (("a",), ("b",), []),
    ],
)
def test_forwarded_request_heeds_both_lists(sent, own, arrivals):
    async def check(fixture):
        fixture.allow(sent)
        table = fixture.view.table
        call = forwarding.ForwardedRequest(
            origin=base.InstanceId("e2"),
            service=table.services[0],
            route=table.routes[0],
            deadline_ms=3_000,
        )
        fixture.allow(own)
        status, reason, _ = await fixture.send(call=call)
        assert fixture.arrivals == arrivals
        if not arrivals:
            assert (status, reason) == (503, "region_not_allowed")

    regional.Regional(_servers(a1="ok", b1="ok")).run(check)
