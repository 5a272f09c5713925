"""No request reaches a server outside its regions or in an evacuated zone."""

import asyncio

import pytest

from tarragonhinge import base
from tarragonhinge import catalog
from tarragonhinge import forwarding
from tarragonhinge.gateway import _state_report
from tarragonhinge.gateway.tests import regional


def _run(servers, check, **options):
    """Run a check with servers, whose zones and modes are given as text."""
    made = dict(text.split(":") for text in servers.split())
    regional.Regional(
        {n: regional.Server(n[:2], mode=m) for n, m in made.items()}, **options
    ).run(check)


@pytest.mark.parametrize(
    ("servers", "allowed", "evacuated", "arrivals", "result"),
    [
        ("a1:ok b1:ok", "", "", "a1", "200 "),
        # First send: the near server is not eligible.
        ("a1:ok b1:ok", "b", "", "b1", "200 "),
        ("a1:ok b1:ok", "", "a1", "b1", "200 "),
        ("a1:ok b1:ok", "ab", "a1", "b1", "200 "),
        # Retry after a refusal, and after a connection that broke off.
        ("a1:ok b1:shed", "b", "", "b1", "503 shed"),
        ("a1:ok b1:broken", "b", "", "b1", "502 broken"),
        ("a1:broken b1:ok", "", "b1", "a1", "502 broken"),
        # Failover: no other server may get it.
        ("a1:ok b1:silent", "b", "", "b1", "504 timeout"),
        ("a1:silent b1:ok", "", "b1", "a1", "504 timeout"),
        # No server of an allowed region can be reached.
        ("a1:ok b1:unreachable", "b", "", "", "503 unreachable"),
        # No server is eligible. The settings lack the region of zone x9.
        ("a1:ok x9:ok", "b", "", "", "503 region_not_allowed"),
        ("a1:ok", "", "a1 b1", "", "503 zone_evacuated"),
        ("a1:ok b1:ok", "b", "b1", "", "503 zone_evacuated"),
        ("", "b", "", "", "503 no_server"),
    ],
)
def test_attempts_reach_eligible_servers_only(
    servers, allowed, evacuated, arrivals, result
):
    async def check(fixture):
        fixture.evacuate(*evacuated.split())
        status, reason, elapsed_ms = await fixture.send()
        assert f"{status} {reason}" == result
        assert set(fixture.arrivals) == set(arrivals.split())
        assert arrivals or elapsed_ms == 0
        # No failover is paid for without a server that may get it.
        assert fixture.count_attempts("silent") == 0

    _run(servers, check, allowed=tuple(allowed))


def _evacuate(fixture):
    fixture.evacuate("a1")


def _restrict(fixture):
    fixture.allow(("b",))


@pytest.mark.parametrize(
    ("change", "reason"),
    [(_evacuate, "zone_evacuated"), (_restrict, "region_not_allowed")],
)
@pytest.mark.parametrize("others", ["b1:ok", ""])
@pytest.mark.parametrize("case", ["connecting", "permit", "line", "retry"])
def test_request_under_way_heeds_a_change(change, reason, others, case):
    """Guards against requests sent by the decision of an earlier moment.

    The change comes while a connection opens, while the request waits for a
    slot at a server that names a limit, while more urgent requests go first,
    and before a retry.
    """

    async def check(fixture):
        near = fixture.servers["a1"]
        background = []
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
        else:
            near.mode, near.work_ms = "broken", 100
        sent_before = len(fixture.arrivals) + (case == "retry")
        request = asyncio.create_task(fixture.send())
        await asyncio.sleep(0.05)
        change(fixture)
        status, got_reason, elapsed_ms = await request
        late = fixture.arrivals[sent_before:]
        assert "a1" not in late
        if others:
            assert (status, late[:1]) == (200, ["b1"])
        elif case == "retry":
            assert status == 502
        else:
            assert (status, got_reason) == (503, reason)
            # At once, or when the connection is open.
            assert 49 <= elapsed_ms <= (100 if case == "connecting" else 80)

    _run(f"a1:ok {others}", check)


@pytest.mark.parametrize(
    ("after_ms", "connect_ms", "owner", "result"),
    [
        (0, 0, "a1", "200 "),
        (2_400, 0, "a1", "200 "),
        (2_500, 0, "a1", "503 zone_evacuated"),
        (9_000, 0, "a1", "503 zone_evacuated"),
        # The time ends while the connection opens.
        (2_450, 100, "a1", "503 zone_evacuated"),
        # The key has moved, to a server of the same zone or of another.
        (2_500, 0, "a1-new", "503 zone_evacuated"),
        (2_500, 0, "b1", "200 "),
    ],
)
@pytest.mark.parametrize("case", ["first", "second", "late_source"])
def test_owner_in_evacuated_zone_gets_requests_for_a_while(
    after_ms, connect_ms, owner, result, case
):
    """The time counts from the first news, also if a late source lacks it.

    It begins anew for a second evacuation some time after the first one.
    """

    async def check(fixture):
        if case == "second":
            fixture.evacuate("a1")
            await fixture.clock.sleep(9_000)
            fixture.evacuate()
            await fixture.clock.sleep(5_000)
        fixture.evacuate("a1")
        await fixture.clock.sleep(after_ms)
        if case == "late_source":
            fixture.evacuate("b2")
            fixture.evacuate("b2", "a1")
        fixture.own(owner)
        fixture.servers[owner].connect_ms = connect_ms
        status, reason, elapsed_ms = await fixture.send()
        assert f"{status} {reason}" == result
        assert fixture.arrivals == ([owner] if status == 200 else [])
        assert status == 200 or elapsed_ms in (connect_ms, connect_ms - 1)

    _run("a1:ok a1-new:ok b1:ok", check, keyed=True)


@pytest.mark.parametrize("first_owner", ["a1", "b1"])
def test_restricted_request_is_refused_by_an_owner_outside(first_owner):
    """Also if its key moves out of the regions while the request waits."""

    async def check(fixture):
        fixture.own(first_owner, state=catalog.SegmentState.MOVING)
        request = asyncio.create_task(fixture.send())
        await fixture.clock.sleep(100)
        fixture.own("a1", fence=2)
        assert (await request)[:2] == (503, "region_not_allowed")
        assert await fixture.send() == (503, "region_not_allowed", 0)
        assert fixture.arrivals == []

    _run("a1:ok b1:ok", check, keyed=True, allowed=("b",))


def _add_peers(fixture, names):
    """Add instances, each of which is named after its zone."""
    fixture.gateway.directory.record(
        forwarding.PeerInstance(
            instance=base.InstanceId(name),
            address=base.Address(f"{name}:1"),
            zone=base.ZoneName(name[:2]),
            heeds_regions=not name.endswith("old"),
        )
        for name in names.split()
    )


@pytest.mark.parametrize(
    ("allowed", "evacuated", "peers", "expected"),
    [
        # Without a restriction, the nearest one, of any build.
        ("", "", "b1-old a2 b2", "a2"),
        ("", "", "b1-old", "b1-old"),
        ("b", "", "b1-old a2 b2 x9", "b2"),
        ("b", "", "b1-old a2 x9", None),
        # An instance that does not know of the evacuation may send it there.
        ("", "a2", "b1-old b2", "b2"),
        ("", "a2", "b1-old", None),
    ],
)
def test_detour_by_way_of_instances_that_may_get_the_request(
    allowed, evacuated, peers, expected
):
    async def check(fixture):
        _add_peers(fixture, peers)
        fixture.evacuate(*evacuated.split())
        status, _, _ = await fixture.send()
        called = [(expected, tuple(allowed))] if expected else []
        assert fixture.client.calls == called
        assert fixture.client.opened == [peer for peer, _ in called]
        assert status == (200 if expected else 503)

    _run("b1:unreachable", check, allowed=tuple(allowed))


@pytest.mark.parametrize(
    ("change", "is_out_of_reach"),
    [
        (_restrict, False),
        (_evacuate, False),
        # The servers become ineligible before a second instance is asked.
        (lambda fixture: fixture.evacuate("b1"), True),
    ],
)
def test_detour_heeds_a_change_while_a_connection_opens(
    change, is_out_of_reach
):
    async def check(fixture):
        _add_peers(fixture, "a2 b2" if is_out_of_reach else "b1-old")
        fixture.client.connect_ms = 100
        fixture.client.is_out_of_reach = is_out_of_reach
        request = asyncio.create_task(fixture.send())
        await fixture.clock.sleep(50)
        change(fixture)
        status, _, _ = await request
        assert (status, fixture.client.calls) == (503, [])
        assert len(fixture.client.opened) == 1

    _run("b1:unreachable", check)


@pytest.mark.parametrize(
    ("failure", "reason", "opened", "status"),
    [
        ("lacks_connections", "connections", 1, 200),
        ("is_out_of_reach", "unreachable", 2, 503),
    ],
)
def test_lack_of_connections_is_no_fault_of_another_instance(
    failure, reason, opened, status
):
    """Guards against an instance that is avoided for a lack at this one."""

    async def check(fixture):
        _add_peers(fixture, "a2 b2")
        setattr(fixture.client, failure, True)
        assert (await fixture.send())[:2] == (503, reason)
        assert len(fixture.client.opened) == opened
        setattr(fixture.client, failure, False)
        assert (await fixture.send())[0] == status

    _run("b1:unreachable", check)


@pytest.mark.parametrize(
    ("sent", "own", "arrivals"),
    [
        # The origin's build does not know the field.
        ("", "b", ["b1"]),
        # The list of either instance may be newer.
        ("b", "", ["b1"]),
        ("b", "ab", ["b1"]),
        ("a", "b", []),
    ],
)
def test_forwarded_request_heeds_both_lists(sent, own, arrivals):
    async def check(fixture):
        fixture.allow(tuple(sent))
        table = fixture.view.table
        call = forwarding.ForwardedRequest(
            origin=base.InstanceId("e2"),
            service=table.services[0],
            route=table.routes[0],
            deadline_ms=3_000,
        )
        fixture.allow(tuple(own))
        result = await fixture.send(call=call)
        assert fixture.arrivals == arrivals
        assert arrivals or result == (503, "region_not_allowed", 0)

    _run("a1:ok b1:ok", check)


def test_state_shows_what_is_left_in_an_evacuated_zone():
    async def check(fixture):
        report = _state_report.StateReport(
            view=fixture.view,
            links=fixture.gateway.links,
            eligibility=fixture.gateway.eligibility,
            zones=regional.ZONES,
            clock=fixture.clock,
        )
        fixture.own("a1")
        request = asyncio.create_task(fixture.send())
        await fixture.clock.sleep(10)
        fixture.evacuate("a1")
        assert (report.count_in_flight(), report.count_segments()) == (1, 1)
        state = report.describe()
        assert state["evacuated_zones"]["a1"]["in_flight"] == 1
        assert state["restricted_routes"][0]["services"] == {
            "desk": {"servers": 1, "excluded": {"zone_evacuated": 1}}
        }
        await request
        fixture.own("b1")
        assert (report.count_in_flight(), report.count_segments()) == (0, 0)

    _run("a1:ok b1:ok", check, keyed=True, allowed=("a", "b"))
