"""Routes whose requests are distributed among several services."""

import collections

import msgspec
import pytest

from tarragonhinge import base
from tarragonhinge import catalog
from tarragonhinge.platform.tests import test_path

_COUNT = 40


def _split(testbed, weights):
    """Publish a table in which the first route has several targets."""
    table = test_path._make_table(version=2)
    [route, *others] = table.routes
    targets = tuple(
        catalog.Target(service=base.ServiceName(name), weight=weight)
        for name, weight in weights.items()
    )
    services = (
        *table.services,
        catalog.Service(name=base.ServiceName("empty"), max_connections=20),
    )
    testbed.view.set_table(
        msgspec.structs.replace(
            table,
            routes=(msgspec.structs.replace(route, targets=targets), *others),
            services=services,
        )
    )


@pytest.mark.parametrize(
    ("weights", "served"),
    [
        ({"plain": 1.0}, 40),
        ({"plain": 1.0, "empty": 1.0}, 20),
        ({"empty": 3.0, "plain": 1.0}, 10),
        ({"plain": 0.9, "empty": 0.1}, 36),
    ],
)
def test_share_of_a_service_without_servers_is_refused(weights, served):
    """It may be rejected, but not sent to another service."""

    async def check(testbed):
        _split(testbed, weights)
        statuses = collections.Counter()
        for _ in range(_COUNT):
            response = await testbed.send(test_path.SAFE)
            statuses[response.status] += 1
            if response.status == 503:
                fields = dict(response.fields)
                assert float(fields["retry-after"]) > 0
        assert statuses == collections.Counter(
            {200: served, 503: _COUNT - served}
        )

    test_path._run(check)


def test_keyed_and_other_service_share_a_route():
    """The key of a request counts only at the keyed one of the services."""

    async def check(testbed):
        _split(testbed, {"plain": 1.0, "keys": 1.0})
        statuses = [
            (
                await testbed.send(test_path.SAFE, tarragonhinge_shard_key="7")
            ).status
            for _ in range(10)
        ]
        assert sorted(statuses) == [200] * 5 + [503] * 5

    test_path._run(check)
