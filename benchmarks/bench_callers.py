"""Sends HTTP requests at a constant rate from a separate process.

Arguments: base URL, requests per second, duration in seconds.  Prints one
JSON line with the number of responses by status or error, and the median and
99th percentile of the latency in microseconds.  Started by
``benchmarks/marginal_costs.py``.
"""

import asyncio
import json
import sys
import time

import aiohttp
from hdrh import histogram

KEY_COUNT = 500


async def _send(session, url, latency, counts):
    started = time.perf_counter()
    try:
        async with session.get(url) as response:
            await response.read()
            counts[response.status] = counts.get(response.status, 0) + 1
    except aiohttp.ClientError as error:
        name = type(error).__name__
        counts[name] = counts.get(name, 0) + 1
    latency.record_value(int((time.perf_counter() - started) * 1e6))


async def run(url: str, rate: float, seconds: float) -> None:
    """Send requests at a constant rate and print the results."""
    latency = histogram.HdrHistogram(1, 60_000_000, 3)
    counts: dict = {}
    tasks = []
    loop = asyncio.get_running_loop()
    started = loop.time()
    async with aiohttp.ClientSession() as session:
        for number in range(int(rate * seconds)):
            await asyncio.sleep(started + number / rate - loop.time())
            key_url = f"{url}/k{number % KEY_COUNT}"
            sending = _send(session, key_url, latency, counts)
            tasks.append(asyncio.create_task(sending))
        await asyncio.gather(*tasks)
    result = {
        "counts": {str(key): value for key, value in counts.items()},
        "p50_us": latency.get_value_at_percentile(50),
        "p99_us": latency.get_value_at_percentile(99),
    }
    print(json.dumps(result), flush=True)


if __name__ == "__main__":
    asyncio.run(run(sys.argv[1], float(sys.argv[2]), float(sys.argv[3])))
