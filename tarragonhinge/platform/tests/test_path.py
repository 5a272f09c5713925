"""Forwarding of a request from a caller to a backend server and back."""

import asyncio
import contextlib
import unittest.mock

import msgspec
import pytest

from tarragonhinge import base
from tarragonhinge import catalog
from tarragonhinge import gateway
from tarragonhinge import http1
from tarragonhinge import platform
from tarragonhinge.platform import standins
from tarragonhinge import testing

SAFE = "/safe/a"
UNSAFE = "/unsafe/a"
KEYED = "/keyed/a"

_EXECUTION_UNKNOWN_STATUSES = (502, 504)


def _make_route(name, kind, service):
    return catalog.Route(
        name=name,
        host="h.example",
        prefix=f"/{name}/",
        kind=kind,
        timeout_ms=1_500,
        objective_ms=600,
        priority=1,
        max_attempts=3,
        targets=(catalog.Target(service=base.ServiceName(service)),),
    )


def _make_table(version=1, keyed="keys"):
    kind = catalog.RequestKind
    return catalog.RoutingTable(
        version=base.TableVersion(version),
        routes=(
            _make_route("safe", kind.IDEMPOTENT, "plain"),
            _make_route("unsafe", kind.NON_IDEMPOTENT, "plain"),
            _make_route("keyed", kind.IDEMPOTENT, "keys"),
        ),
        services=(
            catalog.Service(
                name=base.ServiceName("plain"), max_connections=20
            ),
            catalog.Service(
                name=base.ServiceName(keyed), max_connections=20, keyed=True
            ),
        ),
    )


class _Testbed:
    """One gateway in front of stand-in servers."""

    def __init__(self, names=("i-1", "i-2"), *, is_keyed=False):
        self.servers = [
            standins.StandInServer(name, is_keyed=is_keyed) for name in names
        ]
        self.service = base.ServiceName("keys" if is_keyed else "plain")
        self.view = catalog.View()
        self._count = 0

    async def __aenter__(self):
        clock = base.Clock()
        self.log = testing.make_event_log(clock)
        options = gateway.InstanceOptions(
            instance=base.InstanceId("e1"),
            zone=base.ZoneName("z"),
            region=base.RegionName("r"),
            zones={base.ZoneName("z"): base.RegionName("r")},
            callers=base.Address("127.0.0.1:1"),
            health=base.Address("127.0.0.1:1"),
            peers=base.Address("127.0.0.1:1"),
            forwarding=base.Address("127.0.0.1:1"),
            store=base.Address("127.0.0.1:1"),
            retry_slack=100,
        )
        self.gateway = gateway.Gateway(
            options=options,
            view=self.view,
            dialect=platform.PlatformDialect(),
            log=self.log,
            clock=clock,
        )
        self.gateway.fleet_size.record(1)
        for server in self.servers:
            await server.start()
        self.view.set_table(_make_table())
        self.publish_servers(self.servers)
        return self

    def publish_servers(self, servers):
        self.view.set_servers(
            catalog.index_servers(
                catalog.ServerEntry(
                    server=base.ServerId(server.name),
                    service=self.service,
                    address=base.Address(server.address),
                    zone=base.ZoneName("z"),
                    slots=2,
                    born_ms=1,
                )
                for server in servers
            )
        )

    def set_owner(self, name, fence, state=catalog.SegmentState.HELD):
        segment = catalog.Segment(
            first=0,
            last=65_535,
            server=base.ServerId(name),
            born_ms=1,
            fence=fence,
            state=state,
        )
        self.view.set_owners(
            self.service, catalog.OwnerMap(segments=[segment])
        )

    async def __aexit__(self, *_):
        for server in self.servers:
            await server.stop()
        self.view.set_servers({})

    async def send(self, target, *, body=b"", **extra):
        self._count += 1
        fields = {
            "host": "h.example",
            "tarragonhinge-request-attempt-id": f"a{self._count}",
            "tarragonhinge-deadline-ms": "5000",
            "connection": "x-hop",
            "x-hop": "1",
            "x-own": "2",
            **{name.replace("_", "-"): v for name, v in extra.items()},
        }
        method = "POST" if target == UNSAFE else "GET"
        return await self.gateway.handle(
            http1.HttpRequest(
                method=method,
                target=target,
                fields=list(fields.items()),
                body=body,
            )
        )

    def count_executions(self, attempt=None):
        executions = [a for server in self.servers for a in server.executed]
        return (
            len(executions) if attempt is None else executions.count(attempt)
        )


def _run(check, **options):
    async def run():
        async with _Testbed(**options) as testbed:
            await check(testbed)

    asyncio.run(run())


def test_request_and_response_are_forwarded_unchanged():
    async def check(testbed):
        response = await testbed.send(SAFE + "?q=1%20", body=b"")
        assert response.status == 200
        fields = dict(response.fields)
        assert fields["tarragonhinge-upstream-seal"] == "3e.1"
        received = [r for server in testbed.servers for r in server.received]
        line, sent, _ = received[0]
        assert line == f"GET {SAFE}?q=1%20 HTTP/1.1"
        assert sent["x-own"] == "2"
        assert "x-hop" not in sent
        assert sent["host"] == "h.example"
        assert int(sent["tarragonhinge-deadline-ms"]) <= 1_500

    _run(check)


@pytest.mark.parametrize(
    ("target", "modes", "status", "executions"),
    [
        (SAFE, ["ok"], 200, 1),
        (SAFE, ["shed"], 200, 1),
        (SAFE, ["cut"], 200, 2),
        (SAFE, ["reset"], 200, 2),
        (SAFE, ["foreign"], 200, 2),
        (SAFE, ["unsealed"], 200, 2),
        (SAFE, ["stray"], 200, 1),
        (SAFE, ["error"], 200, 2),
        (SAFE, ["busy_error"], 200, 2),
        # A status that HTTP does not define was passed on to the caller.
        (SAFE, ["undefined"], 200, 2),
        (SAFE, ["zero"], 200, 2),
        (UNSAFE, ["undefined"], 502, 1),
        (UNSAFE, ["zero"], 502, 1),
        (UNSAFE, ["ok"], 200, 1),
        (UNSAFE, ["shed"], 200, 1),
        (UNSAFE, ["cut"], 502, 1),
        (UNSAFE, ["reset"], 502, 1),
        (UNSAFE, ["foreign"], 502, 1),
        (UNSAFE, ["unsealed"], 502, 1),
        (UNSAFE, ["stray"], 200, 1),
        (UNSAFE, ["error"], 500, 1),
        (UNSAFE, ["busy_error"], 502, 1),
        (UNSAFE, ["silent"], 504, 1),
        (UNSAFE, ["hang"], 504, 0),
    ],
)
def test_server_faults(target, modes, status, executions):
    """A non-idempotent request is executed at most once.

    The status for the caller must not deny an execution that happened.
    """

    async def check(testbed):
        first = testbed.servers[0]
        first.next_modes = list(modes)
        response = await testbed.send(target)
        assert response.status == status
        assert testbed.count_executions() == executions
        if target == UNSAFE:
            assert testbed.count_executions("a1") <= 1

    _run(check)


@pytest.mark.parametrize(
    ("cause", "outcome"),
    [
        (http1.DISCONNECTED, "caller_left"),
        (http1.CONNECTION_CLOSED, "cut_off"),
    ],
)
def test_request_without_response_is_recorded_with_cause(cause, outcome):
    async def check(testbed):
        testbed.servers[0].work_allowed.clear()
        task = asyncio.create_task(testbed.send(SAFE))
        await testbed.servers[0].request_arrived.wait()
        task.cancel(cause)
        await asyncio.wait([task])
        count = testbed.gateway.metrics.registry.get_sample_value(
            "tarragonhinge_gateway_requests_total",
            {"outcome": outcome, "reason": cause},
        )
        assert count == 1

    _run(check)


def test_requests_of_one_event_loop_turn_are_spread_over_servers():
    """The attempts of all of them start after the last one is placed."""

    async def check(testbed):
        # One request more than a server has slots.
        await asyncio.gather(*(testbed.send(SAFE) for _ in range(3)))
        assert [len(s.executed) for s in testbed.servers] == [2, 1]

    _run(check)


def test_request_cancelled_before_its_attempt_starts_is_not_counted():
    async def check(testbed):
        task = asyncio.create_task(testbed.send(SAFE))
        # The request is placed in this turn, and its attempt has not started.
        await asyncio.sleep(0)
        task.cancel()
        await asyncio.wait([task])
        await asyncio.sleep(0)
        loads = [
            testbed.gateway.links.find(s.name).load for s in testbed.servers
        ]
        assert [load.in_flight for load in loads] == [0, 0]
        assert [s.received for s in testbed.servers] == [[], []]

    _run(check)


def test_slow_attempt_continues_without_alternative_server():
    async def check(testbed):
        first, second = testbed.servers
        first.work_allowed.clear()
        await second.stop()
        load = testbed.gateway.links.find(second.name).load
        for _ in range(5):
            load.record_unreachable()
        task = asyncio.create_task(testbed.send(SAFE))
        await first.request_arrived.wait()
        # Longer than the timeout after which another server is tried.
        await asyncio.sleep(1.2)
        first.work_allowed.set()
        assert (await task).status == 200
        assert testbed.count_executions() == 1

    _run(check)


def test_overload_is_refused_with_retry_after():
    async def check(testbed):
        for server in testbed.servers:
            server.mode = "shed"
        response = await testbed.send(UNSAFE)
        assert response.status == 503
        assert float(dict(response.fields)["retry-after"]) > 0
        assert testbed.count_executions() == 0

    _run(check)


def test_stopped_server_is_skipped():
    async def check(testbed):
        await testbed.servers[0].stop()
        for _ in range(4):
            assert (await testbed.send(UNSAFE)).status == 200
        assert len(testbed.servers[1].executed) == 4

    _run(check)


def test_server_that_drains_during_connect_gets_no_request():
    """Guards against a request to a server whose drain has ended.

    A connection took a second to open, so that the request reached the server
    after its drain.
    """

    async def check(testbed):
        connect = http1.ConnectionPool.acquire
        first = base.ServerId("i-1")

        async def acquire(pool, *, fresh, **options):
            connection = await connect(pool, fresh=fresh, **options)
            entry = testbed.view.servers[first]
            state = catalog.ServerState.DRAINING
            draining = msgspec.structs.replace(entry, state=state)
            testbed.view.set_servers({**testbed.view.servers, first: draining})
            return connection

        with unittest.mock.patch.object(
            http1.ConnectionPool, "acquire", acquire
        ):
            assert (await testbed.send(UNSAFE)).status == 200
        assert testbed.servers[0].executed == []
        assert len(testbed.servers[1].executed) == 1

    _run(check)


def test_other_server_at_same_address_does_not_execute_request():
    """The server gets only one request, since each refusal uses up a retry."""

    async def check(testbed):
        testbed.servers[0].name = "i-9"
        for _ in range(4):
            assert (await testbed.send(UNSAFE)).status == 200
        assert testbed.servers[0].executed == []
        assert len(testbed.servers[0].received) == 1

    _run(check)


def test_server_stops_when_caller_disconnects():
    async def check(testbed):
        for server in testbed.servers:
            server.work_allowed.clear()
        task = asyncio.create_task(testbed.send(SAFE))
        await asyncio.wait(
            [
                asyncio.create_task(stand_in.request_arrived.wait())
                for stand_in in testbed.servers
            ],
            return_when=asyncio.FIRST_COMPLETED,
        )
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task
        for _ in range(1_000):
            if any(server.abandoned for server in testbed.servers):
                return
            await asyncio.sleep(0.001)
        raise AssertionError("the server did not stop the execution")

    _run(check)


@pytest.mark.parametrize(
    ("target", "host", "status"),
    [("/none/", "h.example", 404), (SAFE, "other.example", 404)],
)
def test_unknown_route_is_404(target, host, status):
    async def check(testbed):
        assert (await testbed.send(target, host=host)).status == status

    _run(check)


def test_request_without_routing_table_is_refused():
    async def check(testbed):
        testbed.view.table = None
        assert (await testbed.send(SAFE)).status == 503

    _run(check)


def test_request_waits_for_first_routing_table():
    """Guards against refusals while all instances restart at the same time."""

    async def check(testbed):
        table, testbed.view.table = testbed.view.table, None
        pending = asyncio.create_task(testbed.send(SAFE))
        await asyncio.sleep(0.05)
        testbed.view.set_servers(dict(testbed.view.servers))
        await asyncio.sleep(0)
        assert not pending.done()
        testbed.view.set_table(table)
        assert (await pending).status == 200

    _run(check)


def test_keyed_requests_go_only_to_owner():
    async def check(testbed):
        testbed.servers[1].own(0, 65_535)
        testbed.set_owner("i-2", 1)
        for key in ("0", "4096", "65535"):
            response = await testbed.send(KEYED, tarragonhinge_shard_key=key)
            assert response.status == 200
        assert len(testbed.servers[1].executed) == 3
        assert testbed.servers[0].received == []

    _run(check, is_keyed=True)


def test_request_waits_while_its_key_moves():
    async def check(testbed):
        first, second = testbed.servers
        testbed.set_owner("i-1", 1, catalog.SegmentState.MOVING)
        task = asyncio.create_task(
            testbed.send(KEYED, tarragonhinge_shard_key="7")
        )
        await asyncio.sleep(0.02)
        assert not task.done()
        second.own(0, 65_535, 2)
        testbed.set_owner("i-2", 2)
        assert (await task).status == 200
        assert (first.received, len(second.executed)) == ([], 1)

    _run(check, is_keyed=True)


def test_owner_that_refused_key_is_retried_only_after_change():
    async def check(testbed):
        first, second = testbed.servers
        testbed.set_owner("i-1", 1)
        task = asyncio.create_task(
            testbed.send(KEYED, tarragonhinge_shard_key="7")
        )
        await first.request_arrived.wait()
        second.own(0, 65_535, 2)
        testbed.set_owner("i-2", 2)
        assert (await task).status == 200
        assert (len(first.received), len(second.executed)) == (1, 1)

    _run(check, is_keyed=True)


def test_key_without_owner_is_refused_in_time():
    async def check(testbed):
        response = await testbed.send(KEYED, tarragonhinge_shard_key="7")
        assert response.status == 503
        assert float(dict(response.fields)["retry-after"]) > 0

    _run(check, is_keyed=True)


def test_internal_error_does_not_deny_execution():
    async def check(testbed):
        testbed.gateway.owners = None
        assert (await testbed.send(SAFE)).status in _EXECUTION_UNKNOWN_STATUSES

    _run(check)


@pytest.mark.parametrize(
    ("named", "expected"),
    [
        (["2"], 2.0),
        (["2", "1.5"], 1.5),
        (["2", None], None),
        # What is no limit changes nothing.
        (["2", "-1"], 2.0),
        (["2", "many"], 2.0),
        (["2", "9" * 5_000], 2.0),
    ],
)
def test_limit_holds_until_a_response_names_another_or_none(named, expected):
    async def check(testbed):
        (server,) = testbed.servers
        incarnation = (base.ServerId(server.name), 1)
        for limit in named:
            server.limit = limit
            # A request that has to wait for its turn is sent all the same.
            assert (await testbed.send(SAFE)).status == 200
        limits = testbed.gateway.server_limits
        assert limits.find(incarnation) == expected

    _run(check, names=("i-1",))


@pytest.mark.parametrize("is_keyed", [False, True])
def test_request_beyond_limit_is_refused_with_retry_after(is_keyed):
    async def check(testbed):
        (server,) = testbed.servers
        server.own(0, 65_535)
        testbed.set_owner(server.name, 1)
        server.limit = "0.5"
        target = KEYED if is_keyed else SAFE
        await testbed.send(target, tarragonhinge_shard_key="7")
        response = await testbed.send(target, tarragonhinge_shard_key="7")
        assert response.status == 503
        assert float(dict(response.fields)["retry-after"]) > 1
        assert len(server.executed) == 1

    _run(check, names=("i-1",), is_keyed=is_keyed)


def test_request_beyond_limit_goes_to_another_server():
    async def check(testbed):
        limited, other = testbed.servers
        limited.limit = "0.5"
        for _ in range(20):
            assert (await testbed.send(SAFE)).status == 200
        assert len(limited.executed) <= 2
        assert len(other.executed) >= 18

    _run(check)
