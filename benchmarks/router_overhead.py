"""Measures the overhead of the router over a direct call, on loopback.

Run as ``python benchmarks/router_overhead.py``.  Callers, entries, servers and
platform share one process and so one core: only the ratios between the request
paths are meaningful, not the absolute rates.
"""

import asyncio
import logging as standard_logging
import time

from absl import logging
import aiohttp
from hdrh import histogram

from tarragonhinge import base
from tarragonhinge import routing
from tarragonhinge import servers

# The benchmark runs on the deployment of the demonstration.
from tarragonhinge.demo import _callers
from tarragonhinge.demo import _deployment

ROUNDS = 5
REQUESTS_PER_ROUND = 400
#: At most 2: a server runs two requests at once and direct calls do not queue.
CONCURRENCIES = (1, 2)
KEYS = [f"parcel-{number}" for number in range(64)]


class RequestPath:
    """One path of requests to the servers, with its measurements.

    Parameters
    ----------
    name : str
        Name of the path in the report.
    url : callable
        Returns the URL for a key.
    headers : callable
        Returns the header fields for a key.
    method : str
        HTTP method.
    """

    def __init__(self, *, name, url, headers=lambda key: {}, method="GET"):
        self.name = name
        self.method = method
        self.url = url
        self.headers = headers
        self.latency = histogram.HdrHistogram(1, 60_000_000, 3)
        self.rounds_s: list[float] = []

    @property
    def elapsed_s(self) -> float:
        """Return the total duration of all rounds."""
        return sum(self.rounds_s)

    async def send(self, session: aiohttp.ClientSession, key: str) -> None:
        """Send one request and record its latency."""
        started = time.perf_counter()
        async with session.request(
            self.method, self.url(key), headers=self.headers(key)
        ) as response:
            body = await response.read()
        if response.status != 200 or key.encode() not in body:
            raise RuntimeError(
                f"{self.name}: unexpected response {response.status} {body!r}"
            )
        latency_us = (time.perf_counter() - started) * 1e6
        self.latency.record_value(int(latency_us))

    async def run(self, session, concurrency: int) -> None:
        """Send one round of requests and record its duration."""
        started = time.perf_counter()

        async def send_every_nth(first: int) -> None:
            for number in range(first, REQUESTS_PER_ROUND, concurrency):
                await self.send(session, KEYS[number % len(KEYS)])

        await asyncio.gather(*(send_every_nth(n) for n in range(concurrency)))
        self.rounds_s.append(time.perf_counter() - started)


def make_request_paths(
    deployment: _deployment.Deployment,
) -> list[RequestPath]:
    """Return the request paths to compare; the first is the direct call."""
    leader = deployment.find_leader()
    shard = base.make_shard_id(_deployment.SERVICE, _deployment.REGION)
    shard_leader = leader.daemon.coordinator.leaders[shard]
    other_entry = next(
        entry for entry in deployment.demo_instances if entry is not leader
    )
    server_addresses = {e.server: e.address for e in shard_leader.row.servers}

    def find_fence(key: str) -> servers.Fence:
        location = routing.locate_key(shard_leader.row, key)
        return shard_leader.owners.make_fence(location.partition)

    def direct_url(key: str) -> str:
        fence = find_fence(key)
        owner = shard_leader.record.owners[fence.partition].server
        return f"http://{server_addresses[owner]}/{_deployment.SERVICE}/{key}"

    def direct_headers(key: str) -> dict[str, str]:
        fence = find_fence(key)
        return {
            servers.HEADER_SHARD: fence.shard,
            servers.HEADER_PARTITION: str(fence.partition),
            servers.HEADER_TERM: str(fence.term),
            servers.HEADER_EPOCH: str(fence.epoch),
        }

    def make_url(entry: _deployment.DemoInstance):
        address = entry.options.callers
        return lambda key: f"http://{address}/{_deployment.SERVICE}/{key}"

    def make_key_header(key: str) -> dict[str, str]:
        idempotency_key = _callers.make_idempotency_key()
        return {servers.HEADER_IDEMPOTENCY_KEY: idempotency_key}

    return [
        RequestPath(name="direct", url=direct_url, headers=direct_headers),
        RequestPath(name="entry is leader", url=make_url(leader)),
        RequestPath(name="entry apart", url=make_url(other_entry)),
        RequestPath(
            name="entry apart, keyed order",
            url=make_url(other_entry),
            headers=make_key_header,
            method="POST",
        ),
    ]


def print_paths(paths: list[RequestPath], concurrency: int) -> None:
    """Print rates and latencies, and their ratios to the first path."""
    direct = paths[0]
    print(
        f"concurrency {concurrency}, "
        f"{ROUNDS} x {REQUESTS_PER_ROUND} requests a way"
    )
    for path in paths:
        rate = ROUNDS * REQUESTS_PER_ROUND / path.elapsed_s
        p50 = path.latency.get_value_at_percentile(50)
        p99 = path.latency.get_value_at_percentile(99)
        added_us = p50 - direct.latency.get_value_at_percentile(50)
        print(
            f"  {path.name:25} {rate:7.0f} requests/s "
            f"({direct.elapsed_s / path.elapsed_s:4.2f} of direct)  "
            f"p50 {p50:6} us (+{added_us})  p99 {p99:6} us "
            f"({p99 / direct.latency.get_value_at_percentile(99):4.2f})"
        )


async def measure(concurrencies=CONCURRENCIES) -> dict[int, list[RequestPath]]:
    """Run all paths in turn for `ROUNDS` rounds, at each concurrency."""
    measured = {}
    deployment = _deployment.Deployment(service_ms=0)
    await deployment.start()
    async with aiohttp.ClientSession() as session:
        await asyncio.sleep(2)
        for concurrency in concurrencies:
            paths = make_request_paths(deployment)
            for path in paths:
                await path.run(session, concurrency)
                path.rounds_s.clear()
                path.latency.reset()
            for _ in range(ROUNDS):
                for path in paths:
                    await path.run(session, concurrency)
            measured[concurrency] = paths
    await deployment.stop()
    return measured


if __name__ == "__main__":
    logging.set_verbosity(logging.WARNING)
    standard_logging.getLogger("aiohttp").setLevel("ERROR")
    for concurrency, paths in asyncio.run(measure()).items():
        print_paths(paths, concurrency)
