"""CURVE authentication on the sockets between instances."""

import asyncio

import zmq
import zmq.asyncio
import zmq.auth.asyncio
import zmq.utils.monitor

from tarragonhinge.peers import _keys

_HANDSHAKE_FAILURES = (
    zmq.EVENT_HANDSHAKE_FAILED_AUTH
    | zmq.EVENT_HANDSHAKE_FAILED_NO_DETAIL
    | zmq.EVENT_HANDSHAKE_FAILED_PROTOCOL
)


class PeerAuthenticator:
    """Accepts connections only from instances with the deployment's keys.

    Parameters
    ----------
    context : Context
        ZeroMQ context of the listening socket.
    keys : PeerKeys
        Keys of the deployment.

    Attributes
    ----------
    refused_count : int
        Number of failed handshakes.
    """

    def __init__(
        self, *, context: zmq.asyncio.Context, keys: _keys.PeerKeys
    ) -> None:
        self.refused_count = 0
        self._context = context
        self._keys = keys
        self._authenticator: zmq.auth.asyncio.AsyncioAuthenticator | None = (
            None
        )
        self._task: asyncio.Task | None = None

    def require_keys(self, socket: zmq.asyncio.Socket) -> None:
        """Require the deployment's keys on a socket that is not yet bound."""
        authenticator = zmq.auth.asyncio.AsyncioAuthenticator(self._context)
        authenticator.start()
        authenticator.configure_curve_callback(credentials_provider=self)
        self._authenticator = authenticator
        pair = self._keys.pairs[0]
        socket.curve_secretkey = pair.secret
        socket.curve_publickey = pair.public
        socket.curve_server = True
        monitor = socket.get_monitor_socket(_HANDSHAKE_FAILURES)
        self._task = asyncio.create_task(self._count_failures(monitor))

    def callback(self, domain: str, key: bytes) -> bool:
        """Return whether a peer's public key, in Z85 encoding, is accepted.

        The authenticator of pyzmq calls this method by its name.
        """
        return self._keys.accepts(key)

    async def _count_failures(self, monitor: zmq.asyncio.Socket) -> None:
        while True:
            await monitor.recv_multipart()
            self.refused_count += 1

    def stop(self) -> None:
        """Stop the authenticator and the handshake monitor."""
        if self._task is not None:
            self._task.cancel()
        if self._authenticator is not None:
            self._authenticator.stop()


def set_client_keys(
    socket: zmq.asyncio.Socket, keys: _keys.PeerKeys, attempt: int
) -> None:
    """Set the keys on a client socket that is not yet connected.

    Parameters
    ----------
    socket : Socket
        Socket that will connect.
    keys : PeerKeys
        Keys of the deployment.
    attempt : int
        Number of previous attempts.  Each attempt expects the peer to
        use the next of the deployment's keys, because a key rotation may
        be in progress.
    """
    own_pair = keys.pairs[0]
    expected_pair = keys.pairs[attempt % len(keys.pairs)]
    socket.curve_secretkey = own_pair.secret
    socket.curve_publickey = own_pair.public
    socket.curve_serverkey = expected_pair.public
