"""Schedule of a graceful stop and the requests that it admits.

A stop has two parts.  During the notice the load balancer may still open
connections, so all requests are admitted.  After the notice a request is
admitted only if its deadline lies before the time at which the remaining
requests are aborted; another instance can serve the others.
"""

from tarragonhinge import base

#: Time after SIGTERM during which the load balancer may open connections: it
#: stops after two failed readiness probes, which are one second apart.
NOTICE_MS = 2_500

#: Time before SIGKILL at which the remaining requests are aborted.
KILL_MARGIN_MS = 300

#: Time between the deadline of an admitted request and the abort, in which
#: its response is written.
RESPONSE_MARGIN_MS = 100

#: Time after the abort in which the responses to aborted requests are written.
ABORT_RESPONSE_MS = 150


class Shutdown:
    """Graceful stop of one instance.

    Parameters
    ----------
    kill_after_ms : int
        Time between SIGTERM and SIGKILL.
    clock : Clock
        This process's clock.
    """

    def __init__(self, *, kill_after_ms: int, clock: base.Clock) -> None:
        self._duration_ms = max(0, kill_after_ms - KILL_MARGIN_MS)
        self._clock = clock
        self._began_at: int | None = None

    @property
    def has_begun(self) -> bool:
        """Whether the instance is stopping."""
        return self._began_at is not None

    def begin(self) -> None:
        """Begin the stop."""
        self._began_at = self._clock.now()

    def compute_elapsed_ms(self) -> int:
        """Return the time since the stop began; 0 before it."""
        if self._began_at is None:
            return 0
        return self._clock.now() - self._began_at

    def is_notice_over(self) -> bool:
        """Return whether the load balancer opens no more connections."""
        return self.compute_elapsed_ms() >= min(NOTICE_MS, self._duration_ms)

    def is_time_up(self) -> bool:
        """Return whether the remaining requests are to be aborted."""
        return self.compute_elapsed_ms() >= self._duration_ms

    def is_over(self) -> bool:
        """Return whether the process is to end, whatever is in progress."""
        elapsed_ms = self.compute_elapsed_ms()
        return elapsed_ms >= self._duration_ms + ABORT_RESPONSE_MS

    def admits(self, deadline_at: int) -> bool:
        """Return whether a request that was just read may be served.

        Parameters
        ----------
        deadline_at : int
            Latest time of the response.
        """
        if self._began_at is None or not self.is_notice_over():
            return True
        abort_at = self._began_at + self._duration_ms
        return deadline_at <= abort_at - RESPONSE_MARGIN_MS
