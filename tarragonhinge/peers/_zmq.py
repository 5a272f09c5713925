"""Transport over ZeroMQ: a ROUTER socket, and a DEALER for each peer."""

import asyncio
import collections
import contextlib
import itertools
import secrets
import struct

from absl import logging
import msgspec
import zmq
import zmq.asyncio
import zmq.utils.monitor

from tarragonhinge import base
from tarragonhinge.peers import _keys
from tarragonhinge.peers import _message
from tarragonhinge.peers import _security
from tarragonhinge.peers import _transport

_REFUSED = b"refused"
_PING = b"ping"

#: Incarnation of the calling link and sequence number of the call.
_CALL_ID = struct.Struct("!QQ")

#: Sequence number of pings, which answer no call.
_PING_SEQUENCE = 0

#: Period of pings to a peer that owes a reply and is silent.
PING_PERIOD_MS = 125

#: Messages that may wait for one peer before calls to it fail at once.
SEND_QUEUE_LIMIT = 1000

#: How long a call waits for a connection to its peer.
CONNECT_TIMEOUT_MS = 150

#: Largest accepted frame, in bytes.
FRAME_LIMIT_BYTES = 64 * 1024 * 1024


class _Link:
    """Connection to one peer with the calls that wait on it."""

    def __init__(
        self,
        *,
        context: zmq.asyncio.Context,
        address: str,
        keys: _keys.PeerKeys | None,
        attempt: int,
    ) -> None:
        self._socket = context.socket(zmq.DEALER)
        if keys is not None:
            _security.present_keys(self._socket, keys, attempt)
        self._socket.setsockopt(zmq.LINGER, 0)
        # Nothing may wait for a peer that is not connected: it would
        # arrive after its sender has given up on it.
        self._socket.setsockopt(zmq.IMMEDIATE, 1)
        self._socket.setsockopt(zmq.SNDHWM, SEND_QUEUE_LIMIT)
        self._socket.setsockopt(zmq.MAXMSGSIZE, FRAME_LIMIT_BYTES)
        self._socket.setsockopt(zmq.RECONNECT_IVL_MAX, 1000)
        self._socket.connect(f"tcp://{address}")
        self._incarnation = secrets.randbits(64)
        self._sequence = itertools.count(1)
        self._waiting: dict[int, asyncio.Future] = {}
        self.stray_replies = 0
        self.answered = False
        self._heard_at = 0.0
        self._monitor = self._socket.get_monitor_socket(zmq.EVENT_DISCONNECTED)
        self._tasks = [
            asyncio.create_task(self._receive()),
            asyncio.create_task(self._watch()),
        ]
        self._pinging: asyncio.Task | None = None

    async def call(
        self, message: msgspec.Struct, timeout_s: float
    ) -> msgspec.Struct | _transport.PeerFailure:
        sequence = next(self._sequence)
        future = asyncio.get_running_loop().create_future()
        self._waiting[sequence] = future
        frames = [
            _CALL_ID.pack(self._incarnation, sequence),
            _message.get_kind(message).encode(),
            _message.encode_message(message),
        ]
        connect_s = min(timeout_s, CONNECT_TIMEOUT_MS / base.MS_PER_S)
        try:
            sending = self._socket.send_multipart(frames)
            await asyncio.wait_for(sending, connect_s)
        except (TimeoutError, zmq.ZMQError):
            # A socket that is closed meanwhile has sent nothing either.
            self._waiting.pop(sequence, None)
            reason = _transport.FailureReason.NOT_SENT
            return _transport.PeerFailure(reason=reason)
        self._start_pinging()
        try:
            return await asyncio.wait_for(future, timeout_s)
        except TimeoutError:
            reason = _transport.FailureReason.TIMEOUT
            return _transport.PeerFailure(reason=reason)
        finally:
            self._waiting.pop(sequence, None)

    async def _watch(self) -> None:
        """Fail the calls that wait when the connection is lost."""
        while True:
            frames = await self._monitor.recv_multipart()
            event = zmq.utils.monitor.parse_monitor_message(frames)
            if event["event"] == zmq.EVENT_DISCONNECTED:
                self._fail_waiting()

    def _fail_waiting(self) -> None:
        reason = _transport.FailureReason.LOST
        failure = _transport.PeerFailure(reason=reason)
        for future in self._waiting.values():
            if not future.done():
                future.set_result(failure)

    def _start_pinging(self) -> None:
        if self._pinging is None or self._pinging.done():
            self._heard_at = asyncio.get_running_loop().time()
            self._pinging = asyncio.create_task(self._ping())

    async def _ping(self) -> None:
        """Tell a peer that works on a call from one that is gone."""
        loop = asyncio.get_running_loop()
        call_id = _CALL_ID.pack(self._incarnation, _PING_SEQUENCE)
        while True:
            await asyncio.sleep(PING_PERIOD_MS / base.MS_PER_S)
            if not self._waiting:
                return
            silent_ms = (loop.time() - self._heard_at) * base.MS_PER_S
            if silent_ms >= _transport.SILENCE_TIMEOUT_MS:
                self._fail_waiting()
                return
            if silent_ms >= PING_PERIOD_MS:
                await self._send_ping(call_id)

    async def _send_ping(self, call_id: bytes) -> None:
        try:
            sending = self._socket.send_multipart([call_id, _PING, b""])
            await asyncio.wait_for(sending, PING_PERIOD_MS / base.MS_PER_S)
        except (TimeoutError, zmq.ZMQError):
            return

    async def _receive(self) -> None:
        while True:
            frames = await self._socket.recv_multipart()
            if len(frames) != 3 or len(frames[0]) != _CALL_ID.size:
                self.stray_replies += 1
                continue
            incarnation, sequence = _CALL_ID.unpack(frames[0])
            if incarnation != self._incarnation:
                self.stray_replies += 1
                continue
            self._heard_at = asyncio.get_running_loop().time()
            if sequence == _PING_SEQUENCE:
                continue
            future = self._waiting.pop(sequence, None)
            if future is None or future.done():
                self.stray_replies += 1
                continue
            self.answered = True
            future.set_result(_read_reply(frames[1], frames[2]))

    def is_idle(self) -> bool:
        """Return whether no call waits."""
        return not self._waiting

    def close(self) -> None:
        """Close the connection."""
        for task in self._tasks:
            task.cancel()
        if self._pinging is not None:
            self._pinging.cancel()
        self._socket.disable_monitor()
        self._monitor.close(0)
        self._socket.close(0)


def _read_reply(
    kind: bytes, body: bytes
) -> msgspec.Struct | _transport.PeerFailure:
    if kind == _REFUSED:
        reason = _transport.FailureReason.REFUSED
        return _transport.PeerFailure(reason=reason)
    try:
        return _message.decode_message(kind.decode(), body)
    except (base.CodecError, UnicodeDecodeError):
        reason = _transport.FailureReason.MALFORMED
        return _transport.PeerFailure(reason=reason)


class ZmqTransport(_transport.PeerTransport):
    """Transport over ZeroMQ.

    Parameters
    ----------
    address : Address
        Where to listen.
    keys : PeerKeys or None
        The deployment's keys; without them anybody may connect.
    """

    def __init__(
        self, *, address: base.Address, keys: _keys.PeerKeys | None = None
    ) -> None:
        super().__init__(address=address)
        self._context = zmq.asyncio.Context()
        self._keys = keys
        self._guard: _security.PeerGuard | None = None
        self._attempts: collections.Counter[str] = collections.Counter()
        self._router: zmq.asyncio.Socket | None = None
        self._links: dict[str, _Link] = {}
        self._tasks: set[asyncio.Task] = set()
        self._server: asyncio.Task | None = None
        self.malformed_count = 0

    async def start(self) -> None:
        """Listen for peers."""
        self._router = self._context.socket(zmq.ROUTER)
        self._router.setsockopt(zmq.LINGER, 200)
        self._router.setsockopt(zmq.MAXMSGSIZE, FRAME_LIMIT_BYTES)
        if self._keys is not None:
            self._guard = _security.PeerGuard(
                context=self._context, keys=self._keys
            )
            self._guard.protect(self._router)
        self._router.bind(f"tcp://{self.address}")
        self._server = asyncio.create_task(self._accept())

    async def call(
        self,
        address: base.Address,
        message: msgspec.Struct,
        *,
        timeout_ms: int,
    ) -> msgspec.Struct | _transport.PeerFailure:
        """Send a message and return the peer's reply."""
        link = self._links.get(address)
        if link is None:
            link = _Link(
                context=self._context,
                address=address,
                keys=self._keys,
                attempt=self._attempts[address],
            )
            self._links[address] = link
        reply = await link.call(message, timeout_ms / base.MS_PER_S)
        if isinstance(reply, _transport.PeerFailure):
            self._try_next_key(address, link)
        return reply

    def _try_next_key(self, address: base.Address, link: _Link) -> None:
        """Expect another key at a peer that has never answered."""
        if self._keys is None or link.answered or not link.is_idle():
            return
        if self._links.get(address) is link:
            del self._links[address]
            self._attempts[address] += 1
            link.close()

    @property
    def refused_count(self) -> int:
        """Return how many connections were refused for their keys."""
        return self._guard.refused_count if self._guard else 0

    async def stop(self) -> None:
        """Close all connections."""
        if self._server is not None:
            self._server.cancel()
        for task in self._tasks:
            task.cancel()
        for link in self._links.values():
            link.close()
        if self._guard is not None:
            self._guard.stop()
        if self._router is not None:
            self._router.disable_monitor()
            self._router.close()
        self._context.destroy(linger=200)

    async def _accept(self) -> None:
        while True:
            frames = await self._router.recv_multipart()
            if len(frames) != 4:
                self.malformed_count += 1
                continue
            if frames[2] == _PING:
                await self._router.send_multipart(frames)
                continue
            task = asyncio.create_task(self._reply(*frames))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _reply(
        self, sender: bytes, sequence: bytes, kind: bytes, body: bytes
    ) -> None:
        try:
            message = _message.decode_message(kind.decode(), body)
            handler = self._handlers[type(message)]
        except (base.CodecError, UnicodeDecodeError, KeyError):
            self.malformed_count += 1
            await self._router.send_multipart(
                [sender, sequence, _REFUSED, b""]
            )
            return
        try:
            reply = await handler(message)
        except Exception:
            logging.exception("handler failed kind=%s", kind.decode())
            return
        frames = [
            sender,
            sequence,
            _message.get_kind(reply).encode(),
            _message.encode_message(reply),
        ]
        with contextlib.suppress(zmq.ZMQError):
            # The caller learns of a stopped transport by its disconnect.
            await self._router.send_multipart(frames)
