"""The record of key ranges fits into a row of the store."""

import random
import zlib

import msgspec
import pytest

from tarragonhinge import base
from tarragonhinge import catalog
from tarragonhinge import ranges
from tarragonhinge.ranges.tests import led_service
from tarragonhinge import stores
from tarragonhinge import testing


def _make_record(servers, *, era):
    rng = random.Random(servers)
    count = servers * 5
    starts = sorted(rng.sample(range(1, catalog.KEY_COUNT), count - 1))
    bounds = [0, *starts, catalog.KEY_COUNT]
    return ranges.RangeRecord(
        term=base.Term(7),
        next_fence=90_000,
        era=era,
        segments=[
            catalog.Segment(
                first=bounds[i],
                last=bounds[i + 1] - 1,
                server=base.ServerId(f"ledger-{rng.randrange(servers)}"),
                born_ms=1_767_225_600_000 + rng.randrange(10**9),
                fence=rng.randrange(90_000),
                state=rng.choice(list(catalog.SegmentState)),
            )
            for i in range(count)
        ],
    )


@pytest.mark.parametrize(
    ("servers", "is_json"), [(1, True), (60, True), (77, False), (126, False)]
)
@pytest.mark.parametrize("era", [3, msgspec.UNSET])
def test_record_of_either_form_is_decoded(servers, is_json, era):
    """Guards against a record that older builds can't read without need."""
    record = _make_record(servers, era=era)
    value = ranges.encode_record(record)
    assert (value == msgspec.json.encode(record)) == is_json
    assert stores.compute_encoded_bytes(value) <= 0.75 * 65_536
    assert ranges.decode_record(value) == record


def _pack(*content):
    return b"\x01" + zlib.compress(msgspec.msgpack.encode(content))


@pytest.mark.parametrize(
    "value",
    [
        b"\x01",
        b"\x02",
        b"\x01garbage",
        _pack(1, 2, 3),
        # A holder that is not listed.
        _pack(1, 9, 1, [["s", 1]], [[0, 1, 1, 1, False]]),
        _pack(1, 9, 1, [], [])[:-2],
        # Content that expands beyond all bounds.
        _pack(bytes(8 << 20)),
    ],
)
def test_damaged_compact_record_is_an_error(value):
    """Guards against a coordinator that ends over a damaged row."""
    with pytest.raises(base.CodecError):
        ranges.decode_record(value)


def test_rejected_record_is_not_written_again_as_it_is():
    """Guards against a record that is too long and written again forever.

    No move starts meanwhile, which could not be recorded: the owners keep
    their keys.
    """

    async def run():
        service = led_service.LedService()
        service.start_leader()
        await service.run_for(3_000)
        writes, write = [], service.store.write

        async def count(**arguments):
            writes.append(arguments["puts"])
            return await write(**arguments)

        service.store.write = count
        service.rows.row_bytes = 10
        service.drain("s1")
        await service.run_for(5_000)
        assert len(writes) == 1
        assert service.fleet.count_unowned_keys() == 0
        # Any change writes it again.
        service.rows.row_bytes = 65_536
        service.leader.record_again()
        await service.run_for(1_000)
        assert not service.find_server("s1").list_held_ranges()
        assert service.fleet.count_unowned_keys() == 0
        assert service.fleet.violations == []

    testing.run_manual(run())


def test_full_record_gets_no_more_segments():
    """Guards against keys whose new holder can't be recorded."""

    async def run():
        service = led_service.LedService(servers=8)
        service.rows.row_bytes = 700
        service.start_leader()
        await service.run_for(3_000)
        rng, counts = random.Random(1), []
        for _ in range(60):
            first = rng.randrange(60_000)
            service.leader.record_keys(list(range(first, first + 40)) * 4)
            await service.run_for(500)
            counts.append(
                len(service.view.owners[led_service.SERVICE].segments)
            )
        row = service.rows.rows[ranges.TABLE, led_service.SERVICE]
        assert max(counts) > 100
        assert stores.compute_encoded_bytes(row.value) <= 700
        assert service.fleet.count_unowned_keys() == 0
        assert service.fleet.violations == []

    testing.run_manual(run())


@pytest.mark.parametrize("late_ms", [200, 960, 1_000])
@pytest.mark.parametrize("moment_ms", range(0, 220, 20))
def test_own_write_that_is_applied_late_does_not_end_the_leadership(
    moment_ms, late_ms
):
    """Guards against a coordinator that takes its own write for another's.

    The record was written again meanwhile, with another next fencing token.
    """

    async def run():
        service = led_service.LedService()
        service.start_leader()
        await service.run_for(3_000)
        service.start_server("s1")
        await service.run_for(moment_ms, step_ms=10)
        service.store.faults.loses_answers = True
        service.store.faults.late_ms = late_ms
        await service.run_for(600)
        service.store.faults.loses_answers = False
        # The keys of another restarted holder get fencing tokens meanwhile.
        service.start_server("s2")
        await service.run_for(4_000)
        assert service.fleet.count_unowned_keys() == 0
        assert service.fleet.violations == []

    testing.run_manual(run())
