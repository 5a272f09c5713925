"""Runs the command line as ``python -m tarragonhinge``."""

import signal

# Until an instance reads its settings, news of their change must not end
# it; the imports below take a good part of its start.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from tarragonhinge import cli  # noqa: E402

cli.main()
