"""Goodput against offered load, with admission and without.

Runs on manual time with seeded arrivals, so that each run prints the
same figures: ``python benchmarks/goodput.py``.
"""

import itertools
import random

from tarragonhinge import base
from tarragonhinge import configuration
from tarragonhinge import testing

SERVERS = 3
SERVICE_MS = 50
DURATION_MS = 10_000
DEADLINE_MS = 500

#: Part of the requests that have high priority.
HIGH_PART = 0.3

LOADS = (0.5, 0.8, 1.0, 1.5, 2.0, 3.0)
SKEWS = (0.0, 0.6, 0.9, 1.1)

#: Largest difference of a service time from its mean, as a ratio.
SPREADS = (0.0, 0.5)


class VariedServer(testing.MemoryServer):
    """Server whose service times are spread around their mean."""

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
    servers: int = SERVERS,
    duration_ms: int = DURATION_MS,
    skew: float = 0.0,
    spread: float = 0.0,
    slow_ms: int = SERVICE_MS,
    **changes,
) -> tuple[testing.OpenLoad, testing.Deployment, float]:
    """Run one load; return it, its deployment and the capacity.

    Parameters
    ----------
    load : float
        Offered load as part of the capacity.
    servers, duration_ms : int
        Size of the shard, and how long the load lasts.
    skew, spread : float
        Of the keys, and of the service times.
    slow_ms : int
        Service time of the first server.
    **changes
        Columns of the row.
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
        high_priority_fraction=HIGH_PART,
        skew=skew,
    )
    await offered.run(duration_ms)
    return offered, deployment, capacity


def print_goodput(spread: float) -> None:
    """Print the goodput of both variants at each load."""
    print(f"service time {SERVICE_MS} ms, spread {spread:.0%}")
    print("variant    load  goodput/capacity  high answered  low answered")
    for discipline, load in itertools.product(("priority", "fifo"), LOADS):
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
    """Print how unevenly skewed keys fall on the servers."""
    print("skew  busiest/mean  goodput/offered   (load 0.8)")
    for skew in SKEWS:
        offered, deployment, _ = testing.run_manual(
            run_load(load=0.8, skew=skew)
        )
        runs = [len(server.runs) for server in deployment.servers.values()]
        busiest = max(runs) * len(runs) / sum(runs)
        good = offered.count_good() / len(offered.samples)
        print(f"{skew:4.1f} {busiest:13.3f} {good:16.3f}")


def print_pickers() -> None:
    """Print how requests without a key fare beside a slow server."""
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
            good = offered.count_good() / len(offered.samples)
            print(f"{picker:13} {slow_ms:8d} ms {good:16.3f}")


def main() -> None:
    """Print all figures."""
    for spread in SPREADS:
        print_goodput(spread)
        print()
    print_imbalance()
    print()
    print_pickers()


if __name__ == "__main__":
    main()
