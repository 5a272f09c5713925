"""Collects the metric samples of an instance."""

from __future__ import annotations

from collections.abc import Iterator
from typing import TYPE_CHECKING

from tarragonhinge import base
from tarragonhinge.daemon import _unserved_meter
from tarragonhinge.operators import catalog
from tarragonhinge import shards

if TYPE_CHECKING:
    from tarragonhinge.daemon import _instance

_Sample = catalog.Sample


def read_samples(instance: _instance.Instance) -> list[catalog.Sample]:
    """Return the current samples of all metrics."""
    return [
        *_read_requests(instance),
        *_read_table(instance),
        *_read_shards(instance),
        *_read_servers(instance),
    ]


def _read_requests(
    instance: _instance.Instance,
) -> Iterator[catalog.Sample]:
    counts = instance.entry.counts
    yield _Sample(metric=catalog.READY, value=int(instance.is_ready()))
    yield _Sample(metric=catalog.IN_FLIGHT, value=instance.frontend.in_flight)
    yield _Sample(metric=catalog.REDIRECTS, value=counts.redirects)
    yield _Sample(metric=catalog.FORWARDS_LOST, value=counts.lost)
    for outcome in (base.Answered, base.NotRun, base.Unknown):
        name = outcome.__name__
        yield _Sample(
            metric=catalog.REQUESTS,
            value=instance.frontend.outcomes[name],
            labels=(name,),
        )


def _read_table(instance: _instance.Instance) -> Iterator[catalog.Sample]:
    yield _Sample(
        metric=catalog.TABLE_VERSION, value=instance.view.current.version
    )
    fleet = instance.propagator.get_fleet_version()
    if fleet is not None:
        lagging_or_silent = len(fleet.lagging) + len(fleet.silent)
        for metric, value in (
            (catalog.FLEET_TABLE_VERSION, fleet.version),
            (catalog.FLEET_INSTANCES, fleet.instances),
            (catalog.FLEET_LAGGING, lagging_or_silent),
        ):
            yield _Sample(metric=metric, value=value)
    yield _Sample(
        metric=catalog.TABLE_READ_FAILURES, value=instance.poller.failures
    )
    yield _Sample(metric=catalog.TABLE_DAMAGED, value=instance.store.damaged)
    yield _Sample(metric=catalog.TOKENS_REFUSED, value=instance.tokens.refused)
    for result in instance.editor.RESULTS:
        yield _Sample(
            metric=catalog.EDITS,
            value=instance.editor.results[result],
            labels=(result,),
        )


def _read_shards(instance: _instance.Instance) -> Iterator[catalog.Sample]:
    coordinator = instance.coordinator
    yield _Sample(metric=catalog.SHARDS_LED, value=len(coordinator.leaders))
    yield _Sample(
        metric=catalog.SHARDS_STOOD_BY, value=len(coordinator.standbys)
    )
    for shard, leader in coordinator.leaders.items():
        unavailable_ms = instance.unserved_meter.partition_ms[shard]
        remaining_ms = leader.authority.get_remaining_ms()
        for metric, value in (
            (catalog.AUTHORITY_LEFT, remaining_ms / base.MS_PER_S),
            (catalog.PARTITIONS_ASSIGNED, leader.owners.moved_count),
            (catalog.IMBALANCE_RATIO, compute_imbalance(leader)),
            (
                catalog.PARTITIONS_UNSERVED,
                _unserved_meter.count_unserved(leader),
            ),
            (
                catalog.UNAVAILABLE_PARTITION_SECONDS,
                unavailable_ms / base.MS_PER_S,
            ),
        ):
            yield _Sample(metric=metric, value=value, labels=(shard,))


def _read_servers(instance: _instance.Instance) -> Iterator[catalog.Sample]:
    for shard, limits in instance.dispatcher.dump()["limits"].items():
        if shard not in instance.coordinator.leaders:
            continue
        for server, slots in limits["servers"].items():
            labels = (shard, server)
            for metric, value in (
                (catalog.SERVER_RUNNING, slots["running"]),
                (catalog.SERVER_WAITING, slots["waiting"]),
            ):
                yield _Sample(metric=metric, value=value, labels=labels)


def compute_imbalance(leader: shards.ShardLeader) -> float:
    """Return the ratio of the largest to the mean load of a shard's servers.

    The load of a server is its number of partitions divided by its weight.
    The mean includes listed servers that own no partition.  The ratio is 1
    if the load is even.
    """
    _, region = base.split_shard_id(leader.shard)
    weights = {
        entry.server: entry.weight for entry in leader.row.list_servers(region)
    }
    counts = dict.fromkeys(weights, 0)
    for assignment in leader.record.owners.values():
        if assignment.server in counts:
            counts[assignment.server] += 1
    total = sum(counts.values())
    if not total:
        return 1.0
    mean = total / sum(weights.values())
    return max(counts[name] / weights[name] for name in counts) / mean
