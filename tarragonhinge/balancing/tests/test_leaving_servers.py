"""The owner of keys gets none of their requests once its drain is over."""

import msgspec
import pytest

from tarragonhinge import balancing
from tarragonhinge import base
from tarragonhinge import catalog
from tarragonhinge import testing

ENTRY = catalog.ServerEntry(
    server=base.ServerId("s1"),
    service=base.ServiceName("balances"),
    address=base.Address("10.0.0.1:80"),
    zone=base.ZoneName("z"),
    slots=2,
    born_ms=7,
)
DRAINING = msgspec.structs.replace(ENTRY, state=catalog.ServerState.DRAINING)


@pytest.mark.parametrize(
    ("drain_ms", "says_so", "over_at_ms"),
    [
        (3_000, False, 2_000),
        (2_500, False, 1_500),
        (500, False, 0),
        (3_000, True, 2_000),
        # The bound of a response that says so is a rule of its own.
        (9_000, True, 2_000),
    ],
)
def test_drain_ends_in_time(drain_ms, says_so, over_at_ms):
    """Guards against a draining owner that gets keyed requests forever.

    Only servers that said in a response that they leave were bounded, so that
    an instance whose owner map did not change sent to the others.
    """

    async def run():
        clock = testing.ManualClock()
        view = catalog.View()
        leaving = balancing.LeavingServers(
            view=view,
            drain_ms=drain_ms,
            log=testing.make_event_log(clock),
            clock=clock,
        )
        view.set_servers({ENTRY.server: ENTRY})
        await clock.sleep(5_000)
        incarnation = ENTRY.server, ENTRY.born_ms
        assert not leaving.is_over(incarnation)
        if says_so:
            leaving.record_response(incarnation)
        view.set_servers({ENTRY.server: DRAINING})
        if over_at_ms:
            await clock.sleep(over_at_ms - 1)
            assert not leaving.is_over(incarnation)
            # The entry is missing for a moment, and is listed again.
            view.set_servers({})
            view.set_servers({ENTRY.server: ENTRY})
            await clock.sleep(1)
        assert leaving.is_over(incarnation)
        assert not leaving.is_over((ENTRY.server, 8))

    testing.run_manual(run())
