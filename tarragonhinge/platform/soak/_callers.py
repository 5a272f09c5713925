"""Load generator with persistent connections that records each attempt."""

import asyncio
import collections
from collections.abc import Coroutine
import itertools
import random
import time

import h11

from tarragonhinge import base
from tarragonhinge import http1
from tarragonhinge.platform.soak import _attempts
from tarragonhinge.platform.soak import _connections
from tarragonhinge.platform.soak import _crashing_requests
from tarragonhinge.platform.soak import _instances
from tarragonhinge.platform.soak import _testbed

#: Statuses which guarantee that the request was not executed.
NOT_EXECUTED_STATUSES = frozenset({408, 421, 429, 503})

#: Interval of the readiness probes and their timeout, in seconds.
_PROBE_INTERVAL_S = 1.0
_PROBE_TIMEOUT_S = 0.3

#: Fractions of the requests that need long work, that are sent on an open
#: connection before earlier responses, and that are followed by others so.
_LONG_RATIO = 0.03
_PIPELINED_RATIO = 0.25
_BURST_RATIO = 0.2

#: Fraction of the requests that open another connection, so that many
#: connections stay idle for some seconds between two requests.
_NEW_CONNECTION_RATIO = 0.5

#: Number of callers that pipeline all the time, and their mean rate.
_STREAM_COUNT = 4
_STREAM_REQUESTS_PER_S = 20.0

#: Largest number of requests of a connection without a response.
_PIPELINE_DEPTH = 4

#: Duration of long work on most routes and on the slow route, in
#: milliseconds.
_LONG_WORK_MS = (300, 1_500)
_SLOW_WORK_MS = (200, 4_000)

#: Interval at which new crashing requests are looked for, in seconds.
_CRASHING_CHECK_S = 0.1

_ATTEMPT_HEADER = "tarragonhinge-request-attempt-id"
_SEAL_HEADER = "tarragonhinge-upstream-seal"

_SAFE_PREFIXES = frozenset(
    {_testbed.KEYED_PREFIX, _testbed.SAFE_PREFIX, _testbed.SLOW_PREFIX}
)


class Callers:
    """Generates requests to the instances that are ready.

    Callers open connections to ready instances only, but use an open
    connection until it is closed.

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
        # With choices of their own, the callers don't change which
        # disturbances a seed chooses.
        self._rng = random.Random(testbed.rng.getrandbits(64))
        self._attempt_numbers = itertools.count(1)
        self._connections: dict[str, list[_connections.CallerConnection]] = (
            collections.defaultdict(list)
        )
        self._clock = base.Clock()
        self._tasks: set[asyncio.Task] = set()
        self.attempts: list[_attempts.Attempt] = []
        self._is_ready_by_name: dict[str, bool] = {}

    async def run(self) -> None:
        """Send requests until cancelled."""
        tasks = [
            asyncio.create_task(self._probe_readiness(instance))
            for instance in self._testbed.instances
        ]
        tasks += [
            asyncio.create_task(self._run_stream())
            for _ in range(_STREAM_COUNT)
        ]
        tasks.append(asyncio.create_task(self._run_crashing_requests()))
        try:
            while True:
                await asyncio.sleep(
                    self._rng.expovariate(self._requests_per_s)
                )
                self._start(self._run_request())
        finally:
            for task in tasks:
                task.cancel()

    def _start(self, coroutine: Coroutine) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def finish(self) -> None:
        """Wait for the requests in flight and close all connections."""
        if self._tasks:
            await asyncio.wait(
                self._tasks, timeout=2 * _attempts.SLOW_DEADLINE_S
            )
        for connections in self._connections.values():
            for connection in connections:
                connection.give_up()

    async def _probe_readiness(
        self, instance: _instances.InstanceProcess
    ) -> None:
        """Probe the readiness of an instance, as a load balancer does."""
        failed_count = 0
        while True:
            is_ready = await self._is_ready(instance)
            failed_count = 0 if is_ready else failed_count + 1
            self._is_ready_by_name[instance.name] = failed_count < 2
            await asyncio.sleep(_PROBE_INTERVAL_S)

    def _list_in_rotation(self) -> list[_instances.InstanceProcess]:
        """Return the instances that get new connections.

        These are all instances if fewer than half are ready, as on the
        platform.
        """
        instances = self._testbed.instances
        ready = [i for i in instances if self._is_ready_by_name.get(i.name)]
        return ready if 2 * len(ready) >= len(instances) else instances

    async def _is_ready(self, instance: _instances.InstanceProcess) -> bool:
        request = http1.HttpRequest(
            method="GET",
            target="/tarragonhinge/readyz",
            fields=[("host", "h"), ("connection", "close")],
        )
        try:
            async with asyncio.timeout(_PROBE_TIMEOUT_S):
                stream = await http1.connect(
                    base.Address(instance.health_address),
                    timeout_ms=int(_PROBE_TIMEOUT_S * 1000),
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
        kind = self._rng.choices(
            [
                _testbed.KEYED_PREFIX,
                _testbed.SAFE_PREFIX,
                _testbed.UNSAFE_PREFIX,
                _testbed.SLOW_PREFIX,
            ],
            weights=[8, 5, 4, 3],
        )[0]
        key = self._rng.randrange(65_536)
        if self._rng.random() < 0.3:
            key = 30_000 + self._rng.randrange(20)
        ends_at = time.monotonic() + _attempts.DEADLINE_S
        for number in range(3):
            attempt = await self._send_to_any(kind, key, is_retry=number > 0)
            if attempt is None or attempt.status == 200:
                return
            is_not_executed = (
                attempt.status in NOT_EXECUTED_STATUSES
                or attempt.ending is _attempts.Ending.UNSENT
            )
            if kind == _testbed.UNSAFE_PREFIX and not is_not_executed:
                return
            if time.monotonic() > ends_at - 1:
                return
            await asyncio.sleep(0.2)

    async def _send_to_any(
        self, kind: str, key: int, *, is_retry: bool
    ) -> _attempts.Attempt | None:
        """Send an attempt to an instance in rotation or connected."""
        in_rotation = self._list_in_rotation()
        instances = [
            instance
            for instance in self._testbed.instances
            if instance in in_rotation
            or (not is_retry and self._list_open(instance))
        ]
        instance = self._rng.choice(instances)
        connections = [] if is_retry else self._list_open(instance)
        idle = [c for c in connections if not c.pending_count]
        busy = [
            c for c in connections if 0 < c.pending_count < _PIPELINE_DEPTH
        ]
        is_safe = kind in _SAFE_PREFIXES
        if busy and is_safe and self._rng.random() < _PIPELINED_RATIO:
            return await self.send_to(
                instance, kind, key, self._rng.choice(busy)
            )
        connection = self._rng.choice(idle) if idle else None
        if instance in in_rotation:
            if self._rng.random() < _NEW_CONNECTION_RATIO:
                connection = None
        elif connection is None:
            return None
        if is_safe and self._rng.random() < _BURST_RATIO and connection:
            self._start(self._run_burst(instance, connection))
        return await self.send_to(instance, kind, key, connection)

    def _list_open(
        self, instance: _instances.InstanceProcess
    ) -> list[_connections.CallerConnection]:
        """Drop closed connections and return the open ones."""
        self._connections[instance.name] = [
            c for c in self._connections[instance.name] if c.is_open
        ]
        return self._connections[instance.name]

    async def _run_burst(
        self,
        instance: _instances.InstanceProcess,
        connection: _connections.CallerConnection,
    ) -> None:
        """Send further safe requests on a connection."""
        for _ in range(self._rng.randint(1, 3)):
            await asyncio.sleep(
                self._rng.choice([0.0, self._rng.uniform(0.0, 0.1)])
            )
            if not connection.is_open:
                return
            self._start(self._send_further(instance, connection))

    async def _run_stream(self) -> None:
        """Pipeline safe requests on one connection after the other."""
        while True:
            await asyncio.sleep(self._rng.expovariate(_STREAM_REQUESTS_PER_S))
            instance = self._rng.choice(self._list_in_rotation())
            try:
                connection = await _connections.connect(
                    instance.callers_address
                )
            except (OSError, TimeoutError):
                continue
            try:
                while connection.is_open:
                    if connection.pending_count < _PIPELINE_DEPTH:
                        self._start(self._send_further(instance, connection))
                    await asyncio.sleep(
                        self._rng.expovariate(_STREAM_REQUESTS_PER_S)
                    )
            finally:
                self._connections[instance.name].append(connection)

    async def _run_crashing_requests(self) -> None:
        """Send the crashing requests of the testbed, each at its rate."""
        known: list[_crashing_requests.CrashingRequest] = []
        while True:
            for request in self._testbed.crashing_requests[len(known) :]:
                known.append(request)
                self._start(self._repeat(request))
            await asyncio.sleep(_CRASHING_CHECK_S)

    async def _repeat(
        self, request: _crashing_requests.CrashingRequest
    ) -> None:
        while request.is_sent:
            instance = self._rng.choice(self._list_in_rotation())
            self._start(
                self.send_to(
                    instance,
                    request.prefix,
                    request.key,
                    target=request.target,
                )
            )
            await asyncio.sleep(
                request.interval_s * self._rng.uniform(0.5, 1.5)
            )

    async def _send_further(
        self,
        instance: _instances.InstanceProcess,
        connection: _connections.CallerConnection,
    ) -> None:
        """Send a short safe request on a connection."""
        kind = self._rng.choice([_testbed.KEYED_PREFIX, _testbed.SAFE_PREFIX])
        await self.send_to(
            instance, kind, self._rng.randrange(65_536), connection
        )

    async def send_to(
        self,
        instance: _instances.InstanceProcess,
        kind: str,
        key: int,
        connection: _connections.CallerConnection | None = None,
        *,
        target: str | None = None,
    ) -> _attempts.Attempt:
        """Send one attempt and record its result.

        A new connection is opened if none is given, and a target of the route
        is chosen.
        """
        attempt = _attempts.Attempt(
            attempt_id=f"a{next(self._attempt_numbers)}",
            kind=kind,
            key=key,
            target=target or f"{kind}x{self._choose_work(kind)}",
            instance=instance,
            sent_at=time.monotonic(),
        )
        self.attempts.append(attempt)
        try:
            async with asyncio.timeout(attempt.deadline_s):
                if connection is None:
                    connection = await _connections.connect(
                        instance.callers_address
                    )
                    self._connections[instance.name].append(connection)
                attempt.is_kept = connection.answered_count > 0
                attempt.is_pipelined = connection.pending_count > 0
                attempt.preceding = connection.last_attempt
                connection.last_attempt = attempt
                attempt.sent_at = time.monotonic()
                response = await (
                    await connection.send(self._make_request(attempt))
                )
                attempt.ending = _attempts.Ending.CLOSED
        except (OSError, TimeoutError):
            response = None
            attempt.ending = (
                _attempts.Ending.GAVE_UP
                if connection
                else _attempts.Ending.UNSENT
            )
        attempt.ended_at = time.monotonic()
        if response is not None:
            attempt.ending = _attempts.Ending.ANSWERED
            attempt.status = response.status
            attempt.body = response.body.decode("latin-1")
            attempt.is_sealed = _SEAL_HEADER in response.fields
        elif attempt.ending is _attempts.Ending.GAVE_UP:
            connection.give_up()
        elif connection is not None and connection.is_given_up:
            attempt.ending = _attempts.Ending.GAVE_UP
        elif connection is not None and connection.is_reset:
            attempt.ending = _attempts.Ending.RESET
        return attempt

    def _make_request(self, attempt: _attempts.Attempt) -> list[h11.Event]:
        method = "POST" if attempt.kind == _testbed.UNSAFE_PREFIX else "GET"
        body = b"order" if method == "POST" else b""
        fields = [
            ("host", _testbed.HOST),
            (_ATTEMPT_HEADER, attempt.attempt_id),
            ("tarragonhinge-deadline-ms", str(int(attempt.deadline_s * 1000))),
            ("tarragonhinge-shard-key", str(attempt.key)),
            ("content-length", str(len(body))),
        ]
        return [
            h11.Request(
                method=method,
                target=attempt.target,
                headers=fields,
            ),
            h11.Data(data=body),
            h11.EndOfMessage(),
        ]

    def _choose_work(self, kind: str) -> str:
        """Return the query that asks for long work, if any."""
        if kind == _testbed.SLOW_PREFIX:
            return f"?work={self._rng.randint(*_SLOW_WORK_MS)}"
        if self._rng.random() < _LONG_RATIO:
            return f"?work={self._rng.randint(*_LONG_WORK_MS)}"
        return ""
