"""Retries of an entry, with leaders that fail in different ways."""

import pytest

from tarragonhinge import base
from tarragonhinge import dispatch
from tarragonhinge import peers
from tarragonhinge import routing
from tarragonhinge import testing

ANSWERED = dispatch.ForwardAnswered(status=200, headers=(), body=b"")
OVERLOADED = dispatch.ForwardNotRun(reason=base.NotRunReason.OVERLOADED)
NOT_LEADER = dispatch.ForwardNotRun(reason=base.NotRunReason.NOT_LEADER)
LOST = peers.PeerFailure(reason=peers.FailureReason.LOST)
NOT_SENT = peers.PeerFailure(reason=peers.FailureReason.NOT_SENT)
TIMEOUT = peers.PeerFailure(reason=peers.FailureReason.TIMEOUT)

KEY = "017f22e2-79b0-7cc3-98c4-dc0c0c07398f"


class _Directory:
    def choose_address(self, shard, attempt):
        return base.Address("other")

    def record_leader(self, shard, address):
        pass

    def forget_leader(self, shard):
        pass

    def mark_suspect(self, address):
        pass


class _Transport:
    """Transport that returns the listed replies in turn."""

    address = base.Address("me")

    def __init__(self, replies):
        self.replies = list(replies)
        self.call_count = 0

    async def call(self, address, message, *, timeout_ms):
        self.call_count += 1
        return self.replies.pop(0)


@pytest.mark.parametrize(
    ("idempotent", "key", "replies", "expected", "expected_calls"),
    [
        (True, "", [LOST, ANSWERED], 200, 2),
        (False, KEY, [LOST, ANSWERED], 200, 2),
        (False, "", [LOST], base.UnknownReason.LEADER_LOST, 1),
        (False, "", [NOT_SENT, ANSWERED], 200, 2),
        (False, "", [NOT_LEADER, ANSWERED], 200, 2),
        (False, "", [OVERLOADED], base.NotRunReason.OVERLOADED, 1),
        (True, "", [LOST, OVERLOADED], base.UnknownReason.LEADER_LOST, 2),
        (False, KEY, [LOST, OVERLOADED], base.UnknownReason.LEADER_LOST, 2),
        (True, "", [TIMEOUT, ANSWERED], 200, 2),
    ],
)
def test_retries_end_in_the_expected_outcome(
    idempotent, key, replies, expected, expected_calls
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
        assert transport.call_count == expected_calls

    testing.run_manual(scenario())
