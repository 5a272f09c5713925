"""A drain that the store accepts between two pages of one read."""

import asyncio
import pathlib
import random
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "stands"))

import lab  # noqa: E402

HOST = "orders.example"

#: Upstreams of the service that gets the requests, and of another one.
ACCOUNTS, ARCHIVE = 400, 120

#: Share of the upstreams that leave together (scale_in, default).
LEAVING_SHARE = 0.15

#: Interval of the upstreams' reports.
HEARTBEAT_S = 0.87

#: Bound of a drain, and time for which an upstream serves on after it.
DRAIN_S, SERVES_ON_S = 2.5, 6.0

REQUESTS_PER_S = 200

#: Time from each kill until upstreams begin to leave, and time for a round.
DELAYS_S, ROUND_S = (0.0, 0.25, 0.5), 14.0


async def send_requests(
    clients: lab.Clients, instances: list[lab.Instance], ends_at: float
) -> None:
    """Send orders with random keys to the instances that are ready."""
    loop = asyncio.get_running_loop()
    while loop.time() < ends_at:
        running = [i for i in instances if i.is_running]
        clients.start(
            random.choice(running),
            "POST",
            "/orders/new",
            key=random.randrange(65_536),
            body=b"order",
            is_quiet=True,
        )
        await asyncio.sleep(1 / REQUESTS_PER_S)


async def leave(
    bed: lab.Lab, upstream: lab.Upstream, drained_at: dict[str, float]
) -> None:
    """Let an upstream drain, serve on, and end."""
    await asyncio.sleep(random.uniform(0, HEARTBEAT_S))
    upstream.state = "draining"
    version = bed.store.put("servers", upstream.name, upstream.make_entry())
    drained_at[upstream.name] = bed.record.now()
    bed.record.write(f"{upstream.name}: draining, accepted as ver={version}")
    await asyncio.sleep(DRAIN_S + SERVES_ON_S)
    bed.store.drop("servers", upstream.name)
    bed.record.write(f"{upstream.name}: ends")
    await upstream.end()


async def play_round(
    bed: lab.Lab,
    leaving: list[lab.Upstream],
    drained_at: dict[str, float],
    delay_s: float,
) -> None:
    """Kill the coordinator, and let upstreams leave just after."""
    coordinator = bed.find_coordinator()
    bed.record.write(f"coordinator: {coordinator.name}")
    if bed.has_trouble:
        coordinator.send(signal.SIGKILL)
        await coordinator.process.wait()
    await asyncio.sleep(delay_s)
    leaves = [
        asyncio.create_task(leave(bed, upstream, drained_at))
        for upstream in leaving
    ]
    await asyncio.sleep(3.3)
    if bed.has_trouble:
        await coordinator.start()
    await asyncio.gather(*leaves)


async def play(bed: lab.Lab) -> list[str]:
    """Play the rounds and return what was broken."""
    # The store stands in another region.
    bed.store.way_s = 0.02
    await bed.start_store()
    route = lab.make_route("orders", HOST, "/orders/", "unsafe", "accounts")
    bed.write_manifest(
        [route],
        [
            lab.make_service("accounts", sharded=True),
            lab.make_service("archive"),
        ],
    )
    for number in range(ACCOUNTS + ARCHIVE):
        is_account = number < ACCOUNTS
        await bed.add_upstream(
            lab.Upstream(
                f"i-{number:04}",
                record=bed.record,
                service="accounts" if is_account else "archive",
                zone="za" if number % 2 else "zb",
                sharded=is_account,
                work_s=0.8,
                is_quiet=True,
            )
        )
    accounts = [u for u in bed.upstreams.values() if u.service == "accounts"]
    await bed.start_instances(3)
    clients = lab.Clients(bed.record, HOST)
    loop = asyncio.get_running_loop()
    sender = asyncio.create_task(
        send_requests(
            clients, bed.instances, loop.time() + 3 + len(DELAYS_S) * ROUND_S
        )
    )
    drained_at: dict[str, float] = {}
    left: list[lab.Upstream] = []
    await asyncio.sleep(3)
    for delay_s in DELAYS_S:
        ends_at = loop.time() + ROUND_S
        leaving = random.sample(
            [u for u in accounts if u not in left],
            int(LEAVING_SHARE * (len(accounts) - len(left))),
        )
        left += leaving
        await play_round(bed, leaving, drained_at, delay_s)
        await asyncio.sleep(ends_at - loop.time())
    await sender
    await clients.finish()
    return judge(bed, clients, left, drained_at)


def judge(
    bed: lab.Lab,
    clients: lab.Clients,
    leaving: list[lab.Upstream],
    drained_at: dict[str, float],
) -> list[str]:
    """Return the arrivals later than the bound of a drain.

    They count only from machines in touch, none of whose disturbances lies
    in the last `contact`, and not if the upstream refused them with 421.
    """
    broken = []
    lost = 0
    disturbed = {i.name: i.disturbed_at for i in bed.instances}
    for upstream in leaving:
        since = drained_at[upstream.name]
        for arrival in upstream.arrivals:
            late_s = arrival.at - since - DRAIN_S
            if late_s <= 0 or arrival.ended == "421":
                continue
            attempt = clients.attempts[arrival.attempt]
            if any(
                arrival.at - 3 <= at <= arrival.at
                for at in disturbed[attempt.instance]
            ):
                continue
            is_lost = arrival.ended == "broken off"
            lost += is_lost
            broken.append(
                f"DRAIN: {arrival.attempt}, sent at {attempt.sent_at:.3f} by"
                f" way of {attempt.instance}, reaches {upstream.name}"
                f" {late_s:.3f} s after the bound; the client gets"
                f" {attempt.outcome}"
            )
    outcomes: dict[str, int] = {}
    for attempt in clients.attempts.values():
        outcomes[attempt.outcome] = outcomes.get(attempt.outcome, 0) + 1
    bed.record.write(f"outcomes: {outcomes}; orders cut off: {lost}")
    return broken


if __name__ == "__main__":
    sys.exit(lab.run_case(FOLDER, play))
