"""Requests, responses and a stop in any order.

Hypothesis derives the examples from the source of each test function, so that
a rename within one changes its examples.
"""

import asyncio

import hypothesis
from hypothesis import strategies

from tarragonhinge.http1.tests import caller_side
from tarragonhinge.http1.tests import test_caller_connection
from tarragonhinge.testing import run_manual

#: Requests of one connection, whose targets are their numbers.
REQUESTS = [
    test_caller_connection._get("/0"),
    test_caller_connection._get("/1"),
    test_caller_connection._post("/2", "body"),
    test_caller_connection._get("/3"),
    test_caller_connection._post("/4", "body", "Connection: close\r\n"),
    test_caller_connection._get("/5"),
]

_STEPS = strategies.lists(
    strategies.one_of(
        strategies.tuples(strategies.just("send"), strategies.integers(1, 90)),
        strategies.tuples(strategies.just("turns"), strategies.integers(1, 6)),
        strategies.tuples(
            strategies.just("finish"), strategies.integers(0, 5)
        ),
        strategies.tuples(
            strategies.sampled_from(["stop", "close_idle", "slow", "flush"]),
            strategies.just(0),
        ),
    ),
    max_size=30,
)


async def _play(site, steps):
    text = "".join(REQUESTS)
    for step, argument in steps:
        if step == "send" and text:
            site.send(text[:argument])
            text = text[argument:]
        elif step == "turns":
            await caller_side.settle(argument)
        elif step == "finish":
            site.gates[f"/{argument}"].set()
        elif step == "stop":
            site.is_stopping = True
        elif step == "close_idle" and site.connection.is_idle:
            site.connection.close()
        elif step == "slow" and not site.transport.buffer:
            site.transport.is_slow = True
        elif step == "flush":
            site.transport.flush()


# Shrinking an example would take minutes.
@hypothesis.settings(
    derandomize=True,
    max_examples=60,
    deadline=None,
    phases=[hypothesis.Phase.generate],
)
@hypothesis.given(_STEPS)
def test_each_handled_request_gets_its_response(steps):
    """Until the caller disconnects, whatever the order of events."""

    async def run():
        site = caller_side.CallerSide()
        site.gates = {f"/{n}": asyncio.Event() for n in range(len(REQUESTS))}
        await _play(site, steps)
        for gate in site.gates.values():
            gate.set()
        for _ in range(len(REQUESTS)):
            site.transport.flush()
            await caller_side.settle()
        assert site.cancelled == []
        assert site.count_responses() == len(site.handled)
        expected = {f"/{n}" for n in range(len(site.handled))}
        assert set(site.handled) == expected

    run_manual(run())
