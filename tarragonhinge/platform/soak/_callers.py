"""Callers that keep connections, and what they saw."""

import asyncio
import contextlib
import dataclasses
import itertools
import time

from tarragonhinge import base
from tarragonhinge import http1
from tarragonhinge.platform.soak import _instances
from tarragonhinge.platform.soak import _site

#: Statuses that promise that a request has not run.
PROMISES = frozenset({408, 421, 429, 503})

#: Time that a caller waits for an answer, in seconds.
_DEADLINE_S = 5.0

_ATTEMPT = "tarragonhinge-request-attempt-id"


@dataclasses.dataclass(kw_only=True, slots=True)
class Attempt:
    """One attempt of a caller, and how it ended.

    Parameters
    ----------
    name : str
        Its id.
    kind : str
        Prefix of its path.
    key : int
        Its key.
    instance : InstanceProcess
        Where it was sent.
    sent_at, ended_at : float
        When, in seconds.
    status : int
        Status of the answer; 0 if there was none.
    body : str
        Body of the answer.
    is_sent : bool
        Whether it was written to a connection.
    """

    name: str
    kind: str
    key: int
    instance: _instances.InstanceProcess
    sent_at: float
    ended_at: float = 0.0
    status: int = 0
    body: str = ""
    is_sent: bool = False


class Callers:
    """Sends requests to the instances that are ready.

    Parameters
    ----------
    site : Site
        The site.
    per_s : float
        New requests a second.
    """

    def __init__(self, *, site: _site.Site, per_s: float) -> None:
        self._site = site
        self._per_s = per_s
        self._numbers = itertools.count(1)
        self._idle: dict[str, list[http1.ServerConnection]] = {}
        self._clock = base.Clock()
        self._tasks: set[asyncio.Task] = set()
        self.attempts: list[Attempt] = []
        self.ready: dict[str, bool] = {}

    async def run(self) -> None:
        """Send until cancelled."""
        prober = asyncio.create_task(self._probe())
        try:
            while True:
                await asyncio.sleep(self._site.rng.expovariate(self._per_s))
                task = asyncio.create_task(self._request())
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
        finally:
            prober.cancel()

    async def finish(self) -> None:
        """Wait for the requests that are under way."""
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=2 * _DEADLINE_S)
        for idle in self._idle.values():
            for connection in idle:
                connection.close()

    async def _probe(self) -> None:
        """Ask the instances whether they are ready, as a balancer does."""
        misses: dict[str, int] = {}
        while True:
            for instance in self._site.instances:
                is_ready = await self._is_ready(instance)
                missed = 0 if is_ready else misses.get(instance.name, 0) + 1
                misses[instance.name] = missed
                self.ready[instance.name] = missed < 2
            await asyncio.sleep(0.3)

    async def _is_ready(self, instance: _instances.InstanceProcess) -> bool:
        request = http1.HttpRequest(
            method="GET",
            target="/tarragonhinge/readyz",
            fields=[("host", "h"), ("connection", "close")],
        )
        try:
            async with asyncio.timeout(0.3):
                stream = await http1.connect(
                    base.Address(instance.health), timeout_ms=300
                )
                connection = http1.ServerConnection(
                    stream=stream, clock=self._clock
                )
                answer = await connection.exchange(
                    request, recognize=lambda _: True
                )
                connection.close()
                return answer.status == 200
        except (OSError, TimeoutError, http1.ExchangeError):
            return False

    async def _request(self) -> None:
        """Send a request, and again where that is allowed."""
        rng = self._site.rng
        kind = rng.choice([_site.KEYED, _site.KEYED, _site.SAFE, _site.UNSAFE])
        key = rng.randrange(65_536)
        if rng.random() < 0.3:
            key = 30_000 + rng.randrange(20)
        ends_at = time.monotonic() + _DEADLINE_S
        for _ in range(3):
            attempt = await self._send(kind, key)
            if attempt is None or attempt.status == 200:
                return
            is_promise = attempt.status in PROMISES or not attempt.is_sent
            if kind == _site.UNSAFE and not is_promise:
                return
            if time.monotonic() > ends_at - 1:
                return
            await asyncio.sleep(0.2)

    async def _send(self, kind: str, key: int) -> Attempt | None:
        names = [n for n, ready in self.ready.items() if ready]
        instances = [i for i in self._site.instances if i.name in names]
        if not instances:
            return None
        return await self.send_to(self._site.rng.choice(instances), kind, key)

    async def send_to(
        self, instance: _instances.InstanceProcess, kind: str, key: int
    ) -> Attempt:
        """Send one attempt to an instance and note how it ended."""
        attempt = Attempt(
            name=f"a{next(self._numbers)}",
            kind=kind,
            key=key,
            instance=instance,
            sent_at=time.monotonic(),
        )
        self.attempts.append(attempt)
        connection = None
        keeps = False
        with contextlib.suppress(OSError, TimeoutError, http1.ExchangeError):
            async with asyncio.timeout(_DEADLINE_S):
                connection = await self._take(instance)
                attempt.is_sent = True
                answer = await connection.exchange(
                    self._make_request(attempt), recognize=lambda _: True
                )
                attempt.status = answer.status
                attempt.body = answer.body.decode("latin-1")
                keeps = not answer.closes
        attempt.ended_at = time.monotonic()
        if keeps:
            self._idle.setdefault(instance.name, []).append(connection)
        elif connection is not None:
            connection.close()
        return attempt

    async def _take(
        self, instance: _instances.InstanceProcess
    ) -> http1.ServerConnection:
        idle = self._idle.get(instance.name, [])
        while idle:
            connection = idle.pop()
            if connection.is_reusable():
                return connection
            connection.close()
        stream = await http1.connect(
            base.Address(instance.front), timeout_ms=1_000
        )
        return http1.ServerConnection(stream=stream, clock=self._clock)

    def _make_request(self, attempt: Attempt) -> http1.HttpRequest:
        method = "POST" if attempt.kind == _site.UNSAFE else "GET"
        return http1.HttpRequest(
            method=method,
            target=f"{attempt.kind}x",
            fields=[
                ("host", _site.HOST),
                (_ATTEMPT, attempt.name),
                ("tarragonhinge-deadline-ms", str(int(_DEADLINE_S * 1000))),
                ("tarragonhinge-shard-key", str(attempt.key)),
            ],
            body=b"order" if method == "POST" else b"",
        )
