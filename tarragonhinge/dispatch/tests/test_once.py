"""Requests with an idempotency key run at most once."""

import asyncio

import pytest
import uuid6

from tarragonhinge import base
from tarragonhinge import dispatch
from tarragonhinge import testing


def _make_key(offset_ms=0):
    """Return a UUIDv7 created at the manual clock's time."""
    now = testing.ManualClock().read_wall_time() + offset_ms
    template = uuid6.uuid7().int & ((1 << 80) - 1)
    return str(uuid6.UUID(int=(now << 80) | template))


def _count_runs(deployment, key):
    return sum(
        run.idempotency_key == key
        for server in deployment.servers.values()
        for run in server.runs
    )


@pytest.mark.parametrize("concurrent", [True, False])
def test_duplicate_requests_run_once(concurrent):
    async def scenario():
        deployment = testing.Deployment()
        await deployment.start()
        key = _make_key()

        def send(node):
            return deployment.send(
                node, "k1", method="POST", idempotency_key=key
            )

        if concurrent:
            outcomes = await asyncio.gather(
                *(send(node) for node in deployment.nodes)
            )
        else:
            outcomes = [await send(node) for node in deployment.nodes]
        assert all(isinstance(o, base.Answered) for o in outcomes)
        assert _count_runs(deployment, key) == 1

    testing.run_manual(scenario())


@pytest.mark.parametrize(
    ("make_key", "body", "reason"),
    [
        (lambda: "order-12", b"", base.NotRunReason.BAD_REQUEST),
        (lambda: _make_key(60_000), b"", base.NotRunReason.BAD_REQUEST),
        (
            lambda: _make_key(-3_600_000),
            b"",
            base.UnknownReason.HISTORY_LOST,
        ),
    ],
    ids=["not a UUIDv7", "from the future", "outside the window"],
)
def test_requests_with_invalid_or_expired_keys_are_not_run(
    make_key, body, reason
):
    async def scenario():
        deployment = testing.Deployment()
        await deployment.start()
        key = make_key()
        outcome = await deployment.send(
            deployment.nodes[0],
            "k1",
            method="POST",
            idempotency_key=key,
            body=body,
        )
        assert outcome.reason is reason
        assert _count_runs(deployment, key) == 0

    testing.run_manual(scenario())


def test_key_reuse_with_another_body_is_refused():
    async def scenario():
        deployment = testing.Deployment()
        await deployment.start()
        key = _make_key()
        node = deployment.nodes[0]
        first, second = [
            await deployment.send(
                node, "k1", method="POST", idempotency_key=key, body=body
            )
            for body in (b"1", b"2")
        ]
        assert isinstance(first, base.Answered)
        assert second.reason is base.NotRunReason.KEY_REUSED

    testing.run_manual(scenario())


@pytest.mark.parametrize(
    "outcome",
    [
        base.Answered(status=201, headers=(("A", "b"),), body=b"x"),
        base.NotRun(reason=base.NotRunReason.MOVING, retry_after_ms=5),
        base.Unknown(reason=base.UnknownReason.TIMEOUT),
    ],
)
def test_outcomes_are_encoded_without_loss(outcome):
    message = dispatch.encode_outcome(outcome)
    assert dispatch.decode_outcome(message) == outcome
