"""Short soaks of crashing requests and of what servers say of themselves."""

import asyncio

import pytest

from tarragonhinge.platform import soak


@pytest.mark.parametrize(
    ("seed", "only"),
    [
        (5, ("crashing_request", "server_crash")),
        (6, ("crashing_request", "kill_all", "server_wait")),
        (7, ("server_leaving", "server_wait")),
    ],
)
def test_short_soak_of_servers(seed, only, tmp_path):
    options = soak.SoakOptions(
        seconds=4, instances=3, checks_time_limits=False, only=only
    )
    result = asyncio.run(
        soak.run_seed(seed, options=options, folder=tmp_path, subnet=98)
    )
    assert result.violations == []
    assert result.served > 0
