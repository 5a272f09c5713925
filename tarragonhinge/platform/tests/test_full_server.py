"""Servers that reset connections while their queues are full."""

import asyncio

import pytest

from tarragonhinge import base
from tarragonhinge.platform.tests import test_path

#: Time after which a server that has ended would be recognized.
_FINDING_S = 1.0


async def _reset_one(testbed, target):
    """Send a request that is reset, and return the response and the link."""
    server, *_ = testbed.servers
    server.next_modes = ["full"]
    if testbed.service == "keys":
        testbed.set_owner(server.name, 1)
        server.own(0, 65_535)
    response = await testbed.send(target, tarragonhinge_shard_key="7")
    await asyncio.sleep(_FINDING_S)
    return response, testbed.gateway.links.find(base.ServerId(server.name))


@pytest.mark.parametrize(
    ("target", "is_keyed"),
    [
        (test_path.SAFE, False),
        (test_path.UNSAFE, False),
        (test_path.KEYED, True),
    ],
)
@pytest.mark.parametrize(
    "violates",
    [
        pytest.param(
            lambda testbed, link: testbed.gateway.guard.crash_count,
            id="has-not-crashed",
        ),
        pytest.param(
            lambda testbed, link: link.path.is_closed, id="is-in-reach"
        ),
        pytest.param(
            lambda testbed, link: link.load.health.compute_error_ratio(),
            id="has-not-failed",
        ),
        pytest.param(
            lambda testbed, link: link.load.is_cooling_down(),
            id="is-not-in-cooldown",
        ),
        pytest.param(
            lambda testbed, link: testbed.gateway.leaving.take_unreported(),
            id="moves-no-keys",
        ),
    ],
)
def test_full_server_is_only_busy(target, is_keyed, violates):
    async def check(testbed):
        _, link = await _reset_one(testbed, target)
        assert not violates(testbed, link)

    test_path._run(check, names=["i-1"], is_keyed=is_keyed)


@pytest.mark.parametrize(
    ("target", "is_keyed", "status", "runs"),
    [
        # It may have run, as far as the protocol tells.
        (test_path.UNSAFE, False, 502, 0),
        (test_path.SAFE, False, 200, 1),
        (test_path.KEYED, True, 200, 1),
    ],
)
def test_request_that_is_reset_is_sent_again_if_it_may_run_twice(
    target, is_keyed, status, runs
):
    async def check(testbed):
        response, _ = await _reset_one(testbed, target)
        assert response.status == status
        assert testbed.count_executions() == runs

    test_path._run(check, names=["i-1"], is_keyed=is_keyed)


@pytest.mark.parametrize(
    ("target", "is_keyed"),
    [
        (test_path.SAFE, False),
        (test_path.UNSAFE, False),
        (test_path.KEYED, True),
    ],
)
def test_request_is_refused_if_new_connections_are_reset(target, is_keyed):
    """Guards against 502 for requests that were never written."""

    async def check(testbed):
        [server] = testbed.servers
        server.connection_limit = 0
        testbed.gateway._retrier._sender.accept_resets.record_reset(
            testbed.service
        )
        if is_keyed:
            testbed.set_owner(server.name, 1)
            server.own(0, 65_535)
        response = await testbed.send(target, tarragonhinge_shard_key="7")
        assert response.status == 503
        assert float(dict(response.fields)["retry-after"]) > 0
        assert server.received == []
        server.connection_limit = None
        await asyncio.sleep(_FINDING_S)
        response = await testbed.send(target, tarragonhinge_shard_key="7")
        assert response.status == 200

    test_path._run(check, names=["i-1"], is_keyed=is_keyed)
