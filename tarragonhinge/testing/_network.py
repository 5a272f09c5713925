"""In-memory network with delays, losses, duplicates and partitions."""

import asyncio
import collections
import random

import msgspec

from tarragonhinge import base
from tarragonhinge import peers
from tarragonhinge.testing import _clock
from tarragonhinge.testing import _probe


#: Period at which a pending call checks whether its peer is reachable.
PING_PERIOD_MS = 125


class MemoryNetwork:
    """Network between addresses of instances and servers.

    Parameters
    ----------
    delay_ms : int
        One-way delay.
    jitter_ms : int
        Maximum random addition to the delay; with it, messages may arrive
        out of order.
    loss : float
        Probability that a message is lost.
    duplication : float
        Probability that a message to an instance arrives twice.
    seed : int
        Seed of the random number generator.

    Attributes
    ----------
    probe : Probe
        Reports each protocol step of the deployment.
    transports : dict
        Transports of the running instances by address.
    bytes_sent : Counter
        Bytes that each instance has sent to other instances.
    call_count : int
        Number of calls between instances.
    """

    def __init__(
        self,
        *,
        delay_ms: int = 1,
        jitter_ms: int = 0,
        loss: float = 0.0,
        duplication: float = 0.0,
        seed: int = 0,
    ) -> None:
        self.delay_ms = delay_ms
        self.jitter_ms = jitter_ms
        self.loss = loss
        self.duplication = duplication
        self.rng = random.Random(seed)
        self.probe = _probe.Probe()
        self.transports: dict[str, MemoryTransport] = {}
        self.bytes_sent: collections.Counter[str] = collections.Counter()
        self.call_count = 0
        self._cuts: set[tuple[str, str]] = set()

    def cut(self, source: str, target: str) -> None:
        """Drop all messages from `source` to `target`."""
        self._cuts.add((source, target))

    def cut_both(self, one: str, other: str) -> None:
        """Drop all messages between two addresses."""
        self.cut(one, other)
        self.cut(other, one)

    def heal(self) -> None:
        """Remove all cuts."""
        self._cuts.clear()

    def is_reachable(self, source: str, target: str) -> bool:
        """Return whether `target` would answer a ping from `source` now."""
        transport = self.transports.get(target)
        return (
            transport is not None
            and transport.clock.is_running()
            and (source, target) not in self._cuts
            and (target, source) not in self._cuts
        )

    async def deliver(self, source: str, target: str) -> bool:
        """Wait for the delay of a message; return False if it is lost."""
        delay_ms = self.delay_ms + self.rng.randint(0, self.jitter_ms)
        await asyncio.sleep(delay_ms / base.MS_PER_S)
        if (source, target) in self._cuts:
            return False
        return self.rng.random() >= self.loss

    def duplicates(self) -> bool:
        """Return whether the next message is to arrive twice."""
        return self.rng.random() < self.duplication


class MemoryTransport(peers.PeerTransport):
    """Transport over a `MemoryNetwork`.

    Parameters
    ----------
    address : Address
        Address of the instance.
    network : MemoryNetwork
        The network.
    clock : ManualClock
        Clock of the instance; while it is paused, the instance neither
        sends nor answers.
    """

    def __init__(
        self,
        *,
        address: base.Address,
        network: MemoryNetwork,
        clock: _clock.ManualClock,
    ) -> None:
        super().__init__(address=address)
        self.network = network
        self.clock = clock
        self._tasks: set[asyncio.Task] = set()

    async def start(self) -> None:
        """Join the network."""
        self.network.transports[self.address] = self

    async def stop(self) -> None:
        """Leave the network."""
        self.network.transports.pop(self.address, None)

    async def call(
        self,
        address: base.Address,
        message: msgspec.Struct,
        *,
        timeout_ms: int,
    ) -> msgspec.Struct | peers.PeerFailure:
        """Send a message and return the reply, or why there is none."""
        body = peers.encode_message(message)
        kind = peers.get_kind(message)
        self.network.call_count += 1
        exchange = self._spawn(self._exchange(address, kind, body))
        if self.network.duplicates():
            self._spawn(self._exchange(address, kind, body))
        silence = self._spawn(self._wait_silence(address))
        done, _ = await asyncio.wait(
            {exchange, silence},
            timeout=timeout_ms / base.MS_PER_S,
            return_when=asyncio.FIRST_COMPLETED,
        )
        silence.cancel()
        await self.clock.wait_running()
        if exchange in done:
            return exchange.result()
        if silence in done:
            return peers.PeerFailure(reason=peers.FailureReason.LOST)
        return peers.PeerFailure(reason=peers.FailureReason.TIMEOUT)

    async def _wait_silence(self, address: base.Address) -> None:
        """Return when the peer was silent for `peers.SILENCE_TIMEOUT_MS`."""
        silent_ms = 0
        while silent_ms < peers.SILENCE_TIMEOUT_MS:
            await asyncio.sleep(PING_PERIOD_MS / base.MS_PER_S)
            silent_ms += PING_PERIOD_MS
            if self.network.is_reachable(self.address, address):
                silent_ms = 0

    def _spawn(self, coroutine) -> asyncio.Task:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _exchange(
        self, address: base.Address, kind: str, body: bytes
    ) -> msgspec.Struct | None:
        """Deliver a message and return the reply.

        If either is lost, the coroutine never completes, and the caller's
        timeout decides.
        """
        await self.clock.wait_running()
        self.network.bytes_sent[self.address] += len(kind) + len(body)
        if not await self.network.deliver(self.address, address):
            return await _wait_forever()
        target = self.network.transports.get(address)
        if target is None:
            return await _wait_forever()
        message = peers.decode_message(kind, body)
        probe = self.network.probe
        arrived = _probe.Stage.PEER_ARRIVED
        probe.report(arrived, self.address, address, message)
        await target.clock.wait_running()
        reply = await target._handlers[type(message)](message)
        replied = _probe.Stage.PEER_REPLIED
        probe.report(replied, address, self.address, reply)
        await target.clock.wait_running()
        kind = peers.get_kind(reply)
        body = peers.encode_message(reply)
        self.network.bytes_sent[address] += len(kind) + len(body)
        copy = peers.decode_message(kind, body)
        if not await self.network.deliver(address, self.address):
            return await _wait_forever()
        return copy


async def _wait_forever() -> None:
    await asyncio.get_running_loop().create_future()
