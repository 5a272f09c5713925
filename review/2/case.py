"""The store returns from a copy while the coordinator stops."""

import asyncio
import pathlib
import random
import signal
import sys
import time
import traceback

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parents[1]))

from review.lab import callers  # noqa: E402
from review.lab import deployment  # noqa: E402
from review.lab import ownership  # noqa: E402
from review.lab import upstream  # noqa: E402

#: Longest time for which two servers may hold the same keys, in seconds.
BOUND_S = 0.5

#: Age of the copy from which the store returns, and time for which it is away.
COPY_AGE_S, AWAY_S = 9.0, 1.0

#: Time from SIGTERM until the store is away, in seconds: the process ends
#: about 2.6 s after the signal.
STOP_S = 2.0

SERVICES = [
    {"name": "traspasos", "maxConns": 130},
    {"name": "saldos", "maxConns": 130, "sharded": True, "warm": 2.0},
]


def make_routes() -> list[dict]:
    """Return the routes of the second manifest."""
    return [
        deployment.make_route(
            "credit-transfer",
            "/trans/",
            "unsafe",
            "traspasos",
            timeout_ms=2_500,
            objective_ms=800,
            max_attempts=1,
        ),
        deployment.make_route(
            "balance-lookup",
            "/saldo/",
            "safe",
            "saldos",
            timeout_ms=2_500,
            objective_ms=800,
            max_attempts=2,
            priority=2,
        ),
    ]


async def call(lab: deployment.Deployment, clients: callers.Callers) -> None:
    """Send requests with random keys to all instances."""
    while True:
        for instance in lab.instances:
            key = random.randint(0, 65_535)
            clients.begin(
                instance.front, "GET", f"/saldo/{key}?work=60", key=key
            )
        await asyncio.sleep(0.05)


async def run(lab: deployment.Deployment) -> int:
    """Play the case and return the exit status."""
    record, host = lab.record, f"{lab.subnet}.1"
    await lab.start_store()
    zones = list(deployment.ZONES)
    services = ["traspasos"] * 2 + ["saldos"] * 3
    for number, service in enumerate(services):
        await lab.add_upstream(
            upstream.Upstream(
                name=f"i-{service}-{number}",
                service=service,
                zone=zones[number % 3],
                host=host,
                keyed=service == "saldos",
            )
        )
    lab.write_manifest(4, make_routes()[:1], SERVICES[:1])
    await lab.start_instances()
    await asyncio.sleep(2)
    copied, copied_at = lab.store.rows.copy(), time.monotonic()
    record.write("the copy of the store is made")
    lab.write_manifest(7, make_routes(), SERVICES)
    clients = callers.Callers(host=deployment.HOST)
    calls = asyncio.create_task(call(lab, clients))
    try:
        await asyncio.sleep(4)
        await lab.add_upstream(
            upstream.Upstream(
                name="i-saldos-new",
                service="saldos",
                zone=zones[0],
                host=host,
                keyed=True,
            )
        )
        away_at = copied_at + COPY_AGE_S - AWAY_S
        left_s = away_at - STOP_S - time.monotonic()
        await asyncio.sleep(left_s)
        coordinator = lab.find_coordinator()
        coordinator.signal(signal.SIGTERM)
        record.write(f"SIGTERM to {coordinator.name}, the coordinator")
        await asyncio.sleep(STOP_S)
        if deployment.is_troubled():
            lab.store.leave()
            record.write("the store is away")
            await asyncio.sleep(AWAY_S)
            lab.store.return_from(copied)
            record.write(
                "the store is back from the copy of "
                f"{time.monotonic() - copied_at:.1f} s ago, Store-Era "
                f"{lab.store.rows.era}"
            )
            lab.write_manifest(7, make_routes(), SERVICES)
            for server in lab.upstreams:
                lab.write_entry(server)
        status = await coordinator.wait()
        record.write(f"{coordinator.name} has ended with status {status}")
        await coordinator.start()
        record.write(f"{coordinator.name} is started again")
        await asyncio.sleep(10)
    finally:
        calls.cancel()
    await clients.finish()
    return judge(lab, clients)


def judge(lab: deployment.Deployment, clients: callers.Callers) -> int:
    """Write what was seen and return the exit status."""
    record = lab.record
    deployment.record_requests(record, clients, lab.upstreams)
    served = sum(a.status == 200 for a in clients.attempts)
    record.write(f"{len(clients.attempts)} requests, {served} served")
    for server in lab.upstreams:
        for hold in server.holds:
            record.write(
                f"{hold.server} holds {hold.first} to {hold.last}, fence "
                f"{hold.fence}, until {record.at(hold.until).strip()} s",
                hold.since,
            )
    overlaps = [
        o
        for o in ownership.find_overlaps(lab.upstreams)
        if o.seconds > 0.01 or min(o.runs)
    ]
    for o in overlaps:
        record.write(
            f"{o.left.server} (fence {o.left.fence}) and {o.right.server} "
            f"(fence {o.right.fence}) both hold {o.first} to {o.last} for "
            f"{o.seconds:.3f} s; they begin {o.runs[0]} and {o.runs[1]} "
            "requests on them",
            o.since,
        )
    is_broken = any(o.seconds > BOUND_S or min(o.runs) > 0 for o in overlaps)
    record.write("OWNER broken" if is_broken else "OWNER holds")
    return 1 if is_broken else 0


async def main() -> int:
    """Run the deployment and end it."""
    record = deployment.Record(FOLDER / "record.txt")
    lab = deployment.Deployment(zones=list(deployment.ZONES), record=record)
    try:
        async with asyncio.timeout(110):
            return await run(lab)
    except (OSError, RuntimeError, TimeoutError, KeyError) as error:
        record.write(f"could not run: {error!r}")
        return 2
    finally:
        await lab.stop()


try:
    STATUS = asyncio.run(main())
except Exception:
    traceback.print_exc()
    STATUS = 2
sys.exit(STATUS)
