"""What holds for a request also holds by way of another instance."""

import asyncio
import collections
import contextlib
import re

import pytest

from tarragonhinge import catalog
from tarragonhinge import http1
from tarragonhinge.http1 import _tcp_stream
from tarragonhinge.platform import standins
from tarragonhinge.platform.tests import deployment

#: Address of the instance that is cut off from all servers.
ORIGIN = 1

#: Time for which an instance finds out that it is cut off, in seconds.
DETECTION_S = 1.0


@contextlib.asynccontextmanager
async def _cut_fleet(*, instances=2, servers=2, is_keyed=False):
    """Start a fleet whose first instance is cut off from all servers."""
    async with deployment.Deployment(
        instances=instances, servers=servers, is_keyed=is_keyed
    ) as fleet:
        network = fleet.networks[_get_ip(ORIGIN)]
        fleet.cut([network], standins.CutForm.RESET)
        for number in range(4):
            await _send(f"/x/first{number}", attempt=f"f{number}")
        await asyncio.sleep(DETECTION_S)
        for server in fleet.servers:
            server.received.clear()
            server.executed.clear()
        yield fleet


def _get_ip(number):
    return f"{deployment.SUBNET}.{number}"


async def _open(target, *, attempt, body=b"", deadline_ms=2500, key=0):
    reader, writer = await asyncio.open_connection(_get_ip(ORIGIN), 8100)
    writer.write(
        f"{'POST' if body else 'GET'} {target} HTTP/1.1\r\n"
        f"Host: h.example\r\nX-Kept: a\r\nX-Kept: b\r\n"
        f"Tarragonhinge-Request-Attempt-Id: {attempt}\r\n"
        f"Tarragonhinge-Shard-Key: {key}\r\n"
        f"Tarragonhinge-Deadline-Ms: {deadline_ms}\r\n"
        f"Content-Length: {len(body)}\r\n"
        "Connection: close\r\n\r\n".encode()
        + body
    )
    return reader, writer


async def _send(target, **options):
    """Return status, header and body of the response to a request."""
    reader, writer = await _open(target, **options)
    with contextlib.closing(writer):
        response = await reader.read()
    header, _, body = response.partition(b"\r\n\r\n")
    return int(header.split(b" ")[1]), header.decode().lower(), body


def _list_executed(fleet, attempt):
    return [s.name for s in fleet.servers for a in s.executed if a == attempt]


def _list_received(fleet, attempt):
    return [
        received
        for server in fleet.servers
        for received in server.received
        if received[1].get("tarragonhinge-request-attempt-id") == attempt
    ]


def _run(check, **size):
    async def run():
        async with _cut_fleet(**size) as fleet:
            await check(fleet)

    asyncio.run(run())


def test_request_and_response_are_unchanged():
    body = bytes(range(256)) * 3_000

    async def check(fleet):
        status, header, answer = await _send(
            "/x/a?b=c", attempt="a", body=body
        )
        assert status == 200
        assert "tarragonhinge-request-attempt-id: a\r\n" in header + "\r\n"
        assert "forwarding" not in header
        [(line, fields, received)] = _list_received(fleet, "a")
        assert line == "POST /x/a?b=c HTTP/1.1"
        assert received == body
        assert fields["host"] == "h.example"
        assert 0 < int(fields["tarragonhinge-deadline-ms"]) <= 2500
        assert not any(name.startswith("forwarding") for name in fields)
        [server] = _list_executed(fleet, "a")
        assert answer == f"a of {server}".encode()

    _run(check)


@pytest.mark.parametrize(
    ("mode", "prefix", "sends", "status"),
    [
        ("error", "/x/", 2, 500),
        ("error", "/u/", 1, 500),
        ("cut", "/x/", 2, 502),
        ("cut", "/u/", 1, 502),
        ("unsealed", "/x/", 2, 502),
        # A status that HTTP does not define was passed on to the caller.
        ("undefined", "/x/", 2, 502),
        ("undefined", "/u/", 1, 502),
        ("zero", "/u/", 1, 502),
        ("reset", "/u/", 1, 502),
    ],
)
def test_attempts_are_counted_once(mode, prefix, sends, status):
    async def check(fleet):
        for server in fleet.servers:
            server.mode = mode
        answer = await _send(f"{prefix}a", attempt="a")
        assert answer[0] == status
        assert len(_list_executed(fleet, "a")) == sends

    _run(check, servers=4)


def test_refusal_by_servers_is_passed_on():
    async def check(fleet):
        for server in fleet.servers:
            server.mode = "shed"
        status, header, _ = await _send("/u/a", attempt="a")
        assert status == 503
        assert "retry-after: " in header
        assert _list_executed(fleet, "a") == []

    _run(check)


@pytest.mark.parametrize(
    "form", [standins.CutForm.SILENT, standins.CutForm.RESET]
)
@pytest.mark.parametrize(("prefix", "max_attempts"), [("/x/", 2), ("/u/", 1)])
def test_broken_link_between_instances_is_no_refusal(
    form, prefix, max_attempts
):
    """The other instance may have sent the request."""

    async def check(fleet):
        for server in fleet.servers:
            server.work_allowed.clear()
        sent = asyncio.create_task(_send(f"{prefix}a", attempt="a"))
        await fleet.wait(lambda: _list_executed(fleet, "a"))
        network = fleet.networks[_get_ip(ORIGIN)]
        network.cut([f"{_get_ip(2)}:8103", f"{_get_ip(3)}:8103"], form)
        status, _, _ = await sent
        assert status in (502, 504)
        assert len(_list_executed(fleet, "a")) <= max_attempts

    _run(check, instances=3, servers=4)


@pytest.mark.parametrize(
    ("prefix", "status", "runs"), [("/x/", 200, 2), ("/u/", 502, 1)]
)
def test_idempotent_request_goes_by_way_of_a_third_instance(
    prefix, status, runs
):
    """The second one loses its servers while they are at work."""

    async def check(fleet):
        for server in fleet.servers:
            server.work_allowed.clear()
        sent = asyncio.create_task(_send(f"{prefix}a", attempt="a"))
        await fleet.wait(lambda: _list_executed(fleet, "a"))
        [helper] = [i for i in fleet.instances[1:] if i.gateway.in_flight]
        fleet.cut([fleet.find_network(helper)], standins.CutForm.RESET)
        for server in fleet.servers:
            server.work_allowed.set()
        assert (await sent)[0] == status
        assert len(_list_executed(fleet, "a")) == runs

    _run(check, instances=3)


def test_helping_instance_is_not_blamed_for_a_slow_server():
    """The only other instance was avoided for a second after a timeout."""

    async def check(fleet):
        for server in fleet.servers:
            server.mode = "silent"
        for number in range(2):
            status, _, _ = await _send(
                f"/u/slow{number}", attempt=f"s{number}", deadline_ms=1000
            )
            assert status == 504
        for server in fleet.servers:
            server.mode = "ok"
        status, _, _ = await _send("/u/a", attempt="a")
        assert status == 200

    _run(check)


def test_helping_instance_is_not_avoided_for_one_owner():
    """The key's owner is out of reach of both, the other owners are not."""

    async def check(fleet):
        fleet.cut(
            fleet.networks.values(),
            standins.CutForm.RESET,
            fleet.servers[:1],
        )
        fleet.cut([fleet.networks[_get_ip(ORIGIN)]], standins.CutForm.RESET)
        for number in range(8):
            await _send(
                f"/u/b{number}", attempt=f"b{number}", key=number * 8_000
            )
        statuses = collections.Counter(
            [
                (
                    await _send(
                        f"/u/a{number}",
                        attempt=f"a{number}",
                        key=number * 4_000,
                    )
                )[0]
                for number in range(16)
            ]
        )
        assert statuses[200] >= 8

    _run(check, servers=4, is_keyed=True)


def test_request_takes_a_detour_beside_a_server_that_names_a_limit():
    """The limited server is the only one in reach, and has no room."""

    async def run():
        async with deployment.Deployment(instances=2, servers=2) as fleet:
            limited, other = fleet.servers
            limited.limit = "0.25"
            # The coordinator lists the instances with its next heartbeat.
            await fleet.wait(
                lambda: all(
                    i.gateway.directory.list_all() for i in fleet.instances
                )
            )
            origin = fleet.networks[_get_ip(ORIGIN)]
            fleet.cut([origin], standins.CutForm.RESET, [other])
            statuses = [
                (await _send(f"/u/a{number}", attempt=f"a{number}"))[0]
                for number in range(30)
            ]
            assert statuses.count(200) >= 28

    asyncio.run(run())


def test_caller_that_leaves_cancels_the_run():
    async def check(fleet):
        for server in fleet.servers:
            server.work_allowed.clear()
        _, writer = await _open("/x/a", attempt="a")
        await fleet.wait(lambda: _list_executed(fleet, "a"))
        writer.transport.abort()
        await fleet.wait(
            lambda: any("a" in s.abandoned for s in fleet.servers)
        )

    _run(check)


@pytest.mark.parametrize("is_keyed", [False, True])
def test_request_is_refused_if_no_instance_reaches_a_server(is_keyed):
    async def check(fleet):
        fleet.cut(fleet.networks.values(), standins.CutForm.RESET)
        for number in range(6):
            await fleet.send(f"/x/b{number}")
        await asyncio.sleep(DETECTION_S)
        status, header, body = await _send("/x/a", attempt="a")
        assert status == 503
        # Callers that come back at once would only be refused again.
        [seconds] = re.findall(r"retry-after: ([0-9.]+)", header)
        assert float(seconds) >= 0.4
        assert b"unreachable" in body or b"no_owner" in body
        assert _list_received(fleet, "a") == []

    _run(check, instances=3, is_keyed=is_keyed)


def test_request_goes_by_way_of_an_instance_that_does_not_stop():
    async def check(fleet):
        stopped = asyncio.create_task(fleet.instances[1].stop())
        await asyncio.sleep(0)
        statuses = [
            (await _send(f"/u/a{number}", attempt=f"a{number}"))[0]
            for number in range(20)
        ]
        assert set(statuses) == {200}
        await stopped

    _run(check, instances=3)


def test_stopping_instance_finishes_forwarded_request():
    async def check(fleet):
        for server in fleet.servers:
            server.work_allowed.clear()
        sent = asyncio.create_task(_send("/u/a", attempt="a"))
        await fleet.wait(lambda: _list_executed(fleet, "a"))
        stopped = asyncio.create_task(fleet.instances[1].stop())
        await asyncio.sleep(0.2)
        for server in fleet.servers:
            server.work_allowed.set()
        assert (await sent)[0] == 200
        await stopped

    _run(check)


# Guards against refusals of requests that another instance has sent: callers
# were told that their orders had not run, while a server ran them.
@pytest.mark.parametrize("prefix", ["/x/", "/u/"])
def test_end_of_a_stop_is_no_refusal_of_a_forwarded_request(prefix):
    async def check(fleet):
        for server in fleet.servers:
            server.work_allowed.clear()
        sent = asyncio.create_task(_send(f"{prefix}a", attempt="a"))
        await fleet.wait(lambda: _list_executed(fleet, "a"))
        fleet.instances[0].gateway.abort_requests()
        status, header, body = await sent
        assert status == 504
        assert "retry-after" not in header
        assert b'"ran":"unknown"' in body

    _run(check)


def test_end_of_a_stop_refuses_request_that_was_not_forwarded_yet():
    async def check(fleet):
        gateway = fleet.instances[0].gateway
        client = gateway._forwarding_client
        in_flight = gateway._retrier._detour._in_flight

        class SlowPool:
            async def acquire(self, *, fresh, uses_reserve):
                await asyncio.sleep(2)
                raise http1.ExchangeError(problem="", remedy="", sent=False)

        assert (await _send("/u/first", attempt="first"))[0] == 200
        client._get_pool = lambda address: SlowPool()
        sent = asyncio.create_task(_send("/u/a", attempt="a"))
        await fleet.wait(in_flight.total)
        gateway.abort_requests()
        status, header, _ = await sent
        assert status == 503
        assert "retry-after: " in header
        assert _list_executed(fleet, "a") == []

    _run(check)


def _abort_with_response(fleet, monkeypatch, *, status, turns):
    """End the stop of the origin as a response of the helper arrives.

    Returns a list that gets an item once it has ended, `turns` turns of the
    event loop after the complete response with that status.
    """
    data_received = _tcp_stream.TcpStream.data_received
    aborted = []

    def abort_after(left):
        if left:
            asyncio.get_running_loop().call_soon(abort_after, left - 1)
        else:
            aborted.append(turns)
            fleet.instances[0].gateway.abort_requests()

    def receive(stream, data):
        data_received(stream, data)
        head, _, body = data.partition(b"\r\n\r\n")
        if (
            b"forwarding-outcome" in head
            and head.startswith(f"HTTP/1.1 {status} ".encode())
            and body
        ):
            abort_after(turns)

    monkeypatch.setattr(_tcp_stream.TcpStream, "data_received", receive)
    return aborted


@pytest.mark.parametrize("prefix", ["/x/", "/u/"])
def test_end_of_a_stop_keeps_response_that_another_instance_has_sent(
    prefix, monkeypatch
):
    """The stop ends in the turn in which it arrives, or in a later one."""

    async def check(fleet):
        for turns in range(6):
            aborted = _abort_with_response(
                fleet, monkeypatch, status=200, turns=turns
            )
            status, _, body = await _send(
                f"{prefix}{turns}", attempt=f"a{turns}"
            )
            assert (status, aborted) == (200, [turns]), body
            assert body.startswith(f"a{turns} of ".encode())

    _run(check)


@pytest.mark.parametrize("prefix", ["/x/", "/u/"])
def test_end_of_a_stop_keeps_refusal_that_another_instance_has_sent(
    prefix, monkeypatch
):
    """No server has got the request, so that its caller may send it again."""

    async def check(fleet):
        fleet.instances[1].gateway.shutdown.begin()
        for turns in range(3):
            _abort_with_response(fleet, monkeypatch, status=503, turns=turns)
            attempt = f"a{turns}"
            status, header, _ = await _send(
                f"{prefix}{turns}", attempt=attempt
            )
            assert (status, turns) == (503, turns)
            assert "retry-after: " in header
            assert _list_received(fleet, attempt) == []

    _run(check)


@pytest.mark.parametrize("is_keyed", [False, True])
def test_wait_of_a_server_is_kept(is_keyed):
    async def check(fleet):
        for server in fleet.servers:
            server.wait = "60"
        for number in range(8):
            status, header, _ = await _send(
                f"/x/a{number}", attempt=f"a{number}", key=number * 8_000
            )
            assert status == 503
            assert "retry-after: " in header
        arrived = sum(len(s.received) for s in fleet.servers)
        for number in range(8):
            await _send(
                f"/x/b{number}", attempt=f"b{number}", key=number * 8_000
            )
        assert sum(len(s.received) for s in fleet.servers) == arrived

    _run(check, is_keyed=is_keyed)


def test_origin_learns_that_a_server_leaves():
    """It has passed on the response, and may reach the server later."""

    async def check(fleet):
        fleet.servers[0].leaving = "1"
        origin = fleet.instances[ORIGIN - 1]
        status, header, _ = await _send("/x/a", attempt="a")
        assert status == 200
        assert "server-leaving: 1" in header
        [entry] = origin._view.servers.values()
        assert entry.state is catalog.ServerState.DRAINING

    _run(check, servers=1)


def test_request_that_crashes_servers_is_refused():
    async def check(fleet):
        for server in fleet.servers:
            server.crashing_targets = {"/x/crashing"}
        fleet.restart_crashed(after_s=1.0, keeps_name=False)
        for number in range(12):
            await _send("/x/crashing", attempt=f"a{number}")
            await asyncio.sleep(0.3)
        crashes = len(fleet.list_crashes())
        assert 3 <= crashes <= 5
        status, _, body = await _send("/x/crashing", attempt="last")
        assert status == 503
        assert b"crashes_servers" in body
        assert len(fleet.list_crashes()) == crashes

    _run(check, instances=3, servers=8)
