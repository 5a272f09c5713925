"""Measures what the router adds to a direct call, on loopback.

Callers, entries, servers and platform share one process, so that rates are
those of one core and only the ratios between the ways tell anything.
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

# The demonstration's deployment serves here too.
from tarragonhinge.demo import _callers
from tarragonhinge.demo import _deployment

ROUNDS = 5
REQUESTS = 400
#: A server takes two requests at once, and a direct call has no queue.
CONCURRENCIES = (1, 2)
KEYS = [f"parcel-{number}" for number in range(64)]


class Way:
    """One way to send a request, with what was measured on it.

    Parameters
    ----------
    name : str
        Its name in the report.
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
        self.times = histogram.HdrHistogram(1, 60_000_000, 3)
        self.rounds_s: list[float] = []

    @property
    def elapsed_s(self) -> float:
        """Return the time that all rounds took."""
        return sum(self.rounds_s)

    async def send(self, session: aiohttp.ClientSession, key: str) -> None:
        """Send one request and record how long it took."""
        started = time.perf_counter()
        async with session.request(
            self.method, self.url(key), headers=self.headers(key)
        ) as answer:
            body = await answer.read()
        if answer.status != 200 or key.encode() not in body:
            raise RuntimeError(f"{self.name}: {answer.status} {body!r}")
        took_us = (time.perf_counter() - started) * 1e6
        self.times.record_value(int(took_us))

    async def run(self, session, concurrency: int) -> None:
        """Send a round of requests."""
        started = time.perf_counter()

        async def work(first: int) -> None:
            for number in range(first, REQUESTS, concurrency):
                await self.send(session, KEYS[number % len(KEYS)])

        await asyncio.gather(*(work(n) for n in range(concurrency)))
        self.rounds_s.append(time.perf_counter() - started)


def make_ways(site: _deployment.Deployment) -> list[Way]:
    """Return the ways that are compared; the first is the direct call."""
    leader = site.find_leader()
    shard = base.make_shard_id(_deployment.SERVICE, _deployment.REGION)
    led = leader.daemon.coordinator.leaders[shard]
    apart = next(entry for entry in site.demo_instances if entry is not leader)
    listed = {e.server: e.address for e in led.row.servers}

    def find_fence(key: str) -> servers.Fence:
        place = routing.locate_key(led.row, key)
        return led.owners.make_fence(place.partition)

    def direct_url(key: str) -> str:
        fence = find_fence(key)
        owner = led.record.owners[fence.partition].server
        return f"http://{listed[owner]}/{_deployment.SERVICE}/{key}"

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
        name = _callers.make_idempotency_key()
        return {servers.HEADER_IDEMPOTENCY_KEY: name}

    return [
        Way(name="direct", url=direct_url, headers=direct_headers),
        Way(name="entry is leader", url=make_url(leader)),
        Way(name="entry apart", url=make_url(apart)),
        Way(
            name="entry apart, keyed order",
            url=make_url(apart),
            headers=make_key_header,
            method="POST",
        ),
    ]


def report(ways: list[Way], concurrency: int) -> None:
    """Print rates and latencies, and their ratios to the first way."""
    first = ways[0]
    print(f"concurrency {concurrency}, {ROUNDS} x {REQUESTS} requests a way")
    for way in ways:
        rate = ROUNDS * REQUESTS / way.elapsed_s
        p50 = way.times.get_value_at_percentile(50)
        p99 = way.times.get_value_at_percentile(99)
        added = p50 - first.times.get_value_at_percentile(50)
        print(
            f"  {way.name:25} {rate:7.0f} requests/s "
            f"({first.elapsed_s / way.elapsed_s:4.2f} of direct)  "
            f"p50 {p50:6} us (+{added})  p99 {p99:6} us "
            f"({p99 / first.times.get_value_at_percentile(99):4.2f})"
        )


async def measure(concurrencies=CONCURRENCIES) -> dict[int, list[Way]]:
    """Run all ways in turn, several rounds each; return them."""
    measured = {}
    site = _deployment.Deployment(service_ms=0)
    await site.start()
    async with aiohttp.ClientSession() as session:
        await asyncio.sleep(2)
        for concurrency in concurrencies:
            ways = make_ways(site)
            for way in ways:
                await way.run(session, concurrency)
                way.rounds_s.clear()
                way.times.reset()
            for _ in range(ROUNDS):
                for way in ways:
                    await way.run(session, concurrency)
            measured[concurrency] = ways
    await site.stop()
    return measured


if __name__ == "__main__":
    logging.set_verbosity(logging.WARNING)
    standard_logging.getLogger("aiohttp").setLevel("ERROR")
    for concurrency, ways in asyncio.run(measure()).items():
        report(ways, concurrency)
