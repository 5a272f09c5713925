"""Another writer's entry among those of the backend servers."""

import asyncio
import json
import pathlib
import random
import sys
import time
import traceback

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parents[1]))

from review.lab import callers  # noqa: E402
from review.lab import deployment  # noqa: E402
from review.lab import upstream  # noqa: E402

#: Bound of the rule: time from the acknowledgement of a version until it is
#: in force, in seconds.
CONFIG_APPLY_S = 2.5

#: Entry of the other writer: lists within lists, 4 KB.
NESTED_ENTRY = b'{"note":' + b"[" * 2_000 + b"]" * 2_000 + b"}"

SERVICES = [
    {"name": "traspasos", "maxConns": 130},
    {"name": "saldos", "maxConns": 130, "sharded": True, "warm": 2.0},
]
ADDED_SERVICE = {"name": "historial", "maxConns": 130}

ROUTES = [
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
ADDED_ROUTE = deployment.make_route(
    "cert-history",
    "/hist/",
    "safe",
    "historial",
    timeout_ms=2_500,
    objective_ms=1_500,
    max_attempts=2,
    priority=2,
)


async def call(lab: deployment.Deployment, clients: callers.Callers) -> None:
    """Send requests to all instances."""
    while True:
        for instance in lab.instances:
            key = random.randint(0, 65_535)
            clients.begin(
                instance.front, "GET", f"/saldo/{key}?work=60", key=key
            )
            clients.begin(instance.front, "POST", "/trans/order?work=60")
            if ADDED_SERVICE in lab.services:
                clients.begin(instance.front, "GET", "/hist/a?work=60")
        await asyncio.sleep(0.1)


async def add_upstreams(
    lab: deployment.Deployment, services: list[dict]
) -> None:
    """Start three servers of each service, one in each zone."""
    for service in services:
        for number, zone in enumerate(deployment.ZONES):
            await lab.add_upstream(
                upstream.Upstream(
                    name=f"i-{service['name']}-{number}",
                    service=service["name"],
                    zone=zone,
                    host=f"{lab.subnet}.1",
                    keyed=service.get("sharded", False),
                )
            )


async def run(lab: deployment.Deployment) -> int:
    """Play the case and return the exit status."""
    record = lab.record
    await lab.start_store()
    await add_upstreams(lab, SERVICES)
    lab.write_manifest(4, ROUTES, SERVICES)
    await lab.start_instances()
    clients = callers.Callers(host=deployment.HOST)
    calls = asyncio.create_task(call(lab, clients))
    try:
        await asyncio.sleep(5)
        if deployment.is_troubled():
            lab.store.put("servers", "other-writer", NESTED_ENTRY)
            record.write("another writer writes servers/other-writer")
        await asyncio.sleep(5)
        await add_upstreams(lab, [ADDED_SERVICE])
        lab.write_manifest(
            7, [*ROUTES, ADDED_ROUTE], [*SERVICES, ADDED_SERVICE]
        )
        changed_at = time.monotonic()
        await asyncio.sleep(12)
    finally:
        calls.cancel()
    await clients.finish()
    return judge(lab, clients, changed_at)


def judge(
    lab: deployment.Deployment, clients: callers.Callers, changed_at: float
) -> int:
    """Write what was seen and return the exit status."""
    record = lab.record
    deployment.record_requests(record, clients, lab.upstreams)
    due_at = changed_at + CONFIG_APPLY_S
    counts = {}
    for prefix in ("/trans/", "/saldo/", "/hist/"):
        sent = [
            a
            for a in clients.attempts
            if a.target.startswith(prefix) and a.sent_at > due_at
        ]
        served = sum(a.status == 200 for a in sent)
        counts[prefix] = (served, len(sent))
        record.write(
            f"{prefix}: {served} of {len(sent)} requests served that were "
            f"sent later than {CONFIG_APPLY_S} s after the acknowledgement "
            "of r7"
        )
    added = counts.pop("/hist/")
    first = [sum(numbers) for numbers in zip(*counts.values(), strict=True)]
    is_broken = added[1] >= 20 and (
        added[0] / added[1] < first[0] / first[1] / 4
    )
    for instance in lab.instances:
        log = instance.read_log()
        count = log.count('"event":"leadership"')
        status = instance.exit_status
        record.write(
            f"{instance.name}: leadership changed {count} times; "
            f"{'runs' if status is None else status}; "
            f"ready at the end: {deployment.is_ready(instance)}"
        )
    record.write("CONFIG broken" if is_broken else "CONFIG holds")
    return 1 if is_broken else 0


async def main() -> int:
    """Run the deployment and end it."""
    record = deployment.Record(FOLDER / "record.txt")
    lab = deployment.Deployment(zones=list(deployment.ZONES), record=record)
    try:
        async with asyncio.timeout(110):
            return await run(lab)
    except (OSError, RuntimeError, TimeoutError, json.JSONDecodeError) as e:
        record.write(f"could not run: {e!r}")
        return 2
    finally:
        await lab.stop()


try:
    STATUS = asyncio.run(main())
except Exception:
    traceback.print_exc()
    STATUS = 2
sys.exit(STATUS)
