"""Helper of the tests of this package."""

import functools

from tarragonhinge import testing


def on_manual_time(test):
    """Run an asynchronous test on manual time."""

    @functools.wraps(test)
    def run(**arguments):
        testing.run_manual(test(**arguments))

    return run
