"""Runs the command line as ``python -m tarragonhinge``."""

import signal

# SIGHUP reports that the settings file has changed.  Its default action
# would terminate an instance that is still starting and has not installed
# its handler, so it is ignored before the imports below, which take a large
# fraction of the start-up time.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from tarragonhinge import cli  # noqa: E402

cli.main()
