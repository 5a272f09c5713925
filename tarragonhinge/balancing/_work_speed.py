"""How long work takes on a server's machine at this moment.

The load pattern: neighbours on the machine take its processor for some
hundred milliseconds at a time, several times in a minute. A mean of latencies
shows that when it is over. Responses state it at once.
"""

import math

#: Duration of work that counts as usual, in percent.
USUAL_PERCENT = 100

#: Time constant with which a report is forgotten. The processor is taken for
#: about 400 ms at a time.
DECAY_MS = 250.0

#: Weight of a new report in the mean, to which latencies refer.
MEAN_WEIGHT = 0.05


class WorkSpeed:
    """Factor of a server's service time, from its load reports."""

    def __init__(self) -> None:
        self.percent = USUAL_PERCENT
        self._mean = float(USUAL_PERCENT)
        self._reported_at: int | None = None

    def record(self, now: int, percent: int) -> None:
        """Record a report.

        Parameters
        ----------
        now : int
            Time of the report.
        percent : int
            Stated duration of work.
        """
        percent = max(1, percent)
        self.percent = percent
        if self._reported_at is None and percent == USUAL_PERCENT:
            return
        self._reported_at = now
        self._mean += MEAN_WEIGHT * (percent - self._mean)

    def get_factor(self, now: int) -> float:
        """Return the present duration of work relative to its mean."""
        if self._reported_at is None:
            return 1.0
        decay = math.exp(-(now - self._reported_at) / DECAY_MS)
        return 1 + (self.percent / self._mean - 1) * decay
