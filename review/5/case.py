"""One sick backend server among healthy ones; see claim.txt."""

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
from review.lab import instances  # noqa: E402
from review.lab import upstream  # noqa: E402

#: Timeout of the routes, and the bound of the rule beyond it.
TIMEOUT_MS = 2_500
BOUND_S = 0.5

#: Time before the trouble, its duration, and the time after it, in seconds.
CALM_S, TROUBLE_S, REST_S = 5.0, 5.0, 12.0

#: Requests a second of each route at each instance.
RATE = 10.0


async def start_sick(
    lab: deployment.Deployment, name: str, zone: str
) -> asyncio.subprocess.Process:
    """Start a backend server that can get into trouble."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        str(FOLDER / "sick.py"),
        name,
        "historial",
        zone,
        f"{lab.subnet}.1",
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE,
    )
    address, born_ms = (await process.stdout.readline()).decode().split()
    server = upstream.Upstream(
        name=name, service="historial", zone=zone, host="", slots=2
    )
    server.address, server.born_ms = address, int(born_ms)
    lab.write_entry(server)
    return process


async def probe(instance: instances.Instance, gaps: dict[str, float]) -> None:
    """Ask an instance each second whether it is ready."""
    while True:
        asked_at = time.monotonic()
        reader, writer = await asyncio.open_connection(instance.ip, 8542)
        writer.write(
            b"GET /tarragonhinge/readyz HTTP/1.1\r\n"
            b"Host: ready\r\nConnection: close\r\n\r\n"
        )
        await reader.read()
        writer.close()
        took_s = time.monotonic() - asked_at
        gaps[instance.name] = max(gaps.get(instance.name, 0.0), took_s)
        await asyncio.sleep(1.0)


async def run(lab: deployment.Deployment) -> int:
    """Play the case and return the exit status."""
    record = lab.record
    await lab.start_store()
    zones = list(deployment.ZONES)
    for service in ("historial", "traspasos"):
        for number in range(3 if service == "traspasos" else 2):
            await lab.add_upstream(
                upstream.Upstream(
                    name=f"i-{service}-{number}",
                    service=service,
                    zone=zones[number if service == "traspasos" else 0],
                    host=f"{lab.subnet}.1",
                    slots=2,
                )
            )
    sick = [
        await start_sick(lab, f"i-sick-{n}", zone)
        for n, zone in enumerate(zones[1:])
    ]
    lab.write_manifest(
        1,
        [
            deployment.make_route(
                "cert-history",
                "/hist/",
                "safe",
                "historial",
                timeout_ms=TIMEOUT_MS,
                objective_ms=1500,
                max_attempts=2,
                priority=2,
            ),
            deployment.make_route(
                "credit-transfer",
                "/trans/",
                "unsafe",
                "traspasos",
                timeout_ms=TIMEOUT_MS,
                objective_ms=800,
                max_attempts=1,
            ),
        ],
        [
            {"name": "historial", "maxConns": 130},
            {"name": "traspasos", "maxConns": 130},
        ],
    )
    clients = callers.Callers(host=deployment.HOST)
    try:
        await lab.start_instances()
        gaps: dict[str, float] = {}
        probes = [
            asyncio.create_task(probe(instance, gaps))
            for instance in lab.instances
        ]
        began_at = time.monotonic()
        spans = (CALM_S, CALM_S + TROUBLE_S, CALM_S + TROUBLE_S + REST_S)
        is_sick = False
        while (now := time.monotonic()) < began_at + spans[2]:
            due = deployment.is_troubled() and (
                spans[0] <= now - began_at < spans[1]
            )
            if due != is_sick:
                is_sick = due
                for process in sick:
                    process.stdin.write(b"on\n" if due else b"off\n")
                record.write(f"i-sick: answers without end: {due}")
            for instance in lab.instances:
                for prefix, method, deadline_ms in (
                    ("/hist/", "GET", 10_000),
                    ("/trans/", "POST", 5_000),
                ):
                    number = random.randint(0, 10**6)
                    clients.begin(
                        instance.front,
                        method,
                        f"{prefix}{number}?work=100",
                        deadline_ms=deadline_ms,
                    )
            await asyncio.sleep(1 / RATE)
        await clients.finish()
        for task in probes:
            task.cancel()
        for name, seconds in gaps.items():
            record.write(f"{name}: slowest answer to readyz {seconds:.2f} s")
        return judge(lab, clients)
    finally:
        for number, process in enumerate(sick):
            process.stdin.close()
            count = (await process.stdout.readline()).decode().strip()
            record.write(f"i-sick-{number}: {count} answers without end")
            await process.wait()


def judge(lab: deployment.Deployment, clients: callers.Callers) -> int:
    """Write what was seen and return the exit status."""
    record = lab.record
    deployment.record_requests(record, clients, lab.upstreams)
    timeout_s = TIMEOUT_MS / 1000
    late = [a for a in clients.attempts if a.ended_at - a.sent_at > timeout_s]
    later = [a for a in late if a.ended_at - a.sent_at > timeout_s + BOUND_S]
    other = [a for a in later if a.target.startswith("/trans/")]
    unanswered = [a for a in other if not a.status]
    longest = max(a.ended_at - a.sent_at for a in clients.attempts)
    is_broken = len(later) > len(late) / 2 and len(later) >= 8
    record.write(
        f"{len(clients.attempts)} requests; unanswered at the timeout: "
        f"{len(late)}; also {BOUND_S} s later: {len(later)}, of which "
        f"{len(other)} for the other service, whose servers are all sound; "
        f"{len(unanswered)} of these had no answer before their callers' "
        f"deadline of 5 s; longest {longest:.2f} s"
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
