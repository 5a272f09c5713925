"""Crashes are told from other failures, and suspects run apart."""

import asyncio

import pytest

from tarragonhinge import base
from tarragonhinge import catalog
from tarragonhinge.platform import standins
from tarragonhinge.platform.tests import test_path

#: Time that a check of a server may take, in seconds.
CHECK_S = 0.3


def _run(check, *, servers=6):
    async def run():
        names = [f"i-{number}" for number in range(servers)]
        async with test_path._Testbed(names=names) as testbed:
            for server in testbed.servers:
                server.work_s = 0.03
            await check(testbed)

    asyncio.run(run())


def _let_crash(testbed, *targets):
    for server in testbed.servers:
        server.crashing_targets = set(targets)


def _count_crashed(testbed):
    return sum(server.crashed_at < float("inf") for server in testbed.servers)


def _read_reason(response):
    return response.body.decode("latin-1")


async def _crash_three(testbed):
    """Send a crashing request until it has crashed three servers."""
    _let_crash(testbed, "/safe/p")
    responses = [await testbed.send("/safe/p") for _ in range(2)]
    assert [r.status for r in responses] == [502, 502]
    assert _count_crashed(testbed) == 3
    await asyncio.sleep(CHECK_S)


@pytest.mark.parametrize("method_target", ["/safe/p", "/unsafe/p"])
def test_request_is_refused_after_third_crash(method_target):
    async def check(testbed):
        _let_crash(testbed, method_target)
        while _count_crashed(testbed) < 3:
            response = await testbed.send(method_target)
            assert response.status == 502
        await asyncio.sleep(CHECK_S)
        for _ in range(3):
            response = await testbed.send(method_target)
            assert response.status == 503
            assert "crashes_servers" in _read_reason(response)
            assert float(dict(response.fields)["retry-after"]) >= 10
        assert _count_crashed(testbed) == 3

    _run(check)


@pytest.mark.parametrize(
    ("target", "body", "headers"),
    [
        ("/safe/p", b"x", {}),
        ("/safe/p?q=1", b"", {}),
        ("/safe/q", b"", {}),
        ("/safe/p", b"", {"authorization": "Bearer other"}),
    ],
)
def test_other_request_is_served(target, body, headers):
    async def check(testbed):
        await _crash_three(testbed)
        _let_crash(testbed)
        assert (await testbed.send("/safe/p")).status == 503
        response = await testbed.send(target, body=body, **headers)
        assert response.status == 200

    _run(check)


@pytest.mark.parametrize("mode", ["reset", "cut", "error", "shed", "unsealed"])
def test_failure_of_running_server_is_no_crash(mode):
    async def check(testbed):
        for server in testbed.servers:
            server.mode = mode
        for _ in range(6):
            await testbed.send("/safe/p")
        await asyncio.sleep(CHECK_S)
        assert testbed.gateway.guard.crash_count == 0
        for server in testbed.servers:
            server.mode = "ok"
        assert (await testbed.send("/safe/p")).status == 200

    _run(check, servers=2)


@pytest.mark.parametrize("is_listed", [False, True])
def test_end_of_leaving_server_is_no_crash(is_listed):
    """A server that drains ends, also while requests are running."""

    async def check(testbed):
        first = testbed.servers[0]
        first.work_allowed.clear()
        testbed.publish_servers([first])
        request = asyncio.create_task(testbed.send("/unsafe/p"))
        await first.request_arrived.wait()
        testbed.publish_servers(testbed.servers[1:])
        if is_listed:
            entry = catalog.ServerEntry(
                server=base.ServerId(first.name),
                service=testbed.service,
                address=base.Address(first.address),
                zone=base.ZoneName("z"),
                slots=2,
                born_ms=1,
                state=catalog.ServerState.DRAINING,
            )
            testbed.view.set_servers(
                {**testbed.view.servers, entry.server: entry}
            )
        await first.stop()
        assert (await request).status == 502
        await asyncio.sleep(CHECK_S)
        assert testbed.gateway.guard.crash_count == 0

    _run(check, servers=2)


def test_server_that_is_back_at_once_is_recognized_by_its_start():
    async def check(testbed):
        first = testbed.servers[0]
        testbed.publish_servers([first])
        first.next_modes = ["reset"]
        assert (await testbed.send("/unsafe/p")).status == 502
        entry = testbed.view.servers[base.ServerId(first.name)]
        reborn = catalog.ServerEntry(
            server=entry.server,
            service=entry.service,
            address=entry.address,
            zone=entry.zone,
            slots=2,
            born_ms=2,
        )
        testbed.view.set_servers({entry.server: reborn})
        await asyncio.sleep(1.0)
        assert testbed.gateway.guard.crash_count == 1

    _run(check, servers=2)


def test_request_at_two_crashes_is_not_sent_again_by_itself():
    async def check(testbed):
        _let_crash(testbed, "/safe/p")
        await testbed.send("/safe/p")
        assert _count_crashed(testbed) == 2
        await testbed.send("/safe/p")
        assert _count_crashed(testbed) == 3

    _run(check)


def test_refused_request_that_waits_is_not_sent():
    """It was accepted before the third crash was known."""

    async def check(testbed):
        ledger = testbed.gateway.ledger
        first = testbed.servers[0]
        testbed.publish_servers([first])
        first.work_allowed.clear()
        request = asyncio.create_task(testbed.send("/safe/q"))
        await first.request_arrived.wait()
        digest = next(
            flight.job.digest
            for there in testbed.gateway.guard._flights.values()
            for flight in there
        )
        for number in range(3):
            ledger.record_crash((f"x{number}", 1), [digest])
        await asyncio.sleep(CHECK_S)
        # The attempt at the server is ended, too.
        response = await request
        assert response.status == 502
        assert "crashes_servers" in _read_reason(response)
        assert (await testbed.send("/safe/q")).status == 503
        assert testbed.gateway.guard.crash_count == 0
        await first.stop()

    _run(check, servers=1)


def test_suspects_run_at_separate_servers():
    async def check(testbed):
        ledger = testbed.gateway.ledger
        suspects = {"/safe/p", "/safe/q"}
        for server in testbed.servers:
            server.work_allowed.clear()
        tasks = [asyncio.create_task(testbed.send(t)) for t in suspects]
        await asyncio.sleep(0.1)
        there = testbed.gateway.guard._flights.values()
        digests = [f.job.digest for flights in there for f in flights]
        for task in tasks:
            task.cancel()
        await asyncio.wait(tasks)
        for number in range(2):
            ledger.record_crash((f"x{number}", 1), digests)
        for server in testbed.servers:
            server.received.clear()
        targets = [*suspects, "/safe/r", "/safe/s"]
        tasks = [asyncio.create_task(testbed.send(t)) for t in targets]
        await asyncio.sleep(0.1)
        for server in testbed.servers:
            met = {line.split(" ")[1] for line, _, _ in server.received}
            # A suspect meets no other request.
            assert len(met) == 1 or not met & suspects
            server.work_allowed.set()
        responses = await asyncio.gather(*tasks)
        assert {r.status for r in responses} == {200}
        assert ledger.is_idle

    _run(check)


def test_request_is_tried_once_at_a_new_version():
    class Source:
        def __init__(self):
            self.asked = []

        async def request_trial(self, digest, version):
            self.asked.append(version)
            return "version v2" if len(self.asked) == 1 else None

    async def check(testbed):
        await _crash_three(testbed)
        source = Source()
        testbed.gateway.guard.trials.source = source
        response = await testbed.send("/safe/p")
        # It crashes the new version, too, and is not retried.
        assert response.status == 502
        assert _count_crashed(testbed) == 4
        await asyncio.sleep(CHECK_S)
        assert (await testbed.send("/safe/p")).status == 503
        assert _count_crashed(testbed) == 4

    _run(check)


def test_trial_that_succeeds_ends_the_refusal():
    class Source:
        async def request_trial(self, digest, version):
            return "version v2"

    async def check(testbed):
        await _crash_three(testbed)
        testbed.gateway.guard.trials.source = Source()
        _let_crash(testbed)
        assert (await testbed.send("/safe/p")).status == 200
        testbed.gateway.guard.trials.source = None
        assert (await testbed.send("/safe/p")).status == 200
        assert testbed.gateway.ledger.is_idle

    _run(check)


def test_crashing_server_is_a_stand_in_that_refuses_connections():
    async def run():
        server = await standins.StandInServer().start()
        server.crashing_targets = {"/p"}
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", server.port
        )
        writer.write(b"GET /p HTTP/1.1\r\nHost: h\r\n\r\n")
        assert await reader.read() == b""
        with pytest.raises(ConnectionRefusedError):
            await asyncio.open_connection("127.0.0.1", server.port)
        writer.close()

    asyncio.run(run())
