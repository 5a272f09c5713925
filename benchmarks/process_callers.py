"""Callers of the processes: reads of all keys, and keyed orders."""

import asyncio
import collections
import random
import time

import aiohttp
import process_deployment
import uuid6

from tarragonhinge import routing
from tarragonhinge import servers

KEYS = [f"parcel-{number}" for number in range(24)]
THINK_S = 0.08
ORDERERS = 4

#: Deadline of a request; an unserved key is probed about this often.
DEADLINE_MS = 400
CLIENT_TIMEOUT_S = 0.6

#: An order is repeated for this long, then given up.
REPEAT_S = 6.0


class Callers:
    """Sends requests through the daemons that are ready.

    Parameters
    ----------
    site : Site
        Where to send them.
    """

    def __init__(self, *, site: process_deployment.Site) -> None:
        self.outcomes: collections.Counter[str] = collections.Counter()
        self.broken: list[str] = []
        self.answered_orders: set[str] = set()
        self.given_up = 0
        self.served_at: dict[str, float] = {}
        self._longest_s: dict[str, float] = {}
        self._site = site
        self._rng = random.Random(1)
        self._tasks: list[asyncio.Task] = []
        self._stopping = False
        self._session: aiohttp.ClientSession | None = None

    def start(self) -> None:
        """Start a reader for each key, and the orderers."""
        timeout = aiohttp.ClientTimeout(total=CLIENT_TIMEOUT_S)
        self._session = aiohttp.ClientSession(timeout=timeout)
        self.begin()
        work = [self._keep_reading(key) for key in KEYS]
        work += [self._keep_ordering(n) for n in range(ORDERERS)]
        self._tasks = [asyncio.create_task(w) for w in work]

    async def stop(self) -> None:
        """Let the callers finish their last requests."""
        self._stopping = True
        await asyncio.gather(*self._tasks)
        if self._session is not None:
            await self._session.close()

    def begin(self) -> None:
        """Start to measure anew."""
        now = time.monotonic()
        self.served_at = dict.fromkeys(KEYS, now)
        self._longest_s = dict.fromkeys(KEYS, 0.0)
        self.outcomes.clear()

    def find_longest_ms(self) -> int:
        """Return the longest time for which a key was not answered."""
        now = time.monotonic()
        longest_s = max(
            max(self._longest_s[key], now - self.served_at[key])
            for key in KEYS
        )
        return round(longest_s * 1000)

    async def _keep_reading(self, key: str) -> None:
        while not self._stopping:
            if await self._send("GET", key):
                now = time.monotonic()
                gap_s = now - self.served_at[key]
                self._longest_s[key] = max(self._longest_s[key], gap_s)
                self.served_at[key] = now
            await asyncio.sleep(THINK_S)

    async def _keep_ordering(self, first: int) -> None:
        number = first
        while not self._stopping:
            await self._order(KEYS[number % len(KEYS)])
            number += ORDERERS + 1
            await asyncio.sleep(THINK_S)

    async def _order(self, key: str) -> None:
        """Repeat an order under its key until it is answered."""
        name = str(uuid6.uuid7())
        until = time.monotonic() + REPEAT_S
        while time.monotonic() < until:
            if await self._send("POST", key, name):
                self.answered_orders.add(name)
                return
            await asyncio.sleep(THINK_S)
        self.given_up += 1

    async def _send(self, method: str, key: str, name: str = "") -> bool:
        """Send a request; return whether a server answered it."""
        ready = [p for p in self._site.daemons if p.ready]
        if not ready:
            self.outcomes["no_entry"] += 1
            return False
        entry = self._rng.choice(ready)
        path = f"/{process_deployment.SERVICE}/{key}"
        headers = {servers.HEADER_DEADLINE_MS: str(DEADLINE_MS)}
        if name:
            headers[servers.HEADER_IDEMPOTENCY_KEY] = name
        try:
            async with self._session.request(
                method, f"http://{entry.address}{path}", headers=headers
            ) as answer:
                text = await answer.text()
        except aiohttp.ClientConnectorError:
            self.outcomes["refused"] += 1
            return False
        except (aiohttp.ClientError, TimeoutError, OSError):
            self.outcomes["lost"] += 1
            return False
        outcome = answer.headers.get(routing.HEADER_OUTCOME, "none")
        self.outcomes[outcome] += 1
        if outcome != "answered":
            return False
        if answer.status != 200 or f" {method} {path} " not in text:
            self.broken.append(f"{method} {path}: {answer.status} {text!r}")
        return True
