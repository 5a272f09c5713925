"""Network in memory with delays, losses, duplicates and cuts."""

import asyncio
import collections
import random

import msgspec

from tarragonhinge import base
from tarragonhinge import peers
from tarragonhinge.testing import _clock
from tarragonhinge.testing import _probe


#: Period at which a call looks whether its peer is in reach.
PING_PERIOD_MS = 125


class MemoryNetwork:
    """Links between named nodes.

    Parameters
    ----------
    delay_ms : int
        One-way delay.
    jitter_ms : int
        Largest random addition to it; messages may overtake each other.
    loss : float
        Probability that a message is lost.
    duplication : float
        Probability that a message arrives twice.
    seed : int
        Seed of the random number generator.
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
        """Lose all messages from `source` to `target`."""
        self._cuts.add((source, target))

    def cut_both(self, one: str, other: str) -> None:
        """Lose all messages between two nodes."""
        self.cut(one, other)
        self.cut(other, one)

    def heal(self) -> None:
        """Remove all cuts."""
        self._cuts.clear()

    def is_reachable(self, source: str, target: str) -> bool:
        """Return whether a ping from `source` would be answered now."""
        transport = self.transports.get(target)
        return (
            transport is not None
            and transport.clock.is_running()
            and (source, target) not in self._cuts
            and (target, source) not in self._cuts
        )

    async def carry(self, source: str, target: str) -> bool:
        """Wait as long as a message is under way; False if it is lost."""
        delay_ms = self.delay_ms + self.rng.randint(0, self.jitter_ms)
        await asyncio.sleep(delay_ms / base.MS_PER_S)
        if (source, target) in self._cuts:
            return False
        return self.rng.random() >= self.loss

    def duplicates(self) -> bool:
        """Return whether the next message arrives twice."""
        return self.rng.random() < self.duplication


class MemoryTransport(peers.PeerTransport):
    """Transport over a `MemoryNetwork`.

    Parameters
    ----------
    address : Address
        Name of this node.
    network : MemoryNetwork
        The network.
    clock : ManualClock
        Clock of this process; a paused one neither sends nor answers.
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
        """Send a message and return the peer's reply."""
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
        """Return once the peer has been out of reach for too long."""
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
        """Carry a message and its reply; None if either is lost."""
        await self.clock.wait_running()
        self.network.bytes_sent[self.address] += len(kind) + len(body)
        if not await self.network.carry(self.address, address):
            return await _wait_for_ever()
        target = self.network.transports.get(address)
        if target is None:
            return await _wait_for_ever()
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
        if not await self.network.carry(address, self.address):
            return await _wait_for_ever()
        return copy


async def _wait_for_ever() -> None:
    await asyncio.get_running_loop().create_future()
