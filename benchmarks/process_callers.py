"""Callers that read all keys and send orders with idempotency keys."""

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
REQUEST_INTERVAL_S = 0.08
ORDER_SENDER_COUNT = 4

#: Deadline of a request; about the interval of attempts on an unserved key.
DEADLINE_MS = 400
CLIENT_TIMEOUT_S = 0.6

#: Time for which an order without an answer is repeated.
REPEAT_FOR_S = 6.0


class Callers:
    """Sends requests to the daemons that are ready.

    Parameters
    ----------
    deployment : Deployment
        Deployment that receives the requests.

    Attributes
    ----------
    outcomes : Counter
        Number of attempts by outcome since the last reset.
    violations : list of str
        Responses that do not belong to their request.
    answered_orders : set of str
        Idempotency keys of the answered orders.
    given_up : int
        Number of orders that were not answered within `REPEAT_FOR_S`.
    served_at : dict
        Monotonic time of the last answered read of each key, in seconds;
        initially that of the last reset.
    """

    def __init__(self, *, deployment: process_deployment.Deployment) -> None:
        self.outcomes: collections.Counter[str] = collections.Counter()
        self.violations: list[str] = []
        self.answered_orders: set[str] = set()
        self.given_up = 0
        self.served_at: dict[str, float] = {}
        self._longest_unserved_s: dict[str, float] = {}
        self._deployment = deployment
        self._rng = random.Random(1)
        self._tasks: list[asyncio.Task] = []
        self._stopping = False
        self._session: aiohttp.ClientSession | None = None

    def start(self) -> None:
        """Start one reader per key and the senders of orders."""
        timeout = aiohttp.ClientTimeout(total=CLIENT_TIMEOUT_S)
        self._session = aiohttp.ClientSession(timeout=timeout)
        self.reset_measurements()
        coroutines = [self._keep_reading(key) for key in KEYS]
        coroutines += [
            self._keep_ordering(n) for n in range(ORDER_SENDER_COUNT)
        ]
        self._tasks = [
            asyncio.create_task(coroutine) for coroutine in coroutines
        ]

    async def stop(self) -> None:
        """Stop after the requests in flight have finished."""
        self._stopping = True
        await asyncio.gather(*self._tasks)
        if self._session is not None:
            await self._session.close()

    def reset_measurements(self) -> None:
        """Reset the outcomes and the times for which keys were unserved."""
        now = time.monotonic()
        self.served_at = dict.fromkeys(KEYS, now)
        self._longest_unserved_s = dict.fromkeys(KEYS, 0.0)
        self.outcomes.clear()

    def get_longest_unserved_ms(self) -> int:
        """Return the longest time for which a key got no answer, in ms."""
        now = time.monotonic()
        longest_s = max(
            max(self._longest_unserved_s[key], now - self.served_at[key])
            for key in KEYS
        )
        return round(longest_s * 1000)

    async def _keep_reading(self, key: str) -> None:
        while not self._stopping:
            if await self._send("GET", key):
                now = time.monotonic()
                unserved_s = now - self.served_at[key]
                self._longest_unserved_s[key] = max(
                    self._longest_unserved_s[key], unserved_s
                )
                self.served_at[key] = now
            await asyncio.sleep(REQUEST_INTERVAL_S)

    async def _keep_ordering(self, first_number: int) -> None:
        number = first_number
        while not self._stopping:
            await self._order(KEYS[number % len(KEYS)])
            number += ORDER_SENDER_COUNT + 1
            await asyncio.sleep(REQUEST_INTERVAL_S)

    async def _order(self, key: str) -> None:
        """Repeat an order with its idempotency key until it is answered."""
        idempotency_key = str(uuid6.uuid7())
        give_up_at = time.monotonic() + REPEAT_FOR_S
        while time.monotonic() < give_up_at:
            if await self._send("POST", key, idempotency_key):
                self.answered_orders.add(idempotency_key)
                return
            await asyncio.sleep(REQUEST_INTERVAL_S)
        self.given_up += 1

    async def _send(
        self, method: str, key: str, idempotency_key: str = ""
    ) -> bool:
        """Send a request and return whether a backend server answered it."""
        ready = [p for p in self._deployment.daemons if p.ready]
        if not ready:
            self.outcomes["no_entry"] += 1
            return False
        entry = self._rng.choice(ready)
        path = f"/{process_deployment.SERVICE}/{key}"
        headers = {servers.HEADER_DEADLINE_MS: str(DEADLINE_MS)}
        if idempotency_key:
            headers[servers.HEADER_IDEMPOTENCY_KEY] = idempotency_key
        try:
            async with self._session.request(
                method, f"http://{entry.address}{path}", headers=headers
            ) as response:
                text = await response.text()
        except aiohttp.ClientConnectorError:
            self.outcomes["refused"] += 1
            return False
        except (aiohttp.ClientError, TimeoutError, OSError):
            self.outcomes["lost"] += 1
            return False
        outcome = response.headers.get(routing.HEADER_OUTCOME, "none")
        self.outcomes[outcome] += 1
        if outcome != "answered":
            return False
        if response.status != 200 or f" {method} {path} " not in text:
            self.violations.append(
                f"{method} {path}: {response.status} {text!r}"
            )
        return True
