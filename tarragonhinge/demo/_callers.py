"""Callers of the demonstration."""

import asyncio
import collections
import dataclasses

import aiohttp
import uuid6

from tarragonhinge import base
from tarragonhinge.demo import _deployment
from tarragonhinge import routing
from tarragonhinge import servers

#: Think time of a caller between two requests.
THINK_TIME_MS = 20

#: Deadline of each request, relative to its start.
REQUEST_DEADLINE_MS = 1500


@dataclasses.dataclass(kw_only=True)
class RequestStats:
    """Results of the requests that callers sent.

    Parameters
    ----------
    outcomes : Counter
        Number of requests by outcome.
    violations : list of str
        Descriptions of violated guarantees.
    answered_at : dict
        Instant of the last answered request for each key, in milliseconds.
    longest_gap_ms : dict
        Longest time between two consecutive answered requests for each
        key, in milliseconds.
    """

    outcomes: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    violations: list[str] = dataclasses.field(default_factory=list)
    answered_at: dict[str, int] = dataclasses.field(default_factory=dict)
    longest_gap_ms: dict[str, int] = dataclasses.field(default_factory=dict)

    def record_answer(self, key: str, now: int) -> None:
        """Record that a request for a key was answered at `now`."""
        gap_ms = now - self.answered_at.get(key, now)
        self.answered_at[key] = now
        longest_ms = max(self.longest_gap_ms.get(key, 0), gap_ms)
        self.longest_gap_ms[key] = longest_ms

    def pop_longest_gap_ms(self) -> int:
        """Return the longest gap of any key, in milliseconds, and reset it."""
        longest_ms = max(self.longest_gap_ms.values(), default=0)
        self.longest_gap_ms.clear()
        return longest_ms


class Callers:
    """Sends requests to randomly chosen instances that are ready.

    Parameters
    ----------
    deployment : Deployment
        Deployment that receives the requests.
    """

    def __init__(self, *, deployment: _deployment.Deployment) -> None:
        self.stats = RequestStats()
        self._deployment = deployment
        self._clock = base.Clock()
        self._session: aiohttp.ClientSession | None = None
        self._tasks: list[asyncio.Task] = []
        self._stopping = False

    async def start(self, keys: list[str]) -> None:
        """Start one caller per key, which sends GET requests for it."""
        self._session = aiohttp.ClientSession()
        self._tasks = [
            asyncio.create_task(self._read_repeatedly(key)) for key in keys
        ]

    async def stop(self) -> None:
        """Wait until the callers have finished their last requests."""
        self._stopping = True
        await asyncio.gather(*self._tasks)
        await self._session.close()

    async def _read_repeatedly(self, key: str) -> None:
        while not self._stopping:
            answered, _ = await self.send("GET", key)
            if answered:
                self.stats.record_answer(key, self._clock.now())
            await self._clock.sleep(THINK_TIME_MS)

    async def send_order(
        self, key: str, idempotency_key: str
    ) -> tuple[bool, bool]:
        """Send a non-idempotent order; return ``(answered, replayed)``."""
        return await self.send("POST", key, idempotency_key)

    async def send(
        self, method: str, key: str, idempotency_key: str = ""
    ) -> tuple[bool, bool]:
        """Send a request; return ``(answered, replayed)``."""
        ready_instances = self._deployment.list_ready_instances()
        if not ready_instances:
            self.stats.outcomes["no_instance_ready"] += 1
            return False, False
        instance = self._deployment.rng.choice(ready_instances)
        path = f"/{_deployment.SERVICE}/{key}"
        headers = {servers.HEADER_DEADLINE_MS: str(REQUEST_DEADLINE_MS)}
        if idempotency_key:
            headers[servers.HEADER_IDEMPOTENCY_KEY] = idempotency_key
        try:
            async with self._session.request(
                method,
                f"http://{instance.options.callers}{path}",
                headers=headers,
            ) as response:
                text = await response.text()
        except aiohttp.ClientError:
            self.stats.outcomes["connection_lost"] += 1
            return False, False
        outcome = response.headers.get(routing.HEADER_OUTCOME, "none")
        self.stats.outcomes[outcome] += 1
        if outcome == "answered" and f" {method} {path} " not in text:
            self.stats.violations.append(f"{method} {path} got {text!r}")
        replayed = routing.HEADER_REPLAYED in response.headers
        return outcome == "answered", replayed


def make_idempotency_key() -> str:
    """Return a new UUIDv7."""
    return str(uuid6.uuid7())
