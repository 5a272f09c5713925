"""Network of one instance, in which addresses can be cut off.

A proxy between instances and a server treats all instances alike. A cut of
one instance is therefore injected where its process opens connections: the
functions of the event loop consult the network of the current context.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
import contextvars
import enum
import errno
import socket

from tarragonhinge import base

#: Interval at which a silent attempt to connect sends its packet again, in
#: seconds.
_CONNECT_RETRY_S = 0.2

_current: contextvars.ContextVar["Network | None"] = contextvars.ContextVar(
    "network", default=None
)


class CutForm(enum.Enum):
    """What happens to the connections of a cut instance.

    SILENT: nothing arrives any more, and new ones are never opened. RESET:
    they are reset, and new ones are refused. REFUSING: open ones live on, and
    new ones are refused.
    """

    SILENT = "silent"
    RESET = "reset"
    REFUSING = "refusing"


class Network:
    """Network of the instance whose tasks were started in its context.

    Parameters
    ----------
    source : str or None
        Address from which connections are opened; None for any.

    Attributes
    ----------
    cut_addresses : frozenset of Address
        Addresses that are out of reach.
    """

    def __init__(self, *, source: str | None = None) -> None:
        self.source = source
        self.cut_addresses: frozenset[base.Address] = frozenset()
        self._form = CutForm.SILENT
        self._connections: set[_Connection] = set()

    def enter(self) -> None:
        """Make this the network of the current context."""
        _current.set(self)
        _patch(asyncio.get_running_loop())

    def cut(self, addresses: Iterable[base.Address], form: CutForm) -> None:
        """Cut addresses off; they replace those of an earlier cut."""
        self.cut_addresses = frozenset(addresses)
        self._form = form
        for connection in list(self._connections):
            if not self.is_cut(connection.address):
                connection.resume()
            elif form is CutForm.SILENT:
                connection.hold()
            elif form is CutForm.RESET:
                connection.fail(errno.ECONNRESET)

    def heal(self) -> None:
        """End the cut."""
        self.cut([], self._form)

    def is_cut(self, address: base.Address) -> bool:
        """Return whether an address is cut off."""
        return address in self.cut_addresses

    async def wait_for_path(self, address: base.Address) -> None:
        """Wait as an attempt to connect does, or refuse it."""
        while self.is_cut(address):
            if self._form is not CutForm.SILENT:
                raise ConnectionRefusedError(
                    errno.ECONNREFUSED, "refused by the cut"
                )
            await asyncio.sleep(_CONNECT_RETRY_S)

    def add(self, connection: "_Connection") -> None:
        """Register an open connection."""
        self._connections.add(connection)

    def discard(self, connection: "_Connection") -> None:
        """Forget a connection that has ended."""
        self._connections.discard(connection)


def compute_silence_limit_ms(sock: socket.socket) -> tuple[int, int]:
    """Return when the kernel gives up a silent connection.

    As on Linux: a ``TCP_USER_TIMEOUT`` bounds the time for which sent bytes
    stay unacknowledged, and decides in place of the number of keep-alive
    probes when an idle connection has ended. It ends with a probe.

    Returns
    -------
    busy_ms, idle_ms : int
        Time with unacknowledged bytes, and time without; 0 for no limit.
    """

    def read(option: int) -> int:
        return sock.getsockopt(socket.IPPROTO_TCP, option)

    user_timeout_ms = read(socket.TCP_USER_TIMEOUT)
    if not sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE):
        return user_timeout_ms, 0
    idle_ms = read(socket.TCP_KEEPIDLE) * base.MS_PER_S
    interval_ms = read(socket.TCP_KEEPINTVL) * base.MS_PER_S
    probes = read(socket.TCP_KEEPCNT)
    if user_timeout_ms:
        # The first probe leaves at `idle_ms`; the one that finds the timeout
        # exceeded ends the connection.
        missing_ms = max(0, user_timeout_ms - idle_ms)
        probes = max(1, -(-missing_ms // interval_ms))
    return user_timeout_ms, idle_ms + probes * interval_ms


class _Connection(asyncio.Protocol):
    """Stands between a protocol and the transport of its connection."""

    def __init__(
        self,
        *,
        network: Network,
        address: base.Address,
        inner: asyncio.Protocol,
    ) -> None:
        self.address = address
        self.transport: _Transport | None = None
        self._network = network
        self._inner = inner
        self._real: asyncio.Transport | None = None
        self._held: list[Callable[[], object]] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._limits_ms = (0, 0)
        self.is_ended = False

    @property
    def inner(self) -> asyncio.Protocol:
        """The protocol that was asked for."""
        return self._inner

    @property
    def is_held(self) -> bool:
        """Whether nothing passes in either direction."""
        return self._held is not None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._real = transport
        self.transport = _Transport(transport, self)
        self._network.add(self)
        self._inner.connection_made(self.transport)
        self._limits_ms = compute_silence_limit_ms(
            transport.get_extra_info("socket")
        )

    def data_received(self, data: bytes) -> None:
        self._pass_on(lambda: self._inner.data_received(data))

    def eof_received(self) -> bool | None:
        if self.is_held:
            self._held.append(self._inner.eof_received)
            return True
        return self._inner.eof_received()

    def connection_lost(self, error: Exception | None) -> None:
        self._end(error)

    def pause_writing(self) -> None:
        self._inner.pause_writing()

    def resume_writing(self) -> None:
        self._inner.resume_writing()

    def _pass_on(self, deliver: Callable[[], object]) -> None:
        if self.is_ended:
            return
        if self.is_held:
            self._held.append(deliver)
        else:
            deliver()

    def write(self, data: bytes) -> None:
        """Send bytes once the path is open."""
        if self.is_held and self._limits_ms[0]:
            self._start_timer(self._limits_ms[0])
        self._pass_on(lambda: self._real.write(data))

    def hold(self) -> None:
        """Let nothing pass, until the kernel gives the connection up."""
        if self._held is None:
            self._held = []
            if self._limits_ms[1]:
                self._start_timer(self._limits_ms[1])

    def resume(self) -> None:
        """Let everything pass that was held."""
        held, self._held = self._held or [], None
        self._stop_timer()
        for deliver in held:
            deliver()
        if self.is_ended and held:
            self._real.abort()

    def fail(self, number: int) -> None:
        """End the connection with an error, which the peer does not see."""
        self._end(OSError(number, "ended by the cut"))
        if not self.is_held:
            self._real.abort()

    def _start_timer(self, delay_ms: int) -> None:
        loop = asyncio.get_running_loop()
        at = loop.time() + delay_ms / base.MS_PER_S
        if self._timer is None or at < self._timer.when():
            self._stop_timer()
            self._timer = loop.call_at(at, self.fail, errno.ETIMEDOUT)

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def close(self) -> None:
        """Close this side; the peer sees it once the path is open."""
        if self.is_held and not self.is_ended:
            asyncio.get_running_loop().call_soon(self._end, None)
            self._held = [self._real.abort]
        else:
            self._real.abort()

    def _end(self, error: Exception | None) -> None:
        if self.is_ended:
            return
        self.is_ended = True
        self._stop_timer()
        if not self.is_held:
            self._network.discard(self)
        self._inner.connection_lost(error)


class _Transport:
    """Transport whose bytes are held while its address is cut off."""

    def __init__(
        self, real: asyncio.Transport, connection: _Connection
    ) -> None:
        self._real = real
        self._connection = connection
        self._is_closed = False

    def __getattr__(self, name: str) -> object:
        return getattr(self._real, name)

    def write(self, data: bytes) -> None:
        self._connection.write(bytes(data))

    def writelines(self, chunks: Iterable[bytes]) -> None:
        self.write(b"".join(chunks))

    def is_closing(self) -> bool:
        return (
            self._is_closed
            or self._connection.is_ended
            or self._real.is_closing()
        )

    def close(self) -> None:
        self._is_closed = True
        if self._connection.is_held:
            self._connection.close()
        else:
            self._real.close()

    def abort(self) -> None:
        self._is_closed = True
        self._connection.close()


def _patch(loop: asyncio.AbstractEventLoop) -> None:
    """Let the functions that open connections consult the network."""
    if getattr(loop, "has_networks", False):
        return
    loop.has_networks = True
    real_connect, real_create = loop.sock_connect, loop.create_connection

    async def sock_connect(sock: socket.socket, address: tuple) -> None:
        network = _current.get()
        if network is not None:
            await network.wait_for_path(_name_address(address))
            if network.source is not None:
                sock.bind((network.source, 0))
        await real_connect(sock, address)

    async def create_connection(
        factory: Callable[[], asyncio.Protocol],
        host: str | None = None,
        port: int | None = None,
        **options: object,
    ) -> tuple[object, asyncio.Protocol]:
        network = _current.get()
        if network is None:
            return await real_create(factory, host, port, **options)
        peer = (host, port)
        if options.get("sock") is not None:
            peer = options["sock"].getpeername()
        transport, connection = await real_create(
            lambda: _Connection(
                network=network, address=_name_address(peer), inner=factory()
            ),
            host,
            port,
            **options,
        )
        return connection.transport, connection.inner

    loop.sock_connect = sock_connect
    loop.create_connection = create_connection


def _name_address(address: tuple) -> base.Address:
    host, port = address[:2]
    return base.Address(f"{host}:{port}")
