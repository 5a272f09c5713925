"""Measures goodput against offered load, with and without admission control.

Run as ``python benchmarks/goodput.py``.  Runs on manual time with seeded
arrivals.  Set ``PYTHONHASHSEED`` to get the same figures in each run: without
it, those with varying service times differ in the third decimal.
"""

import itertools
import random

from tarragonhinge import base
from tarragonhinge import configuration
from tarragonhinge import testing

SERVER_COUNT = 3
SERVICE_MS = 50
DURATION_MS = 10_000
DEADLINE_MS = 500

#: Fraction of the requests that have high priority.
HIGH_PRIORITY_FRACTION = 0.3

OFFERED_LOADS = (0.5, 0.8, 1.0, 1.5, 2.0, 3.0)
KEY_SKEWS = (0.0, 0.6, 0.9, 1.1)

#: Largest deviation of a service time from its mean, as a fraction of it.
SERVICE_TIME_SPREADS = (0.0, 0.5)


class VariedServer(testing.MemoryServer):
    """Server whose service times vary uniformly around their mean."""

    spread = 0.0
    rng = random.Random(0)

    @property
    def service_ms(self) -> int:
        """Return the service time of the next request."""
        factor = 1 + self.rng.uniform(-self.spread, self.spread)
        return round(self._mean_ms * factor)

    @service_ms.setter
    def service_ms(self, mean_ms: int) -> None:
        self._mean_ms = mean_ms


async def run_load(
    *,
    load: float,
    servers: int = SERVER_COUNT,
    duration_ms: int = DURATION_MS,
    skew: float = 0.0,
    spread: float = 0.0,
    slow_ms: int = SERVICE_MS,
    **changes,
) -> tuple[testing.OpenLoad, testing.Deployment, float]:
    """Run one load against a new deployment.

    Parameters
    ----------
    load : float
        Offered load as a fraction of the capacity.
    servers : int
        Number of servers of the shard.
    duration_ms : int
        Duration of the load.
    skew : float
        Exponent of the Zipf distribution of the keys.
    spread : float
        Largest deviation of a service time, as a fraction of its mean.
    slow_ms : int
        Mean service time of the first server.
    **changes
        Columns of the service row.

    Returns
    -------
    offered : OpenLoad
        The load, with its samples.
    deployment : Deployment
        The deployment after the load.
    capacity : float
        Number of requests that the servers can run in `duration_ms`.
    """
    columns = {"partitions": 66} | changes
    row = testing.make_row(servers=servers, **columns)
    deployment = testing.Deployment(row=row)
    for server in deployment.servers.values():
        server.__class__ = VariedServer
        server.service_ms = SERVICE_MS
        server.spread = spread
        server.rng = random.Random(server.name)
    deployment.servers["s0"].service_ms = slow_ms
    await deployment.start()
    capacity = servers * row.slots * duration_ms / SERVICE_MS
    offered = testing.OpenLoad(
        deployment=deployment,
        rate=load * capacity * base.MS_PER_S / duration_ms,
        deadline_ms=DEADLINE_MS,
        high_priority_fraction=HIGH_PRIORITY_FRACTION,
        skew=skew,
    )
    await offered.run(duration_ms)
    return offered, deployment, capacity


def print_goodput(spread: float) -> None:
    """Print the goodput of both queue disciplines at each load."""
    print(f"service time {SERVICE_MS} ms, spread {spread:.0%}")
    print("variant    load  goodput/capacity  high answered  low answered")
    for discipline, load in itertools.product(
        ("priority", "fifo"), OFFERED_LOADS
    ):
        offered, _, capacity = testing.run_manual(
            run_load(discipline=discipline, load=load, spread=spread)
        )
        high = [s for s in offered.samples if s.priority == 1]
        low_count = len(offered.samples) - len(high)
        print(
            f"{discipline:10} {load:4.1f}"
            f" {offered.count_good() / capacity:17.3f}"
            f" {offered.count_good(1) / len(high):14.3f}"
            f" {offered.count_good(5) / low_count:13.3f}"
        )


def print_imbalance() -> None:
    """Print the load imbalance and goodput for each skew of the keys."""
    print("skew  busiest/mean  goodput/offered   (load 0.8)")
    for skew in KEY_SKEWS:
        offered, deployment, _ = testing.run_manual(
            run_load(load=0.8, skew=skew)
        )
        runs = [len(server.runs) for server in deployment.servers.values()]
        busiest = max(runs) * len(runs) / sum(runs)
        good_fraction = offered.count_good() / len(offered.samples)
        print(f"{skew:4.1f} {busiest:13.3f} {good_fraction:16.3f}")


def print_pickers() -> None:
    """Print the goodput of unkeyed requests beside a slow server."""
    print("picker        slow server  goodput/offered   (load 0.6)")
    for slow_ms in (SERVICE_MS, 4 * SERVICE_MS, 8 * SERVICE_MS):
        for picker in ("least_loaded", "round_robin"):
            offered, _, _ = testing.run_manual(
                run_load(
                    load=0.6,
                    slow_ms=slow_ms,
                    picker=picker,
                    key_source=configuration.KeySource.NONE,
                )
            )
            good_fraction = offered.count_good() / len(offered.samples)
            print(f"{picker:13} {slow_ms:8d} ms {good_fraction:16.3f}")


def main() -> None:
    """Print all figures."""
    for spread in SERVICE_TIME_SPREADS:
        print_goodput(spread)
        print()
    print_imbalance()
    print()
    print_pickers()


if __name__ == "__main__":
    main()
