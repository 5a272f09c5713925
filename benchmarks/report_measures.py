"""Runs the benchmarks at the deployments' sizes against the baselines.

Every function returns plain records; ``report.py`` writes them down.  All
but `measure_path` run on manual time and give the same figures each time.
"""

import asyncio
import dataclasses

import failover
import goodput
import history_policies
import planning
import propagation
import router_overhead
import server_drain

from tarragonhinge import testing

SKEWS = (0.8, 1.1)
LOADS = (0.8, 2.0)
LOAD_SKEW = 0.9
LOAD_MS = 2500
CONCURRENCY = 2

#: Columns that say which policy of admission a row stands for.
ADMISSIONS = {"admission": "priority", "no admission": "fifo"}


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Size:
    """One service of a deployment; delays are one way."""

    site: planning.Site
    connections: int
    zone_delay_ms: float
    store_delay_ms: int = 20


SIZES = (
    Size(site=planning.SITES[0], connections=130, zone_delay_ms=1),
    Size(site=planning.SITES[1], connections=110, zone_delay_ms=1.5),
)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Balance:
    """Imbalance and churn of one way to place keys."""

    site: str
    way: str
    skew: float
    figures: planning.Summary
    unserved: float | None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Loss:
    """Unavailable time and churn of one loss."""

    site: str
    loss: str
    way: str
    unavailable_ms: float
    failed_probes: int
    churn: int
    partitions: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Goodput:
    """Requests answered in time under one load."""

    site: str
    way: str
    load: float
    offered: int
    capacity: float
    good: int
    high_offered: int
    high_good: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Drain:
    """Time to empty a draining server."""

    site: str
    partitions: int
    emptied_ms: int
    longest_held_ms: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Orders:
    """Outcomes of orders that are sent once, by history policy."""

    policy: str
    outcomes: dict[str, int]
    twice: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Path:
    """Rate of one way as a ratio to direct calls of the same round."""

    way: str
    ratio: float
    lowest: float
    highest: float


def measure_balance() -> list[Balance]:
    """Return imbalance and churn under skewed and moving keys."""
    ways = (
        ("fixed owners", "hashed", False, planning.FixedTrial),
        ("hashed", "hashed", False, planning.Trial),
        ("weighed + split", "weighed", True, planning.Trial),
    )
    rows = []
    for size in SIZES:
        for skew in SKEWS:
            for way, planner, splitting, make in ways:
                trial = planning.run_trial(
                    size.site, skew, planner, splitting, make
                )
                rows.append(
                    Balance(
                        site=size.site.name,
                        way=way,
                        skew=skew,
                        figures=trial.summarize(),
                        unserved=_find_unserved(trial),
                    )
                )
    return rows


def _find_unserved(trial) -> float | None:
    """Return the part of all requests that met the lost server."""
    if not isinstance(trial, planning.FixedTrial):
        return None
    return trial.unserved / (planning.STEPS * planning.REQUESTS_PER_STEP)


def measure_losses() -> list[Loss]:
    """Return what each loss costs, with a standby and without."""
    rows = []
    for size in SIZES:
        for name in failover.LOSSES:
            for way in ("standby", "no standby"):
                result = failover.run(
                    name,
                    standby=way == "standby",
                    servers=size.site.servers,
                    partitions=size.site.partitions,
                    delay_ms=size.zone_delay_ms,
                    store_delay_ms=size.store_delay_ms,
                    slots=2,
                    connections=size.connections,
                )
                rows.append(
                    Loss(
                        site=size.site.name,
                        loss=name,
                        way=way,
                        unavailable_ms=result.unavailable_ms,
                        failed_probes=result.failed,
                        churn=result.churn,
                        partitions=size.site.partitions,
                    )
                )
    return rows


def measure_goodput() -> list[Goodput]:
    """Return goodput under skewed keys, with admission and without."""
    rows = []
    for size in SIZES:
        for load in LOADS:
            for way, discipline in ADMISSIONS.items():
                offered, _, capacity = testing.run_manual(
                    goodput.run_load(
                        load=load,
                        servers=size.site.servers,
                        duration_ms=LOAD_MS,
                        skew=LOAD_SKEW,
                        partitions=size.site.partitions,
                        discipline=discipline,
                        slots=2,
                        connections=size.connections,
                    )
                )
                high = [s for s in offered.samples if s.priority == 1]
                rows.append(
                    Goodput(
                        site=size.site.name,
                        way=way,
                        load=load,
                        offered=len(offered.samples),
                        capacity=capacity,
                        good=offered.count_good(),
                        high_offered=len(high),
                        high_good=offered.count_good(1),
                    )
                )
    return rows


def measure_drains() -> list[Drain]:
    """Return what emptying a draining server takes."""
    rows = []
    for size in SIZES:
        own, emptied_ms, held_ms = testing.run_manual(
            server_drain.measure(size.site.partitions, size.site.servers)
        )
        rows.append(
            Drain(
                site=size.site.name,
                partitions=own,
                emptied_ms=emptied_ms,
                longest_held_ms=max(held_ms),
            )
        )
    return rows


def measure_edits() -> list[propagation.Result]:
    """Return how long edits take to be in force."""
    cases = ("normal", "half of the pollers lost")
    return [testing.run_manual(propagation.run_case(c)) for c in cases]


def measure_orders() -> list[Orders]:
    """Return what becomes of orders when the leader is lost."""
    rows = []
    for policy in history_policies.POLICIES:
        tally = history_policies.tally_policy(
            policy, history_policies.ZONE_DELAY_MS, "leader"
        )
        rows.append(
            Orders(
                policy=policy,
                outcomes=dict(sorted(tally.outcomes.items())),
                twice=tally.twice,
            )
        )
    return rows


def measure_path() -> list[Path]:
    """Return what each way through the router keeps of the direct rate."""
    ways = asyncio.run(router_overhead.measure((CONCURRENCY,)))[CONCURRENCY]
    direct = ways[0].rounds_s
    rows = []
    for way in ways[1:]:
        ratios = [
            mine / took
            for mine, took in zip(direct, way.rounds_s, strict=True)
        ]
        rows.append(
            Path(
                way=way.name,
                ratio=sum(direct) / way.elapsed_s,
                lowest=min(ratios),
                highest=max(ratios),
            )
        )
    noise = [took * len(direct) / sum(direct) for took in direct]
    rows.append(
        Path(
            way="direct, each round against their mean (noise)",
            ratio=1.0,
            lowest=min(noise),
            highest=max(noise),
        )
    )
    return rows
