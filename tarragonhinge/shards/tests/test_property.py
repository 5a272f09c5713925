"""Ownership holds through random interleavings of faults.

``OWNERSHIP_WALKS`` sets the number of walks, for a longer run.
"""

import dataclasses
import os

import hypothesis
from hypothesis import strategies
import pytest

from tarragonhinge import shards
from tarragonhinge import testing

STEPS = 50
WALKS = int(os.environ.get("OWNERSHIP_WALKS", "40"))

#: Clocks differ by 2 % at most, within the margins of all waits.
RATES = (1.0, 1.01, 0.99)


#: An outage lease short enough to end within a walk.
TIMING = shards.Timing(outage_lease_ms=6000)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Step:
    """A fault, its targets, and the time until the next step."""

    fault: str
    one: int
    other: int
    wait_ms: int


#: Names to choose from; requests and recoveries come often enough that
#: faults meet a deployment that serves.
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
    """Drive a deployment through steps, checking after each."""
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
    """Return settings for `walks` walks, the same ones every time."""
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
def test_ownership_holds_at_every_step(steps):
    monitor = testing.run_manual(walk(steps))
    assert monitor.check_count > STEPS


@_settings(WALKS // 4)
@hypothesis.given(steps=_make_steps())
def test_ownership_holds_where_grants_do_not_lapse(steps):
    testing.run_manual(walk(steps, dialect="until-token"))


@pytest.mark.parametrize("fault", testing.FAULTS.names())
def test_each_fault_alone_is_survived(fault):
    steps = [
        Step(fault=fault, one=number, other=number + 1, wait_ms=400)
        for number in range(3)
    ]
    testing.run_manual(walk(steps))
