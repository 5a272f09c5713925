"""Callers in a process of their own: a steady rate over HTTP.

Arguments: base URL, requests a second, seconds.  Prints one JSON line
with the counts and the latency in microseconds.
"""

import asyncio
import json
import sys
import time

import aiohttp
from hdrh import histogram

KEYS = 500


async def _send(session, url, latency, counts):
    began = time.perf_counter()
    try:
        async with session.get(url) as answer:
            await answer.read()
            counts[answer.status] = counts.get(answer.status, 0) + 1
    except aiohttp.ClientError as error:
        name = type(error).__name__
        counts[name] = counts.get(name, 0) + 1
    latency.record_value(int((time.perf_counter() - began) * 1e6))


async def run(url: str, rate: float, seconds: float) -> None:
    """Send requests at a steady rate."""
    latency = histogram.HdrHistogram(1, 60_000_000, 3)
    counts: dict = {}
    tasks = []
    loop = asyncio.get_running_loop()
    began = loop.time()
    async with aiohttp.ClientSession() as session:
        for number in range(int(rate * seconds)):
            await asyncio.sleep(began + number / rate - loop.time())
            target = f"{url}/k{number % KEYS}"
            request = _send(session, target, latency, counts)
            tasks.append(asyncio.create_task(request))
        await asyncio.gather(*tasks)
    result = {
        "counts": {str(key): value for key, value in counts.items()},
        "p50_us": latency.get_value_at_percentile(50),
        "p99_us": latency.get_value_at_percentile(99),
    }
    print(json.dumps(result), flush=True)


if __name__ == "__main__":
    asyncio.run(run(sys.argv[1], float(sys.argv[2]), float(sys.argv[3])))
