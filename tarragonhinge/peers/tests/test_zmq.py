"""The ZeroMQ transport over loopback."""

import asyncio

import pytest

from tarragonhinge import base
from tarragonhinge import demo
from tarragonhinge import peers
from tarragonhinge import shards


def _run(scenario):
    async def bounded():
        await asyncio.wait_for(scenario(), 20)

    asyncio.run(bounded())


async def _answer(message):
    return shards.LeaderReply(leads=True, leader=base.Address(message.shard))


def test_a_call_is_answered_by_the_registered_handler():
    async def scenario():
        address = demo.find_free_address("127.0.0.1")
        server = peers.ZmqTransport(address=address)
        client = peers.ZmqTransport(address=base.Address("127.0.0.1:1"))
        server.handle(shards.LeaderQuery, _answer)
        await server.start()
        query = shards.LeaderQuery(shard=base.ShardId("a/b"))
        reply = await client.call(address, query, timeout_ms=5000)
        assert reply == shards.LeaderReply(leads=True, leader="a/b")
        await client.stop()
        await server.stop()

    _run(scenario)


@pytest.mark.parametrize(
    ("listening", "reason"),
    [
        (False, peers.FailureReason.NOT_SENT),
        (True, peers.FailureReason.REFUSED),
    ],
)
def test_a_call_without_an_answer_tells_why(listening, reason):
    async def scenario():
        address = demo.find_free_address("127.0.0.1")
        server = peers.ZmqTransport(address=address)
        client = peers.ZmqTransport(address=base.Address("127.0.0.1:1"))
        if listening:
            await server.start()
        query = shards.LeaderQuery(shard=base.ShardId("a/b"))
        reply = await client.call(address, query, timeout_ms=5000)
        assert reply == peers.PeerFailure(reason=reason)
        await client.stop()
        await server.stop()

    _run(scenario)


@pytest.mark.parametrize("way", ["stopped", "frozen"])
def test_a_call_to_a_peer_that_is_lost_fails_before_its_timeout(way):
    async def scenario():
        address = demo.find_free_address("127.0.0.1")
        server = peers.ZmqTransport(address=address)
        client = peers.ZmqTransport(address=base.Address("127.0.0.1:1"))
        called = asyncio.Event()

        async def answer_never(message):
            called.set()
            if way == "frozen":
                server._server.cancel()
            await asyncio.sleep(60)

        server.handle(shards.LeaderQuery, answer_never)
        await server.start()
        query = shards.LeaderQuery(shard=base.ShardId("a/b"))
        call = asyncio.create_task(
            client.call(address, query, timeout_ms=60_000)
        )
        await called.wait()
        if way == "stopped":
            await server.stop()
        reply = await call
        assert reply == peers.PeerFailure(reason=peers.FailureReason.LOST)
        await client.stop()
        if way == "frozen":
            await server.stop()

    _run(scenario)


def test_a_slow_peer_that_answers_pings_is_waited_for():
    async def scenario():
        address = demo.find_free_address("127.0.0.1")
        server = peers.ZmqTransport(address=address)
        client = peers.ZmqTransport(address=base.Address("127.0.0.1:1"))

        async def answer_late(message):
            await asyncio.sleep(3 * peers.SILENCE_MS / base.MS_PER_S)
            return await _answer(message)

        server.handle(shards.LeaderQuery, answer_late)
        await server.start()
        query = shards.LeaderQuery(shard=base.ShardId("a/b"))
        reply = await client.call(address, query, timeout_ms=60_000)
        assert reply == shards.LeaderReply(leads=True, leader="a/b")
        await client.stop()
        await server.stop()

    _run(scenario)


@pytest.mark.parametrize(
    ("kind", "body"),
    [("no.such", b""), ("shard.query", b"\xc1"), ("shard.query", b"\x80")],
)
def test_malformed_messages_are_refused(kind, body):
    with pytest.raises(base.CodecError):
        peers.decode_message(kind, body)
