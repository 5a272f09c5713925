"""Load generator with persistent connections that records each attempt."""

import asyncio
import contextlib
import dataclasses
import itertools
import time

from tarragonhinge import base
from tarragonhinge import http1
from tarragonhinge.platform.soak import _instances
from tarragonhinge.platform.soak import _testbed

#: Statuses which guarantee that the request was not executed.
NOT_EXECUTED_STATUSES = frozenset({408, 421, 429, 503})

#: Time that a caller waits for a response, in seconds.
_DEADLINE_S = 5.0

_ATTEMPT_HEADER = "tarragonhinge-request-attempt-id"


@dataclasses.dataclass(kw_only=True, slots=True)
class Attempt:
    """One attempt of a caller and its result.

    Parameters
    ----------
    attempt_id : str
        Id of the attempt.
    kind : str
        Path prefix of the route.
    key : int
        Shard key.
    instance : InstanceProcess
        Instance that the attempt was sent to.
    sent_at, ended_at : float
        Monotonic times of the start and the end, in seconds.
    status : int
        Status of the response; 0 if there was none.
    body : str
        Body of the response.
    is_sent : bool
        Whether a connection was obtained, so that the request may have been
        sent.
    """

    attempt_id: str
    kind: str
    key: int
    instance: _instances.InstanceProcess
    sent_at: float
    ended_at: float = 0.0
    status: int = 0
    body: str = ""
    is_sent: bool = False


class Callers:
    """Generates requests to the instances that are ready.

    Parameters
    ----------
    testbed : Testbed
        Instances, backend servers and source of random choices.
    requests_per_s : float
        Mean rate of new requests.
    """

    def __init__(
        self, *, testbed: _testbed.Testbed, requests_per_s: float
    ) -> None:
        self._testbed = testbed
        self._requests_per_s = requests_per_s
        self._attempt_numbers = itertools.count(1)
        self._idle: dict[str, list[http1.ServerConnection]] = {}
        self._clock = base.Clock()
        self._tasks: set[asyncio.Task] = set()
        self.attempts: list[Attempt] = []
        self.ready: dict[str, bool] = {}

    async def run(self) -> None:
        """Send requests until cancelled."""
        prober = asyncio.create_task(self._probe_readiness())
        try:
            while True:
                await asyncio.sleep(
                    self._testbed.rng.expovariate(self._requests_per_s)
                )
                task = asyncio.create_task(self._run_request())
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
        finally:
            prober.cancel()

    async def finish(self) -> None:
        """Wait for the requests in flight and close all connections."""
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=2 * _DEADLINE_S)
        for idle in self._idle.values():
            for connection in idle:
                connection.close()

    async def _probe_readiness(self) -> None:
        """Probe the readiness of the instances, as a load balancer does."""
        failed_probes: dict[str, int] = {}
        while True:
            for instance in self._testbed.instances:
                is_ready = await self._is_ready(instance)
                count = (
                    0 if is_ready else failed_probes.get(instance.name, 0) + 1
                )
                failed_probes[instance.name] = count
                self.ready[instance.name] = count < 2
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
                    base.Address(instance.health_address), timeout_ms=300
                )
                connection = http1.ServerConnection(
                    stream=stream, clock=self._clock
                )
                response = await connection.exchange(
                    request, recognize=lambda _: True
                )
                connection.close()
                return response.status == 200
        except (OSError, TimeoutError, http1.ExchangeError):
            return False

    async def _run_request(self) -> None:
        """Send a request and retry it if it can't be executed twice."""
        rng = self._testbed.rng
        kind = rng.choice(
            [
                _testbed.KEYED_PREFIX,
                _testbed.KEYED_PREFIX,
                _testbed.SAFE_PREFIX,
                _testbed.UNSAFE_PREFIX,
            ]
        )
        key = rng.randrange(65_536)
        if rng.random() < 0.3:
            key = 30_000 + rng.randrange(20)
        ends_at = time.monotonic() + _DEADLINE_S
        for _ in range(3):
            attempt = await self._send_to_ready(kind, key)
            if attempt is None or attempt.status == 200:
                return
            is_not_executed = (
                attempt.status in NOT_EXECUTED_STATUSES or not attempt.is_sent
            )
            if kind == _testbed.UNSAFE_PREFIX and not is_not_executed:
                return
            if time.monotonic() > ends_at - 1:
                return
            await asyncio.sleep(0.2)

    async def _send_to_ready(self, kind: str, key: int) -> Attempt | None:
        names = [n for n, ready in self.ready.items() if ready]
        instances = [i for i in self._testbed.instances if i.name in names]
        if not instances:
            return None
        return await self.send_to(
            self._testbed.rng.choice(instances), kind, key
        )

    async def send_to(
        self, instance: _instances.InstanceProcess, kind: str, key: int
    ) -> Attempt:
        """Send one attempt to an instance and record its result."""
        attempt = Attempt(
            attempt_id=f"a{next(self._attempt_numbers)}",
            kind=kind,
            key=key,
            instance=instance,
            sent_at=time.monotonic(),
        )
        self.attempts.append(attempt)
        connection = None
        keep_open = False
        with contextlib.suppress(OSError, TimeoutError, http1.ExchangeError):
            async with asyncio.timeout(_DEADLINE_S):
                connection = await self._acquire_connection(instance)
                attempt.is_sent = True
                response = await connection.exchange(
                    self._make_request(attempt), recognize=lambda _: True
                )
                attempt.status = response.status
                attempt.body = response.body.decode("latin-1")
                keep_open = not response.closes
        attempt.ended_at = time.monotonic()
        if keep_open:
            self._idle.setdefault(instance.name, []).append(connection)
        elif connection is not None:
            connection.close()
        return attempt

    async def _acquire_connection(
        self, instance: _instances.InstanceProcess
    ) -> http1.ServerConnection:
        idle = self._idle.get(instance.name, [])
        while idle:
            connection = idle.pop()
            if connection.is_reusable():
                return connection
            connection.close()
        stream = await http1.connect(
            base.Address(instance.callers_address), timeout_ms=1_000
        )
        return http1.ServerConnection(stream=stream, clock=self._clock)

    def _make_request(self, attempt: Attempt) -> http1.HttpRequest:
        method = "POST" if attempt.kind == _testbed.UNSAFE_PREFIX else "GET"
        return http1.HttpRequest(
            method=method,
            target=f"{attempt.kind}x",
            fields=[
                ("host", _testbed.HOST),
                (_ATTEMPT_HEADER, attempt.attempt_id),
                ("tarragonhinge-deadline-ms", str(int(_DEADLINE_S * 1000))),
                ("tarragonhinge-shard-key", str(attempt.key)),
            ],
            body=b"order" if method == "POST" else b"",
        )
