"""A planned stop while orders go by way of another instance."""

import asyncio
import pathlib
import signal
import sys
import time
import traceback

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parents[1]))

from review.lab import callers  # noqa: E402
from review.lab import deployment  # noqa: E402
from review.lab import upstream  # noqa: E402

#: Statuses that promise that a request has not run and never will.
PROMISES = (408, 421, 429, 503)

#: Timeout of the orders' route, and their work.
TIMEOUT_MS, WORK_MS = 6_000, 5_000

#: Number of orders, and time between them, in seconds.
ORDERS, GAP_S = 4, 0.05

#: Time from SIGTERM to the cut, in seconds: the balancer still sends
#: connections to the instance.
CUT_AFTER_S = 1.6

#: Number of concurrent requests that open connections to the servers.
BURST = 16


class Ledger(upstream.Upstream):
    """Backend server whose path can refuse new connections."""

    def refuse_new(self) -> None:
        """Refuse new connections; open ones live on."""
        self._server.close()


async def keep_busy(
    clients: callers.Callers, instance: str, count: int, seconds: float
) -> None:
    """Keep some connections of an instance to its servers in use."""
    ends_at = time.monotonic() + seconds
    while time.monotonic() < ends_at:
        for _ in range(count):
            clients.begin(instance, "POST", "/trans/a?work=60")
        await asyncio.sleep(0.2)


async def run(lab: deployment.Deployment) -> int:
    """Play the case and return the exit status."""
    record = lab.record
    await lab.start_store()
    servers = [
        Ledger(
            name=f"i-traspasos-{number}",
            service="traspasos",
            zone="centro-a",
            host=f"{lab.subnet}.1",
        )
        for number in range(2)
    ]
    for server in servers:
        await lab.add_upstream(server)
    lab.write_manifest(
        4,
        [
            deployment.make_route(
                "booking-commit",
                "/trans/",
                "unsafe",
                "traspasos",
                timeout_ms=TIMEOUT_MS,
                objective_ms=1_600,
                max_attempts=2,
            )
        ],
        [{"name": "traspasos", "maxConns": 130}],
    )
    await lab.start_instances()
    clients = callers.Callers(host=deployment.HOST)
    stopping, helping = lab.instances
    await keep_busy(clients, helping.front, BURST, 3.0)
    stopping.signal(signal.SIGTERM)
    record.write(f"SIGTERM to {stopping.name}")
    await keep_busy(clients, helping.front, BURST, CUT_AFTER_S)
    await clients.finish()
    if deployment.is_troubled():
        for server in servers:
            server.refuse_new()
        record.write("new connections to the servers are refused")
    for _ in range(ORDERS):
        clients.begin(
            stopping.front,
            "POST",
            f"/trans/order?work={WORK_MS}",
            deadline_ms=10_000,
        )
        await asyncio.sleep(GAP_S)
    stopped_at = time.monotonic()
    await stopping.wait()
    record.write(
        f"{stopping.name} has ended with status {stopping.exit_status}, "
        f"{time.monotonic() - stopped_at:.1f} s after the last order"
    )
    await asyncio.sleep(2)
    await clients.finish()
    return judge(lab, clients)


def judge(lab: deployment.Deployment, clients: callers.Callers) -> int:
    """Write what was seen and return the exit status."""
    record = lab.record
    deployment.record_requests(record, clients, lab.upstreams)
    runs = {run_.attempt: run_ for s in lab.upstreams for run_ in s.runs}
    broken = 0
    for a in clients.attempts:
        run_ = runs.get(a.attempt)
        told = a.status in PROMISES
        if "order" not in a.target and not (told and run_):
            continue
        record.write(
            f"{a.method} {a.target} to {a.instance} ({a.attempt}): "
            f"{a.status or a.problem} after {a.ended_at - a.sent_at:.3f} s",
            a.sent_at,
        )
        if run_ is not None:
            record.write(
                f"{run_.server} began to run {a.attempt}; "
                f"{run_.end} at {record.at(run_.ended_at).strip()} s",
                run_.began_at,
            )
        if told and run_ is not None:
            broken += 1
    record.write(f"{broken} requests were run, and their callers told 503")
    record.write("REFUSED broken" if broken else "REFUSED holds")
    return 1 if broken else 0


async def main() -> int:
    """Run the deployment and end it."""
    record = deployment.Record(FOLDER / "record.txt")
    lab = deployment.Deployment(zones=["centro-a", "centro-a"], record=record)
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
