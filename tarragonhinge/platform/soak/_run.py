"""Runs seeds of the fault soak."""

import asyncio
import dataclasses
import pathlib
import random
import tempfile
import time

from tarragonhinge.platform.soak import _callers
from tarragonhinge.platform.soak import _checks
from tarragonhinge.platform.soak import _disturbances
from tarragonhinge.platform.soak import _testbed

#: Time before the first disturbance and time after the last one, in seconds.
_STARTUP_S = 4.0
_RECOVERY_S = 8.0

#: First of the loopback subnets, of which each concurrent run uses one.
_FIRST_SUBNET = 20


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SoakOptions:
    """Size of a run and what it checks.

    Parameters
    ----------
    seconds : float
        Duration of the disturbances.
    instances : int
        Number of instances.
    requests_per_s : float
        Mean rate of new requests.
    checks_time_limits : bool
        Whether time limits are checked too; they do not hold on a machine
        that is busy with other work.
    only : tuple of str
        Names of the disturbances to choose from; all if empty.
    """

    seconds: float = 12.0
    instances: int = 4
    requests_per_s: float = 40.0
    checks_time_limits: bool = True
    only: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SoakResult:
    """Result of one seed.

    Parameters
    ----------
    seed : int
        Seed of the random choices.
    disturbances : list of str
        Names of the applied disturbances, in order.
    attempts, served : int
        Number of attempts, and number of attempts with status 200.
    violations : list of str
        One message for each violated guarantee.
    """

    seed: int
    disturbances: list[str]
    attempts: int
    served: int
    violations: list[str]


async def run_seed(
    seed: int, *, options: SoakOptions, folder: pathlib.Path, subnet: int
) -> SoakResult:
    """Run one seed, with settings and logs of the instances in `folder`."""
    rng = random.Random(seed)
    testbed = _testbed.Testbed(
        subnet=subnet, size=options.instances, folder=folder, rng=rng
    )
    callers = _callers.Callers(
        testbed=testbed, requests_per_s=options.requests_per_s
    )
    checks = _checks.Checks(testbed=testbed, callers=callers)
    await testbed.start()
    tasks = [
        asyncio.create_task(callers.run()),
        asyncio.create_task(checks.watch_ownership()),
    ]
    if options.checks_time_limits:
        tasks.append(asyncio.create_task(checks.watch_routes()))
    try:
        await asyncio.sleep(_STARTUP_S)
        disturbances = await _disturb(testbed, options)
        await asyncio.sleep(_RECOVERY_S / 2)
        recovered_at = time.monotonic()
        await asyncio.sleep(_RECOVERY_S / 2)
        if options.checks_time_limits:
            await checks.check_new_route()
        checks.check_processes()
        tasks[0].cancel()
        await callers.finish()
    finally:
        for task in tasks:
            task.cancel()
        await testbed.stop()
    checks.check_attempts()
    checks.check_crashing_requests()
    checks.check_responses()
    checks.check_crash_reports()
    if options.checks_time_limits:
        checks.check_cuts()
        checks.check_recovery(recovered_at)
        checks.check_drained()
        checks.check_lost()
        checks.check_limits()
    return SoakResult(
        seed=seed,
        disturbances=disturbances,
        attempts=len(callers.attempts),
        served=sum(a.status == 200 for a in callers.attempts),
        violations=checks.violations,
    )


async def _disturb(
    testbed: _testbed.Testbed, options: SoakOptions
) -> list[str]:
    """Apply random disturbances, which may overlap; return their names."""
    names = options.only or _disturbances.DISTURBANCES.names()
    ends_at = time.monotonic() + options.seconds
    disturbances: list[str] = []
    async with asyncio.TaskGroup() as group:
        while time.monotonic() < ends_at:
            kind = testbed.rng.choice(names)
            disturbances.append(kind)
            testbed.record_disturbance()
            disturbance = _disturbances.DISTURBANCES.find(kind)()
            group.create_task(disturbance.apply(testbed))
            await asyncio.sleep(testbed.rng.uniform(0.2, 3.0))
    testbed.record_disturbance()
    return disturbances


async def run_seeds(
    seeds: list[int],
    *,
    options: SoakOptions,
    parallel: int,
    folder: pathlib.Path | None = None,
) -> list[SoakResult]:
    """Run seeds, up to `parallel` at a time, and print each result."""
    root = folder or pathlib.Path(tempfile.mkdtemp(prefix="soak-"))
    subnets = asyncio.Queue()
    for number in range(parallel):
        subnets.put_nowait(_FIRST_SUBNET + number)
    results = []

    async def run_one(seed: int) -> None:
        subnet = await subnets.get()
        seed_folder = root / f"seed-{seed}"
        seed_folder.mkdir(parents=True, exist_ok=True)
        try:
            result = await run_seed(
                seed, options=options, folder=seed_folder, subnet=subnet
            )
        finally:
            subnets.put_nowait(subnet)
        results.append(result)
        state = "; ".join(result.violations) if result.violations else "kept"
        print(
            f"seed {seed}: {result.attempts} attempts, {result.served} "
            f"served, {len(result.disturbances)} disturbances: {state}",
            flush=True,
        )

    await asyncio.gather(*(run_one(seed) for seed in seeds))
    broken = [r for r in results if r.violations]
    print(f"{len(results)} seeds, {len(broken)} broken; logs in {root}")
    return results
