"""ZeroMQ transport: one ROUTER socket, and one DEALER socket per peer."""

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

#: Incarnation of the calling connection and sequence number of the call.
_CALL_ID = struct.Struct("!QQ")

#: Sequence number reserved for pings.
_PING_SEQUENCE = 0

#: Period of pings to a silent peer with pending calls.
PING_PERIOD_MS = 125

#: Maximum number of messages queued for one peer; further calls to it
#: fail as not sent.
MAX_QUEUED_MESSAGES = 1000

#: Maximum time that a call waits for a connection to its peer.
CONNECT_TIMEOUT_MS = 150

#: Maximum size of a received frame.
MAX_FRAME_BYTES = 64 * 1024 * 1024


class _PeerConnection:
    """Connection to one peer and its pending calls.

    Attributes
    ----------
    unmatched_replies : int
        Number of replies dropped because they match no pending call.
    has_replied : bool
        Whether the peer has replied to a call on this connection.
    """

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
            _security.set_client_keys(self._socket, keys, attempt)
        self._socket.setsockopt(zmq.LINGER, 0)
        # Queue no message while the peer is not connected: it would be
        # delivered after the call has failed.
        self._socket.setsockopt(zmq.IMMEDIATE, 1)
        self._socket.setsockopt(zmq.SNDHWM, MAX_QUEUED_MESSAGES)
        self._socket.setsockopt(zmq.MAXMSGSIZE, MAX_FRAME_BYTES)
        self._socket.setsockopt(zmq.RECONNECT_IVL_MAX, 1000)
        self._socket.connect(f"tcp://{address}")
        self._incarnation = secrets.randbits(64)
        self._sequence = itertools.count(1)
        self._pending_calls: dict[int, asyncio.Future] = {}
        self.unmatched_replies = 0
        self.has_replied = False
        self._last_received_at = 0.0
        self._monitor = self._socket.get_monitor_socket(zmq.EVENT_DISCONNECTED)
        self._tasks = [
            asyncio.create_task(self._receive()),
            asyncio.create_task(self._watch_disconnects()),
        ]
        self._ping_task: asyncio.Task | None = None

    async def call(
        self, message: msgspec.Struct, timeout_s: float
    ) -> msgspec.Struct | _transport.PeerFailure:
        sequence = next(self._sequence)
        future = asyncio.get_running_loop().create_future()
        self._pending_calls[sequence] = future
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
            # A socket that was closed in the meantime raises ZMQError and
            # has not sent the message either.
            self._pending_calls.pop(sequence, None)
            reason = _transport.FailureReason.NOT_SENT
            return _transport.PeerFailure(reason=reason)
        self._start_pinging()
        try:
            return await asyncio.wait_for(future, timeout_s)
        except TimeoutError:
            reason = _transport.FailureReason.TIMEOUT
            return _transport.PeerFailure(reason=reason)
        finally:
            self._pending_calls.pop(sequence, None)

    async def _watch_disconnects(self) -> None:
        """Fail all pending calls when the connection is lost."""
        while True:
            frames = await self._monitor.recv_multipart()
            event = zmq.utils.monitor.parse_monitor_message(frames)
            if event["event"] == zmq.EVENT_DISCONNECTED:
                self._fail_pending_calls()

    def _fail_pending_calls(self) -> None:
        reason = _transport.FailureReason.LOST
        failure = _transport.PeerFailure(reason=reason)
        for future in self._pending_calls.values():
            if not future.done():
                future.set_result(failure)

    def _start_pinging(self) -> None:
        if self._ping_task is None or self._ping_task.done():
            self._last_received_at = asyncio.get_running_loop().time()
            self._ping_task = asyncio.create_task(self._ping())

    async def _ping(self) -> None:
        """Ping the peer while calls are pending; fail them if it is silent.

        Replies to pings distinguish a peer that is still working on a
        call from a peer that has stopped.
        """
        loop = asyncio.get_running_loop()
        call_id = _CALL_ID.pack(self._incarnation, _PING_SEQUENCE)
        while True:
            await asyncio.sleep(PING_PERIOD_MS / base.MS_PER_S)
            if not self._pending_calls:
                return
            silent_ms = (loop.time() - self._last_received_at) * base.MS_PER_S
            if silent_ms >= _transport.SILENCE_TIMEOUT_MS:
                self._fail_pending_calls()
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
                self.unmatched_replies += 1
                continue
            incarnation, sequence = _CALL_ID.unpack(frames[0])
            if incarnation != self._incarnation:
                self.unmatched_replies += 1
                continue
            self._last_received_at = asyncio.get_running_loop().time()
            if sequence == _PING_SEQUENCE:
                continue
            future = self._pending_calls.pop(sequence, None)
            if future is None or future.done():
                self.unmatched_replies += 1
                continue
            self.has_replied = True
            future.set_result(_decode_reply(frames[1], frames[2]))

    def is_idle(self) -> bool:
        """Return whether no call is pending."""
        return not self._pending_calls

    def close(self) -> None:
        """Close the connection."""
        for task in self._tasks:
            task.cancel()
        if self._ping_task is not None:
            self._ping_task.cancel()
        self._socket.disable_monitor()
        self._monitor.close(0)
        self._socket.close(0)


def _decode_reply(
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
    """Peer transport over ZeroMQ.

    Parameters
    ----------
    address : Address
        Address to listen on.
    keys : PeerKeys or None
        Keys of the deployment; None disables authentication, so that
        anyone can connect.

    Attributes
    ----------
    malformed_count : int
        Number of malformed messages received.
    """

    def __init__(
        self, *, address: base.Address, keys: _keys.PeerKeys | None = None
    ) -> None:
        super().__init__(address=address)
        self._context = zmq.asyncio.Context()
        self._keys = keys
        self._authenticator: _security.PeerAuthenticator | None = None
        self._key_attempts: collections.Counter[str] = collections.Counter()
        self._router: zmq.asyncio.Socket | None = None
        self._connections: dict[str, _PeerConnection] = {}
        self._tasks: set[asyncio.Task] = set()
        self._receive_task: asyncio.Task | None = None
        self.malformed_count = 0

    async def start(self) -> None:
        """Start to listen for peers."""
        self._router = self._context.socket(zmq.ROUTER)
        self._router.setsockopt(zmq.LINGER, 200)
        self._router.setsockopt(zmq.MAXMSGSIZE, MAX_FRAME_BYTES)
        if self._keys is not None:
            self._authenticator = _security.PeerAuthenticator(
                context=self._context, keys=self._keys
            )
            self._authenticator.require_keys(self._router)
        self._router.bind(f"tcp://{self.address}")
        self._receive_task = asyncio.create_task(self._receive_calls())

    async def call(
        self,
        address: base.Address,
        message: msgspec.Struct,
        *,
        timeout_ms: int,
    ) -> msgspec.Struct | _transport.PeerFailure:
        """Send a message and return the reply, or why there is none."""
        connection = self._connections.get(address)
        if connection is None:
            connection = _PeerConnection(
                context=self._context,
                address=address,
                keys=self._keys,
                attempt=self._key_attempts[address],
            )
            self._connections[address] = connection
        reply = await connection.call(message, timeout_ms / base.MS_PER_S)
        if isinstance(reply, _transport.PeerFailure):
            self._try_next_key(address, connection)
        return reply

    def _try_next_key(
        self, address: base.Address, connection: _PeerConnection
    ) -> None:
        """Replace the connection to a peer that has never replied.

        The next connection expects the next of the deployment's keys.
        """
        if (
            self._keys is None
            or connection.has_replied
            or not connection.is_idle()
        ):
            return
        if self._connections.get(address) is connection:
            del self._connections[address]
            self._key_attempts[address] += 1
            connection.close()

    @property
    def refused_count(self) -> int:
        """Return the number of connections refused because of their keys."""
        return self._authenticator.refused_count if self._authenticator else 0

    async def stop(self) -> None:
        """Close all connections."""
        if self._receive_task is not None:
            self._receive_task.cancel()
        for task in self._tasks:
            task.cancel()
        for connection in self._connections.values():
            connection.close()
        if self._authenticator is not None:
            self._authenticator.stop()
        if self._router is not None:
            self._router.disable_monitor()
            self._router.close()
        self._context.destroy(linger=200)

    async def _receive_calls(self) -> None:
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
            logging.exception(
                "peer message handler failed and sent no reply kind=%s",
                kind.decode(),
            )
            return
        frames = [
            sender,
            sequence,
            _message.get_kind(reply).encode(),
            _message.encode_message(reply),
        ]
        with contextlib.suppress(zmq.ZMQError):
            # The socket is closed after a stop.  The caller detects this by
            # the disconnect.
            await self._router.send_multipart(frames)
