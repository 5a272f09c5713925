"""Permits for tests without limited servers, or with a few."""

from tarragonhinge import base
from tarragonhinge import limits
from tarragonhinge.testing import _event_log


def make_permits(
    clock: base.Clock, *, instances: int = 1, rank: int = 0
) -> limits.Permits:
    """Return permits of one of several instances, without an issuer."""
    log = _event_log.make_event_log(clock)
    return limits.Permits(
        limits=limits.ServerLimits(
            log=log, cold=limits.ColdServers(log=log, clock=clock)
        ),
        get_instances=lambda: instances,
        clock=clock,
        get_rank=lambda: rank,
    )
