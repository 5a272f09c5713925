"""No fencing token is used twice after restores of the store."""

import pytest

from tarragonhinge.ranges.tests import led_service
from tarragonhinge import testing

#: Longest time for which the grants of a former leader are waited for.
WAIT_MS = 8_000

#: Number of fencing tokens that a leader uses after a restore.
USED = 500


# Guards against a token that two servers got for the same keys: each leader
# skipped as many tokens of the same copy as the one before it.
@pytest.mark.parametrize("has_record", [True, False])
@pytest.mark.parametrize("restores", [1, 2, 3])
def test_restores_from_one_copy_share_no_tokens(restores, has_record):
    async def run():
        service = led_service.LedService()
        if has_record:
            service.put_segments(4)
        copied = service.rows.copy()
        first_era, used = service.rows.era, {4}
        for _ in range(restores):
            service.rows.restore(copied)
            service.start_leader(first_era=first_era)
            await service.run_for(WAIT_MS)
            recorder = service.leader._recorder
            tokens = {recorder.allocate_fence() for _ in range(USED)}
            tokens |= {segment.fence for segment in recorder.owners.segments}
            assert min(tokens) > max(used)
            used |= tokens
            await service.stop_leader()
            service.view.owners.clear()
        assert service.fleet.violations == []

    testing.run_manual(run())
