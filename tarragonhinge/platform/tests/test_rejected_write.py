"""A write that the store never accepts is told apart from an outage."""

import asyncio

import pytest

from tarragonhinge import base
from tarragonhinge import events
from tarragonhinge import http1
from tarragonhinge.platform import _row_store
from tarragonhinge.platform import standins
from tarragonhinge import stores
from tarragonhinge import testing

ADDRESS = base.Address("127.97.0.9:8000")


def _put(key="k", size=1):
    return stores.RowPut(table="t", key=key, value=b"v" * size)


@pytest.mark.parametrize(
    ("puts", "is_accepted"),
    [
        ([_put(size=49_152)], True),
        ([_put(size=49_153)], False),
        ([_put(key="k" * 200)], True),
        ([_put(key="k" * 201)], False),
        ([_put(key="")], False),
        ([_put(key=f"k{n}") for n in range(100)], True),
        ([_put(key=f"k{n}") for n in range(101)], False),
        ([_put(key=f"k{n}", size=40_000) for n in range(20)], False),
    ],
)
def test_write_beyond_a_bound_is_rejected(puts, is_accepted):
    """Guards against a write that is repeated forever.

    Every status but 200 and 412 counted as an outage of the store.
    """

    async def run():
        clock = base.Clock()
        log, written = testing.make_event_log(clock), []
        log.write = written.append
        store = standins.StandInStore()
        runner = await http1.listen(store.make_application(), ADDRESS)
        client = _row_store.PlatformStore(address=ADDRESS, log=log)
        try:
            await client.read("t")
            for _ in range(2):
                result = await client.write(checks=[], puts=puts, era=1)
                expected = stores.Committed if is_accepted else stores.Rejected
                assert isinstance(result, expected)
            assert client.rejected_count == (0 if is_accepted else 2)
            (rejected,) = written or [None]
            if not is_accepted:
                assert isinstance(rejected, events.WriteRejected)
                largest = max(len(put.value) for put in puts)
                assert rejected.bytes == (largest + 2) // 3 * 4
                assert rejected.limit_bytes == 65_536
            assert bool(store.rows.list_rows("t")) == is_accepted
        finally:
            await client.close()
            await runner.cleanup()

    asyncio.run(run())
