"""Entries of servers whose warm-up goes on, ends or begins again."""

import pytest

from tarragonhinge import base
from tarragonhinge import catalog
from tarragonhinge import feeds
from tarragonhinge import stores
from tarragonhinge import testing


class _Codec:
    """Rows that hold the remaining warm-up time."""

    routing_table, routing_key, servers_table = "op", "config", "servers"

    def decode_server(self, key, value):
        return catalog.ServerEntry(
            server=base.ServerId(key),
            service=base.ServiceName("s"),
            address=base.Address("127.0.0.1:1"),
            zone=base.ZoneName("z"),
            slots=2,
            born_ms=1,
            cold_ms=int(value),
        )


@pytest.mark.parametrize(
    ("read", "published"),
    [
        # Each read entry: time, row version and remaining warm-up.
        ([(0, 1, 3_000), (870, 2, 2_130), (1_740, 3, 1_260)], [3_000]),
        ([(0, 1, 3_000), (870, 2, 2_130), (3_100, 3, 0)], [3_000, 0]),
        ([(0, 1, 0), (870, 2, 2_500)], [0, 2_500]),
        # It becomes cold again before the end, and below the first value.
        (
            [(0, 1, 3_000), (2_000, 2, 1_000), (2_870, 3, 2_230)],
            [3_000, 2_230],
        ),
        # With the same value, which must differ to be sent.
        ([(0, 1, 3_000), (2_000, 2, 3_000)], [3_000, 3_001]),
        # The same row is read once more, after the watch was replaced.
        ([(0, 1, 3_000), (2_000, 1, 3_000)], [3_000]),
        # Entries are read a little later than expected.
        ([(0, 1, 3_000), (1_000, 2, 2_250)], [3_000]),
    ],
)
def test_warm_up_is_published_when_it_begins_again(read, published):
    """Guards against a cold server that other instances take for warm."""

    async def run():
        clock = testing.ManualClock()
        view = catalog.View()
        feed = feeds.CatalogFeed(
            store=None,
            codec=_Codec(),
            view=view,
            log=testing.make_event_log(clock),
            clock=clock,
        )
        seen = []
        for at_ms, version, cold_ms in read:
            await clock.sleep(at_ms - clock.now())
            row = stores.StoredRow(
                table="servers",
                key="s1",
                value=str(cold_ms).encode(),
                version=version,
            )
            feed._handle_servers([row], False)
            entry = view.servers[base.ServerId("s1")]
            if not seen or entry != seen[-1]:
                seen.append(entry)
        assert [entry.cold_ms for entry in seen] == published

    testing.run_manual(run())
