"""Runs the benchmarks at the deployments' sizes and against the baselines.

Every function returns plain records, which ``report.py`` writes to files.  All
functions but `measure_path` run on manual time and return the same figures in
every run.
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

KEY_SKEWS = (0.8, 1.1)
OFFERED_LOADS = (0.8, 2.0)
LOAD_KEY_SKEW = 0.9
LOAD_DURATION_MS = 2500
CONCURRENCY = 2

#: Queue discipline of each variant; "fifo" is the baseline.
ADMISSION_DISCIPLINES = {"admission": "priority", "no admission": "fifo"}


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class DeploymentSize:
    """Size of one service of a deployment.

    Parameters
    ----------
    site : Site
        Servers and partitions of the service.
    connections : int
        Limit of connections, a column of the service row.
    zone_delay_ms : float
        One-way network delay.
    store_delay_ms : int
        One-way delay to the store.
    """

    site: planning.Site
    connections: int
    zone_delay_ms: float
    store_delay_ms: int = 20


DEPLOYMENT_SIZES = (
    DeploymentSize(site=planning.SITES[0], connections=130, zone_delay_ms=1),
    DeploymentSize(site=planning.SITES[1], connections=110, zone_delay_ms=1.5),
)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Balance:
    """Imbalance and churn of one placement of keys."""

    site: str
    way: str
    skew: float
    figures: planning.Summary
    unserved: float | None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Loss:
    """Unavailable time and churn of one failure."""

    site: str
    loss: str
    way: str
    unavailable_ms: float
    failed_probes: int
    churn: int
    partitions: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Goodput:
    """Number of requests answered in time under one load."""

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
    """Time until a draining server owns no partition."""

    site: str
    partitions: int
    emptied_ms: int
    longest_held_ms: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Orders:
    """Outcomes of orders under one history policy; each order is sent once."""

    policy: str
    outcomes: dict[str, int]
    twice: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PathRate:
    """Request rate of one path, relative to direct calls of that round."""

    way: str
    ratio: float
    lowest: float
    highest: float


def measure_balance() -> list[Balance]:
    """Return imbalance and churn for skewed keys with changing hot keys."""
    placements = (
        ("fixed owners", "hashed", False, planning.FixedTrial),
        ("hashed", "hashed", False, planning.Trial),
        ("weighed + split", "weighed", True, planning.Trial),
    )
    rows = []
    for size in DEPLOYMENT_SIZES:
        for skew in KEY_SKEWS:
            for way, planner, splitting, trial_class in placements:
                trial = planning.run_trial(
                    size.site, skew, planner, splitting, trial_class
                )
                rows.append(
                    Balance(
                        site=size.site.name,
                        way=way,
                        skew=skew,
                        figures=trial.summarize(),
                        unserved=_get_unserved_fraction(trial),
                    )
                )
    return rows


def _get_unserved_fraction(trial) -> float | None:
    """Return the fraction of all requests that went to the lost server."""
    if not isinstance(trial, planning.FixedTrial):
        return None
    return trial.unserved / (planning.STEPS * planning.REQUESTS_PER_STEP)


def measure_losses() -> list[Loss]:
    """Return the cost of each failure, with a standby and without."""
    rows = []
    for size in DEPLOYMENT_SIZES:
        for name in failover.FAILURES:
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
    """Return goodput for skewed keys, with admission control and without."""
    rows = []
    for size in DEPLOYMENT_SIZES:
        for load in OFFERED_LOADS:
            for way, discipline in ADMISSION_DISCIPLINES.items():
                offered, _, capacity = testing.run_manual(
                    goodput.run_load(
                        load=load,
                        servers=size.site.servers,
                        duration_ms=LOAD_DURATION_MS,
                        skew=LOAD_KEY_SKEW,
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
    """Return the time until a draining server owns no partition, by size."""
    rows = []
    for size in DEPLOYMENT_SIZES:
        owned_count, emptied_ms, held_ms = testing.run_manual(
            server_drain.measure(size.site.partitions, size.site.servers)
        )
        rows.append(
            Drain(
                site=size.site.name,
                partitions=owned_count,
                emptied_ms=emptied_ms,
                longest_held_ms=max(held_ms),
            )
        )
    return rows


def measure_edits() -> list[propagation.Result]:
    """Return the time until edits are in force, by case."""
    cases = ("normal", "half of the pollers lost")
    return [testing.run_manual(propagation.run_case(c)) for c in cases]


def measure_orders() -> list[Orders]:
    """Return the outcomes of orders while the leader crashes, by policy."""
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


def measure_path() -> list[PathRate]:
    """Return the request rate of each path, relative to direct calls."""
    paths = asyncio.run(router_overhead.measure((CONCURRENCY,)))[CONCURRENCY]
    direct_s = paths[0].rounds_s
    rows = []
    for path in paths[1:]:
        ratios = [
            direct_round_s / round_s
            for direct_round_s, round_s in zip(
                direct_s, path.rounds_s, strict=True
            )
        ]
        rows.append(
            PathRate(
                way=path.name,
                ratio=sum(direct_s) / path.elapsed_s,
                lowest=min(ratios),
                highest=max(ratios),
            )
        )
    noise = [round_s * len(direct_s) / sum(direct_s) for round_s in direct_s]
    rows.append(
        PathRate(
            way="direct, each round against their mean (noise)",
            ratio=1.0,
            lowest=min(noise),
            highest=max(noise),
        )
    )
    return rows
