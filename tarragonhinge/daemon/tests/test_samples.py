"""Metric samples and state dump of an instance."""

import msgspec
import pytest

from tarragonhinge import base
from tarragonhinge import operators
from tarragonhinge import testing

KEY = "certificate-4711"
IDEMPOTENCY_KEY = "019b76da-a800-7000-8000-000000004711"
SHARD = "balances/centro"


def _collect(node):
    samples = node.instance.read_samples()
    return {(s.metric.name, *s.labels): s.value for s in samples}


def _make_metric_name(suffix):
    return f"tarragonhinge_{suffix}"


def test_exactly_the_documented_metrics_are_reported():
    async def scenario():
        deployment = testing.Deployment()
        await deployment.start()
        await deployment.send(deployment.nodes[0], KEY)
        reported = {
            sample.metric
            for node in deployment.nodes
            for sample in node.instance.read_samples()
        }
        assert reported == set(operators.METRICS)
        collector = operators.InstanceCollector(
            read_samples=deployment.find_leaders()[0].instance.read_samples
        )
        text = operators.render_metrics(collector).decode()
        assert 'partitions_assigned_total{shard="balances/centro"} 8' in text

    testing.run_manual(scenario())


def test_sample_rejects_wrong_labels():
    metric = next(m for m in operators.METRICS if m.labels == ("shard",))
    with pytest.raises(base.ParameterError):
        operators.Sample(metric=metric, value=1, labels=())


@pytest.mark.parametrize(
    ("servers", "imbalance"), [(1, 1.0), (2, 1.0), (3, 3 / (8 / 3))]
)
def test_imbalance_is_the_ratio_of_largest_to_mean_load(servers, imbalance):
    async def scenario():
        row = testing.make_row(servers=servers)
        deployment = testing.Deployment(row=row)
        await deployment.start()
        values = _collect(deployment.find_leaders()[0])
        assert values[_make_metric_name("imbalance_ratio"), SHARD] == imbalance
        assert values[_make_metric_name("partitions_unserved"), SHARD] == 0

    testing.run_manual(scenario())


def test_unavailable_time_grows_while_no_server_is_up():
    async def scenario():
        row = testing.make_row(servers=1)
        deployment = testing.Deployment(row=row)
        await deployment.start()
        leader = deployment.find_leaders()[0]
        name = _make_metric_name("unavailable_partition_seconds")
        before_s = _collect(leader)[name, SHARD]
        await deployment.wait(5000)
        assert _collect(leader)[name, SHARD] == before_s
        deployment.servers[base.ServerId("s0")].up = False
        await deployment.wait(10_000)
        after = _collect(leader)
        assert after[_make_metric_name("partitions_unserved"), SHARD] == 8
        # 8 partitions for 10 s, minus the time to detect the crash.
        assert 8 * 8 <= after[name, SHARD] - before_s <= 8 * 10

    testing.run_manual(scenario())


def test_dump_contains_no_key_and_no_secret():
    async def scenario():
        deployment = testing.Deployment()
        await deployment.start()
        for method in ("GET", "POST"):
            outcome = await deployment.send(
                deployment.nodes[0],
                KEY,
                method=method,
                idempotency_key=IDEMPOTENCY_KEY,
                body=b"secret body",
            )
            assert isinstance(outcome, base.Answered), outcome
        for node in deployment.nodes:
            text = msgspec.json.encode(node.instance.dump()).decode()
            assert "limits" in text
            for secret in (KEY, IDEMPOTENCY_KEY, "secret", "token"):
                assert secret not in text

    testing.run_manual(scenario())
