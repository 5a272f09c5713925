"""The ZeroMQ transport over loopback."""

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
            await asyncio.sleep(3 * peers.SILENCE_TIMEOUT_MS / base.MS_PER_S)
            return await _answer(message)

        server.handle(shards.LeaderQuery, answer_late)
        await server.start()
        query = shards.LeaderQuery(shard=base.ShardId("a/b"))
        reply = await client.call(address, query, timeout_ms=60_000)
        assert reply == shards.LeaderReply(leads=True, leader="a/b")
        await client.stop()
        await server.stop()

    _run(scenario)


class _Replier:
    """Peer that answers calls with frames of its own making."""

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


def _frame(call_id, name):
    reply = shards.LeaderReply(leads=True, leader=base.Address(name))
    return [call_id, b"shard.query_reply", peers.encode_message(reply)]


def _flip(call_id, index):
    changed = bytearray(call_id)
    changed[index] ^= 1
    return bytes(changed)


@pytest.mark.parametrize(
    ("make_replies", "strays"),
    [
        (lambda i, n: [_frame(i, n), _frame(i, n)], 1),
        (lambda i, n: [_frame(_flip(i, 0), "other"), _frame(i, n)], 1),
        (lambda i, n: [_frame(_flip(i, 12), "other"), _frame(i, n)], 1),
        (lambda i, n: [[b"short"], _frame(i, n)], 1),
    ],
    ids=["twice", "former incarnation", "unknown sequence", "cut"],
)
def test_replies_that_answer_no_call_are_counted_and_dropped(
    make_replies, strays
):
    async def scenario():
        address = demo.find_free_address("127.0.0.1")
        replier = _Replier(address, make_replies)
        client = peers.ZmqTransport(address=base.Address("127.0.0.1:1"))
        for name in ("a/b", "c/d", "e/f"):
            query = shards.LeaderQuery(shard=base.ShardId(name))
            reply = await client.call(address, query, timeout_ms=5000)
            assert reply == shards.LeaderReply(leads=True, leader=name)
        # The strays of the last call may still be on their way.
        assert client._links[address].stray_replies >= 2 * strays
        await client.stop()
        replier.close()

    _run(scenario)


@pytest.mark.parametrize(
    ("kind", "body"),
    [("no.such", b""), ("shard.query", b"\xc1"), ("shard.query", b"\x80")],
)
def test_malformed_messages_are_refused(kind, body):
    with pytest.raises(base.CodecError):
        peers.decode_message(kind, body)
