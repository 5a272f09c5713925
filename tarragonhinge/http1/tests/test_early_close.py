"""Connections that a stop closes while they are being accepted."""

from tarragonhinge.http1.tests import caller_side
from tarragonhinge.http1.tests import test_caller_connection
from tarragonhinge.testing import run_manual


def test_connection_closed_before_it_is_made_ends():
    """It stayed open, and its requests were read and dropped."""

    async def run():
        site = caller_side.CallerSide(is_connected=False)
        site.connection.close()
        site.stream.connection_made(site.transport)
        await caller_side.settle()
        site.send(test_caller_connection._get("/1"))
        await caller_side.settle()
        assert site.handled == []
        assert site.transport.is_closing()
        assert site.task.done()

    run_manual(run())
