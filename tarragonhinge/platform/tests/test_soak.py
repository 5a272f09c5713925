"""A short soak with a fixed seed violates no guarantee on outcomes."""

import asyncio

import pytest

from tarragonhinge.platform import soak


@pytest.mark.parametrize(
    ("seed", "only"),
    [
        (1, ()),
        (2, ("pause", "storm")),
        (3, ("store_restored",)),
        (4, ("server_limit", "roll")),
    ],
)
def test_short_soak(seed, only, tmp_path):
    options = soak.SoakOptions(
        seconds=4, instances=3, checks_time_limits=False, only=only
    )
    result = asyncio.run(
        soak.run_seed(seed, options=options, folder=tmp_path, subnet=99)
    )
    assert result.violations == []
    assert result.served > 0
