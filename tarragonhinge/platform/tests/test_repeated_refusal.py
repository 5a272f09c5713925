"""A refusal that a server writes twice refuses no later request."""

import pytest

from tarragonhinge.platform.tests import test_path

#: Number of requests, of which the first ones are refused.
REQUESTS = 6


# Guards against refusals of requests that run: a faulty server wrote an
# earlier refusal once more in front of the response to the next request.
@pytest.mark.parametrize("target", [test_path.SAFE, test_path.UNSAFE])
@pytest.mark.parametrize("names_refused", [False, True])
@pytest.mark.parametrize("refusals", [1, 2, 3, 4])
def test_refusal_of_an_earlier_request_is_not_taken_for_the_next(
    target, names_refused, refusals
):
    async def check(testbed):
        (server,) = testbed.servers
        server.names_refused = names_refused
        server.repeats_refusals = True
        server.next_modes = ["shed"] * refusals
        for number in range(REQUESTS):
            response = await testbed.send(target)
            runs = testbed.count_executions(f"a{number + 1}")
            assert (response.status, runs) in ((200, 1), (503, 0))
        assert server.executed

    test_path._run(check, names=["i-1"])


@pytest.mark.parametrize("names_refused", [False, True])
def test_refusal_of_the_same_attempt_is_not_taken_for_the_next(names_refused):
    """The owner of its key refuses it, and runs it under a new grant."""

    async def check(testbed):
        first, second = testbed.servers
        first.names_refused = names_refused
        first.repeats_refusals = True
        testbed.set_owner("i-1", 1)
        refuse = first._refuse

        def take_over(*args):
            refuse(*args)
            first.own(0, 65_535, 2)
            testbed.set_owner("i-1", 2)

        first._refuse = take_over
        response = await testbed.send(
            test_path.KEYED, tarragonhinge_shard_key="7"
        )
        assert response.status == 200
        assert (len(first.executed), second.received) == (1, [])

    test_path._run(check, is_keyed=True)
