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

#: Pause of a caller between two requests.
THINK_MS = 20

#: Deadline of a request in the demonstration.
DEADLINE_MS = 1500


@dataclasses.dataclass(kw_only=True)
class Tally:
    """What callers saw.

    Parameters
    ----------
    outcomes : Counter
        Answers by outcome.
    broken : list of str
        Promises that were broken.
    served_at : dict
        Clock reading at which each key was last answered, and the
        longest time between two answers.
    """

    outcomes: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    broken: list[str] = dataclasses.field(default_factory=list)
    served_at: dict[str, int] = dataclasses.field(default_factory=dict)
    longest_gap_ms: dict[str, int] = dataclasses.field(default_factory=dict)

    def record_answer(self, key: str, now: int) -> None:
        """Note that a key was answered."""
        gap_ms = now - self.served_at.get(key, now)
        self.served_at[key] = now
        longest = max(self.longest_gap_ms.get(key, 0), gap_ms)
        self.longest_gap_ms[key] = longest

    def take_longest_gap(self) -> int:
        """Return the longest gap of any key and start anew."""
        longest = max(self.longest_gap_ms.values(), default=0)
        self.longest_gap_ms.clear()
        return longest


class Callers:
    """Sends requests through whichever entries are ready.

    Parameters
    ----------
    site : Deployment
        Where to send them.
    """

    def __init__(self, *, site: _deployment.Deployment) -> None:
        self.tally = Tally()
        self._site = site
        self._clock = base.Clock()
        self._session: aiohttp.ClientSession | None = None
        self._tasks: list[asyncio.Task] = []
        self._stopping = False

    async def start(self, keys: list[str]) -> None:
        """Start one caller for each key."""
        self._session = aiohttp.ClientSession()
        self._tasks = [
            asyncio.create_task(self._keep_reading(key)) for key in keys
        ]

    async def stop(self) -> None:
        """Let the callers finish their last requests."""
        self._stopping = True
        await asyncio.gather(*self._tasks)
        await self._session.close()

    async def _keep_reading(self, key: str) -> None:
        while not self._stopping:
            answered, _ = await self.send("GET", key)
            if answered:
                self.tally.record_answer(key, self._clock.now())
            await self._clock.sleep(THINK_MS)

    async def order(self, key: str, idempotency_key: str) -> tuple[bool, bool]:
        """Send a non-idempotent order; return (answered, replayed)."""
        return await self.send("POST", key, idempotency_key)

    async def send(
        self, method: str, key: str, idempotency_key: str = ""
    ) -> tuple[bool, bool]:
        """Send a request; return (answered, replayed)."""
        ready = self._site.list_ready()
        if not ready:
            self.tally.outcomes["no_entry"] += 1
            return False, False
        entry = self._site.rng.choice(ready)
        path = f"/{_deployment.SERVICE}/{key}"
        headers = {servers.HEADER_DEADLINE_MS: str(DEADLINE_MS)}
        if idempotency_key:
            headers[servers.HEADER_IDEMPOTENCY_KEY] = idempotency_key
        try:
            async with self._session.request(
                method,
                f"http://{entry.options.callers}{path}",
                headers=headers,
            ) as answer:
                text = await answer.text()
        except aiohttp.ClientError:
            self.tally.outcomes["connection_lost"] += 1
            return False, False
        outcome = answer.headers.get(routing.HEADER_OUTCOME, "none")
        self.tally.outcomes[outcome] += 1
        if outcome == "answered" and f" {method} {path} " not in text:
            self.tally.broken.append(f"{method} {path} got {text!r}")
        replayed = routing.HEADER_REPLAYED in answer.headers
        return outcome == "answered", replayed


def make_idempotency_key() -> str:
    """Return a fresh UUIDv7."""
    return str(uuid6.uuid7())
