"""Partitions never have two owners under random sequences of faults.

The environment variable ``OWNERSHIP_WALKS`` sets the number of random
walks; raise it for a longer run.
"""

import dataclasses
import os

import hypothesis
from hypothesis import strategies
import pytest

from tarragonhinge import shards
from tarragonhinge import testing

#: Number of steps of one random walk.
STEPS = 50

#: Number of random walks.
WALKS = int(os.environ.get("OWNERSHIP_WALKS", "40"))

#: Rates of the instances' clocks.  They differ by 2 % at most, which the
#: margins of all waits cover.
RATES = (1.0, 1.01, 0.99)

#: The outage lease is short enough to expire within a walk.
TIMING = shards.Timing(outage_lease_ms=6000)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Step:
    """Fault, its two targets and the time until the next step."""

    fault: str
    one: int
    other: int
    wait_ms: int


#: Names of the faults to choose from.  Requests and recoveries are
#: repeated, so that faults mostly hit a deployment that serves requests.
CHOICES = (
    *testing.FAULTS.names(),
    *testing.REQUESTS * 5,
    *testing.RECOVERIES,
    *["recover"] * 5,
)


def _make_steps():
    numbers = strategies.integers(0, 5)
    step = strategies.builds(
        Step,
        fault=strategies.sampled_from(CHOICES),
        one=numbers,
        other=numbers,
        wait_ms=strategies.sampled_from([0, 1, 40, 260, 700, 1300, 2600]),
    )
    return strategies.lists(step, min_size=STEPS, max_size=STEPS)


async def walk(steps, dialect="lapsing"):
    """Run a deployment through steps and check ownership after each."""
    deployment = testing.Deployment(
        row=testing.make_row(servers=2, dialect=dialect),
        rates=RATES,
        timing=TIMING,
    )
    monitor = deployment.watch()
    driver = testing.FaultDriver(deployment=deployment)
    await deployment.start(settle_ms=3000)
    for step in steps:
        driver.apply(step.fault, step.one, step.other)
        await deployment.wait(step.wait_ms)
        monitor.verify()
        for node in deployment.nodes:
            for leader in node.instance.coordinator.leaders.values():
                monitor.check_copy(leader.recorder)
    monitor.verify()
    return monitor


def _settings(walks):
    """Return settings for a reproducible run of `walks` walks."""
    return hypothesis.settings(
        derandomize=True,
        max_examples=walks,
        deadline=None,
        database=None,
        phases=[hypothesis.Phase.generate],
        suppress_health_check=list(hypothesis.HealthCheck),
    )


@_settings(WALKS)
@hypothesis.given(steps=_make_steps())
def test_owners_are_unique_at_every_step(steps):
    monitor = testing.run_manual(walk(steps))
    assert monitor.check_count > STEPS


@_settings(WALKS // 4)
@hypothesis.given(steps=_make_steps())
def test_owners_are_unique_where_grants_do_not_lapse(steps):
    testing.run_manual(walk(steps, dialect="until-token"))


@pytest.mark.parametrize("fault", testing.FAULTS.names())
def test_owners_stay_unique_under_each_fault_alone(fault):
    steps = [
        Step(fault=fault, one=number, other=number + 1, wait_ms=400)
        for number in range(3)
    ]
    testing.run_manual(walk(steps))
