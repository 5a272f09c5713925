"""An entry's attempts, with leaders that fail in each way."""

import pytest

from tarragonhinge import base
from tarragonhinge import dispatch
from tarragonhinge import peers
from tarragonhinge import routing
from tarragonhinge import testing

ANSWER = dispatch.ForwardAnswered(status=200, headers=(), body=b"")
BUSY = dispatch.ForwardNotRun(reason=base.NotRunReason.OVERLOADED)
ELSEWHERE = dispatch.ForwardNotRun(reason=base.NotRunReason.NOT_LEADER)
LOST = peers.PeerFailure(reason=peers.FailureReason.LOST)
NOT_SENT = peers.PeerFailure(reason=peers.FailureReason.NOT_SENT)
TIMEOUT = peers.PeerFailure(reason=peers.FailureReason.TIMEOUT)

KEY = "017f22e2-79b0-7cc3-98c4-dc0c0c07398f"


class _Directory:
    def guess(self, shard, attempt):
        return base.Address("other")

    def learn(self, shard, address):
        pass

    def forget(self, shard):
        pass

    def suspect(self, address):
        pass


class _Transport:
    """Transport whose peer gives the listed replies in turn."""

    address = base.Address("me")

    def __init__(self, replies):
        self.replies = list(replies)
        self.called = 0

    async def call(self, address, message, *, timeout_ms):
        self.called += 1
        return self.replies.pop(0)


@pytest.mark.parametrize(
    ("idempotent", "key", "replies", "expected", "calls"),
    [
        (True, "", [LOST, ANSWER], 200, 2),
        (False, KEY, [LOST, ANSWER], 200, 2),
        (False, "", [LOST], base.UnknownReason.LEADER_LOST, 1),
        (False, "", [NOT_SENT, ANSWER], 200, 2),
        (False, "", [ELSEWHERE, ANSWER], 200, 2),
        (False, "", [BUSY], base.NotRunReason.OVERLOADED, 1),
        (True, "", [LOST, BUSY], base.UnknownReason.LEADER_LOST, 2),
        (False, KEY, [LOST, BUSY], base.UnknownReason.LEADER_LOST, 2),
        (True, "", [TIMEOUT, ANSWER], 200, 2),
    ],
)
def test_attempts_end_in_a_true_outcome(
    idempotent, key, replies, expected, calls
):
    async def scenario():
        transport = _Transport(replies)
        entry = routing.Entry(
            directory=_Directory(),
            transport=transport,
            dispatcher=None,
            clock=testing.ManualClock(),
        )
        request = dispatch.ForwardRequest(
            shard="orders/koshi",
            partition=0,
            key_hash=0,
            method="GET" if idempotent else "POST",
            path="/orders/1",
            time_left_ms=1000,
            idempotency_key=key,
        )
        outcome = await entry.route(request, idempotent=idempotent)
        if isinstance(outcome, base.Answered):
            assert outcome.status == expected
        else:
            assert outcome.reason is expected
        assert transport.called == calls

    testing.run_manual(scenario())
