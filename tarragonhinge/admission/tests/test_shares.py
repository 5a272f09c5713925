"""Tests of shares of limits while a new table version propagates."""

import asyncio
import itertools
import random

import pytest

from tarragonhinge import admission
from tarragonhinge import base
from tarragonhinge import configuration
from tarragonhinge import testing

#: Longest delay until a leader receives a version.  A version is required to
#: be in force everywhere within seconds.
PROPAGATION_MS = 9000

REGIONS = ["centro", "sur", "austral"]


def _make_table(version, rows):
    return configuration.OperatorsTable(
        version=base.TableVersion(version), rows=rows
    )


def _make_row(homes, service="histories", servers=(), **limits):
    return configuration.ServiceRow(
        service=service,
        partitions=12,
        homes=homes,
        servers=list(servers),
        **limits,
    )


@pytest.mark.parametrize(
    "homes", [REGIONS[:1], REGIONS, REGIONS[:2] + ["sur"]]
)
@pytest.mark.parametrize("limit", [1, 2, 10, 97])
def test_shares_add_up_to_the_limit(homes, limit):
    row = _make_row(homes, rate=float(limit), concurrency=limit)
    shares = [
        admission.compute_share(
            _make_table(1, [row]), base.make_shard_id(row.service, region)
        )
        for region in row.list_regions()
    ]
    assert sum(s.concurrency for s in shares) == limit
    assert sum(s.rate for s in shares) == pytest.approx(limit)


def _compute_concurrency(table, region):
    shard = base.make_shard_id("histories", region)
    return admission.compute_share(table, shard).concurrency


def _compute_slots(table, service):
    shard = base.make_shard_id(service, "centro")
    return admission.compute_slots(table, shard, base.Address("a:1"))


SERVER = configuration.ServerEntry(
    server="s0", address="a:1", region="centro", zone="centro-a"
)
SHARE_CHANGES = [
    # Share, names of the leaders, rows before and after, limit of the sum.
    (
        _compute_concurrency,
        ["centro", "sur"],
        [_make_row(["centro", "sur"], concurrency=10)],
        [_make_row(["centro", "sur", "sur", "sur"], concurrency=10)],
        10,
    ),
    (
        _compute_concurrency,
        REGIONS,
        [_make_row(REGIONS, concurrency=30)],
        [_make_row(REGIONS, concurrency=12)],
        30,
    ),
    (
        _compute_slots,
        ["orders", "stock"],
        [_make_row(["centro"], "orders", [SERVER], slots=4)],
        [
            _make_row(["centro"], "orders", [SERVER], slots=4),
            _make_row(["centro"], "stock", [SERVER], slots=4),
        ],
        4,
    ),
]


@pytest.mark.parametrize("compute, names, old, new, limit", SHARE_CHANGES)
@pytest.mark.parametrize("seed", range(5))
def test_shares_do_not_exceed_the_limit_while_they_change(
    compute, names, old, new, limit, seed
):
    """The leaders receive each version at different times.

    The shares increase and decrease.
    """
    rng = random.Random(seed)

    async def scenario():
        clock = testing.ManualClock()
        views = {name: configuration.TableView() for name in names}
        tables = {
            name: admission.RecentTables(view=view, clock=clock)
            for name, view in views.items()
        }

        async def receive(view, table, delay_ms):
            await asyncio.sleep(delay_ms / base.MS_PER_S)
            view.advance(table)

        for view in views.values():
            view.advance(_make_table(1, old))
        for version, rows in ((2, new), (3, old), (4, new)):
            table = _make_table(version, rows)
            deliveries = [
                asyncio.create_task(
                    receive(view, table, rng.randrange(PROPAGATION_MS))
                )
                for view in views.values()
            ]
            for _ in itertools.repeat(None, 120):
                shares = [
                    tables[name].find_least(lambda t, n=name: compute(t, n))
                    for name in names
                ]
                assert sum(shares) <= limit
                await asyncio.sleep(0.2)
            await asyncio.gather(*deliveries)
        final = [compute(_make_table(4, new), name) for name in names]
        assert shares == final

    testing.run_manual(scenario())
