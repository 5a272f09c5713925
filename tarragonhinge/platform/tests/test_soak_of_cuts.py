"""Short soaks of instances that are cut off from servers."""

import asyncio

import pytest

from tarragonhinge.platform import soak


@pytest.mark.parametrize(
    ("seed", "only"),
    [
        (8, ("cut",)),
        (9, ("cut", "kill", "roll", "store_silent", "crashing_request")),
    ],
)
def test_short_soak_of_cuts(seed, only, tmp_path):
    options = soak.SoakOptions(
        seconds=8, instances=4, checks_time_limits=False, only=only
    )
    result = asyncio.run(
        soak.run_seed(seed, options=options, folder=tmp_path, subnet=96)
    )
    assert result.violations == []
    assert result.served > 0
