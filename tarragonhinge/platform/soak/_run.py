"""Runs seeds of the soak."""

import asyncio
import dataclasses
import pathlib
import random
import tempfile
import time

from tarragonhinge.platform.soak import _callers
from tarragonhinge.platform.soak import _checks
from tarragonhinge.platform.soak import _disturbances
from tarragonhinge.platform.soak import _site

#: Time to start, and to become calm at the end, in seconds.
_START_S = 4.0
_CALM_S = 8.0

#: Loopback networks that runs beside each other use.
_FIRST_NET = 20


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SoakOptions:
    """Size of a run.

    Parameters
    ----------
    seconds : float
        How long disturbances come.
    instances : int
        Number of instances.
    per_s : float
        Requests a second.
    is_timed : bool
        Whether bounds in time are judged too; a machine that is busy
        with something else keeps none.
    """

    seconds: float = 12.0
    instances: int = 4
    per_s: float = 40.0
    is_timed: bool = True


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SoakResult:
    """How one seed ended.

    Parameters
    ----------
    seed : int
        The seed.
    kinds : list of str
        The disturbances that came.
    attempts, served : int
        What callers sent and got.
    broken : list of str
        Promises that were broken.
    """

    seed: int
    kinds: list[str]
    attempts: int
    served: int
    broken: list[str]


async def run_seed(
    seed: int, *, options: SoakOptions, folder: pathlib.Path, net: int
) -> SoakResult:
    """Run one seed; logs of the instances are left in `folder`."""
    rng = random.Random(seed)
    site = _site.Site(net=net, size=options.instances, folder=folder, rng=rng)
    callers = _callers.Callers(site=site, per_s=options.per_s)
    checks = _checks.Checks(site=site, callers=callers)
    await site.start()
    tasks = [
        asyncio.create_task(callers.run()),
        asyncio.create_task(checks.watch()),
    ]
    try:
        await asyncio.sleep(_START_S)
        kinds = await _disturb(site, options.seconds)
        await asyncio.sleep(_CALM_S / 2)
        calm_at = time.monotonic()
        await asyncio.sleep(_CALM_S / 2)
        if options.is_timed:
            await checks.probe_version()
        checks.judge_processes()
        tasks[0].cancel()
        await callers.finish()
    finally:
        for task in tasks:
            task.cancel()
        await site.stop()
    checks.judge()
    if options.is_timed:
        checks.judge_calm(calm_at)
        checks.judge_drained()
    return SoakResult(
        seed=seed,
        kinds=kinds,
        attempts=len(callers.attempts),
        served=sum(a.status == 200 for a in callers.attempts),
        broken=checks.broken,
    )


async def _disturb(site: _site.Site, seconds: float) -> list[str]:
    """Let disturbances come, in series and beside each other."""
    names = _disturbances.DISTURBANCES.names()
    ends_at = time.monotonic() + seconds
    kinds: list[str] = []
    async with asyncio.TaskGroup() as group:
        while time.monotonic() < ends_at:
            kind = site.rng.choice(names)
            kinds.append(kind)
            site.note()
            disturbance = _disturbances.DISTURBANCES.find(kind)()
            group.create_task(disturbance.strike(site))
            await asyncio.sleep(site.rng.uniform(0.2, 3.0))
    site.note()
    return kinds


async def run_seeds(
    seeds: list[int],
    *,
    options: SoakOptions,
    parallel: int,
    folder: pathlib.Path | None = None,
) -> list[SoakResult]:
    """Run seeds, some beside each other, and print each result."""
    root = folder or pathlib.Path(tempfile.mkdtemp(prefix="soak-"))
    nets = asyncio.Queue()
    for number in range(parallel):
        nets.put_nowait(_FIRST_NET + number)
    results = []

    async def run_one(seed: int) -> None:
        net = await nets.get()
        place = root / f"seed-{seed}"
        place.mkdir(parents=True, exist_ok=True)
        try:
            result = await run_seed(
                seed, options=options, folder=place, net=net
            )
        finally:
            nets.put_nowait(net)
        results.append(result)
        state = "; ".join(result.broken) if result.broken else "kept"
        print(
            f"seed {seed}: {result.attempts} attempts, {result.served} "
            f"served, {len(result.kinds)} disturbances: {state}",
            flush=True,
        )

    await asyncio.gather(*(run_one(seed) for seed in seeds))
    broken = [r for r in results if r.broken]
    print(f"{len(results)} seeds, {len(broken)} broken; logs in {root}")
    return results
