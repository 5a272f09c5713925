"""Tests of the ZeroMQ transport over the loopback interface."""

import asyncio

import msgspec
import pytest
import zmq
import zmq.asyncio

from tarragonhinge import base
from tarragonhinge import demo
from tarragonhinge import peers
from tarragonhinge import shards


def _run(scenario):
    async def bounded():
        await asyncio.wait_for(scenario(), 20)

    asyncio.run(bounded())


async def _reply_to_query(message):
    return shards.LeaderReply(leads=True, leader=base.Address(message.shard))


def test_a_call_returns_the_reply_of_the_registered_handler():
    async def scenario():
        address = demo.find_free_address("127.0.0.1")
        server = peers.ZmqTransport(address=address)
        client = peers.ZmqTransport(address=base.Address("127.0.0.1:1"))
        server.handle(shards.LeaderQuery, _reply_to_query)
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
def test_a_call_without_a_reply_returns_the_failure_reason(listening, reason):
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


@pytest.mark.parametrize("fault", ["stopped", "frozen"])
def test_a_call_to_a_lost_peer_fails_before_its_timeout(fault):
    async def scenario():
        address = demo.find_free_address("127.0.0.1")
        server = peers.ZmqTransport(address=address)
        client = peers.ZmqTransport(address=base.Address("127.0.0.1:1"))
        received = asyncio.Event()

        async def never_reply(message):
            received.set()
            if fault == "frozen":
                server._receive_task.cancel()
            await asyncio.sleep(60)

        server.handle(shards.LeaderQuery, never_reply)
        await server.start()
        query = shards.LeaderQuery(shard=base.ShardId("a/b"))
        call = asyncio.create_task(
            client.call(address, query, timeout_ms=60_000)
        )
        await received.wait()
        if fault == "stopped":
            await server.stop()
        reply = await call
        assert reply == peers.PeerFailure(reason=peers.FailureReason.LOST)
        await client.stop()
        if fault == "frozen":
            await server.stop()

    _run(scenario)


def test_a_call_waits_for_a_slow_peer_that_replies_to_pings():
    async def scenario():
        address = demo.find_free_address("127.0.0.1")
        server = peers.ZmqTransport(address=address)
        client = peers.ZmqTransport(address=base.Address("127.0.0.1:1"))

        async def reply_late(message):
            await asyncio.sleep(3 * peers.SILENCE_TIMEOUT_MS / base.MS_PER_S)
            return await _reply_to_query(message)

        server.handle(shards.LeaderQuery, reply_late)
        await server.start()
        query = shards.LeaderQuery(shard=base.ShardId("a/b"))
        reply = await client.call(address, query, timeout_ms=60_000)
        assert reply == shards.LeaderReply(leads=True, leader="a/b")
        await client.stop()
        await server.stop()

    _run(scenario)


class _FakePeer:
    """Peer that replies to each call with the frames that a function makes."""

    def __init__(self, address, make_replies):
        self._context = zmq.asyncio.Context()
        self._socket = self._context.socket(zmq.ROUTER)
        self._socket.bind(f"tcp://{address}")
        self._make_replies = make_replies
        self._task = asyncio.create_task(self._serve())

    async def _serve(self):
        while True:
            sender, call_id, kind, body = await self._socket.recv_multipart()
            if kind == b"ping":
                await self._socket.send_multipart(
                    [sender, call_id, kind, body]
                )
                continue
            name = msgspec.msgpack.decode(body)["shard"]
            for frames in self._make_replies(call_id, name):
                await self._socket.send_multipart([sender, *frames])

    def close(self):
        self._task.cancel()
        self._context.destroy(linger=0)


def _make_reply(call_id, name):
    reply = shards.LeaderReply(leads=True, leader=base.Address(name))
    return [call_id, b"shard.query_reply", peers.encode_message(reply)]


def _flip_bit(call_id, index):
    changed = bytearray(call_id)
    changed[index] ^= 1
    return bytes(changed)


@pytest.mark.parametrize(
    ("make_replies", "unmatched"),
    [
        (
            lambda call_id, shard: [
                _make_reply(call_id, shard),
                _make_reply(call_id, shard),
            ],
            1,
        ),
        (
            lambda call_id, shard: [
                _make_reply(_flip_bit(call_id, 0), "other"),
                _make_reply(call_id, shard),
            ],
            1,
        ),
        (
            lambda call_id, shard: [
                _make_reply(_flip_bit(call_id, 12), "other"),
                _make_reply(call_id, shard),
            ],
            1,
        ),
        (lambda call_id, shard: [[b"short"], _make_reply(call_id, shard)], 1),
    ],
    ids=["duplicate", "other incarnation", "unknown sequence", "truncated"],
)
def test_replies_that_match_no_pending_call_are_counted_and_dropped(
    make_replies, unmatched
):
    async def scenario():
        address = demo.find_free_address("127.0.0.1")
        fake_peer = _FakePeer(address, make_replies)
        client = peers.ZmqTransport(address=base.Address("127.0.0.1:1"))
        for name in ("a/b", "c/d", "e/f"):
            query = shards.LeaderQuery(shard=base.ShardId(name))
            reply = await client.call(address, query, timeout_ms=5000)
            assert reply == shards.LeaderReply(leads=True, leader=name)
        # The unmatched replies to the last call may not have arrived yet.
        assert client._connections[address].unmatched_replies >= 2 * unmatched
        await client.stop()
        fake_peer.close()

    _run(scenario)


@pytest.mark.parametrize(
    ("kind", "body"),
    [("no.such", b""), ("shard.query", b"\xc1"), ("shard.query", b"\x80")],
)
def test_malformed_messages_are_refused(kind, body):
    with pytest.raises(base.CodecError):
        peers.decode_message(kind, body)
