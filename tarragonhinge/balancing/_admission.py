"""Admission control by expected latency, and delays before retries.

The load pattern: each of many instances sees few responses of a server, so
that it knows the server's load only roughly.  A request whose refusal rests on
a wrong estimate can't be answered in time any more, since it comes back later
than the server would have answered.  A request is therefore admitted although
it may be late, up to a bound that keeps queues finite under sustained
overload.  A caller that retries after a refusal is admitted up to a higher
expected latency than a new request, since refusing it again loses the request
for good.
"""

import random

#: Maximum expected latency of a new request, as a multiple of its latency
#: objective; a value above 1 leaves a margin for estimation errors.
NEW_REQUEST_OBJECTIVE_FACTOR = 2.0

#: Maximum expected latency of a request that the caller retries, as a
#: multiple of its latency objective.
RETRY_OBJECTIVE_FACTOR = 2.3

#: Maximum expected latencies at a server whose queue stands, as multiples of
#: the objective.
STANDING_NEW_FACTOR = 0.6
STANDING_RETRY_FACTOR = 0.33

#: Bounds of the delay before a retry in that case, as multiples of the
#: objective: after the first refusal, and after a further one.
STANDING_DELAYS = ((0.3, 1.5), (1.0, 2.5))

#: Latency up to which a request waits at this instance for more urgent ones,
#: as a multiple of its objective, and the same for a retry by the caller. One
#: that waits for longer is late, and keeps servers from others.
HOLD_OBJECTIVE_FACTOR = 1.0
HOLD_RETRY_OBJECTIVE_FACTOR = 1.3

#: Fraction of the time left before the deadline that the expected latency
#: may use.
USABLE_DEADLINE_FRACTION = 0.85

#: Maximum expected latency of a request that another instance has forwarded,
#: relative to one of this instance's own callers, which go first.
FORWARDED_LIMIT_FRACTION = 0.9

#: A request whose deadline is below this fraction of the route's usual
#: deadline is treated as a retry by the caller.
RETRY_DEADLINE_FRACTION = 0.97

#: Bounds of the delay before a retry.
MIN_RETRY_AFTER_MS = 150
MAX_RETRY_AFTER_MS = 3_000

#: Largest random factor applied to the delay before a retry.
RETRY_AFTER_JITTER_FACTOR = 1.6

#: Bounds of the delay before a retry of a request that no server can take.
MIN_OUTAGE_DELAY_MS = 400
MAX_OUTAGE_DELAY_MS = 1_600

#: Time over which callers are spread that come back after a server's wait.
RETURN_SPREAD_MS = 500


class RetryDetector:
    """Detects retries on a route by their shorter deadlines.

    A caller that retries sends the time left of its original deadline.
    The longest deadline seen on the route is taken as the usual one.
    """

    def __init__(self) -> None:
        self._longest_ms = 0

    def is_retry(self, deadline_ms: int) -> bool:
        """Record a deadline and return whether it belongs to a retry."""
        self._longest_ms = max(self._longest_ms, deadline_ms)
        return deadline_ms < RETRY_DEADLINE_FRACTION * self._longest_ms

    def compute_elapsed_ms(self, deadline_ms: int) -> int:
        """Return the time since the first attempt of a caller that retries.

        Examples
        --------
        >>> detector = RetryDetector()
        >>> [detector.is_retry(ms) for ms in (5_000, 4_200)]
        [False, True]
        >>> detector.compute_elapsed_ms(4_200)
        800
        """
        return max(0, self._longest_ms - deadline_ms)


def compute_latency_limit_ms(
    *, objective_ms: float, left_ms: float, is_retry: bool
) -> float:
    """Return the highest expected latency at which to admit a request.

    Parameters
    ----------
    objective_ms : float
        Latency objective of the route.
    left_ms : float
        Time left before the deadline.
    is_retry : bool
        Whether the caller retries after a refusal.

    Examples
    --------
    >>> compute_latency_limit_ms(
    ...     objective_ms=800, left_ms=5000, is_retry=False)
    1600.0
    >>> compute_latency_limit_ms(
    ...     objective_ms=800, left_ms=400, is_retry=True)
    340.0
    """
    factor = (
        RETRY_OBJECTIVE_FACTOR if is_retry else NEW_REQUEST_OBJECTIVE_FACTOR
    )
    return min(factor * objective_ms, USABLE_DEADLINE_FRACTION * left_ms)


def compute_standing_limit_ms(*, objective_ms: float, is_retry: bool) -> float:
    """Return the highest expected latency to admit in a standing queue.

    Parameters
    ----------
    objective_ms : float
        Latency objective of the route.
    is_retry : bool
        Whether the caller retries after a refusal.
    """
    if is_retry:
        return STANDING_RETRY_FACTOR * objective_ms
    return STANDING_NEW_FACTOR * objective_ms


def compute_hold_ms(
    *,
    objective_ms: float,
    elapsed_ms: float,
    left_ms: float,
    idle_ms: float,
    is_retry: bool,
) -> float:
    """Return how long a request can wait here for room at a server.

    Parameters
    ----------
    objective_ms : float
        Latency objective of the route.
    elapsed_ms, left_ms : float
        Time since the request arrived, and time left before its deadline.
    idle_ms : float
        Expected latency at a server with a free slot.
    is_retry : bool
        Whether the caller retries after a refusal.

    Examples
    --------
    >>> compute_hold_ms(objective_ms=1000, elapsed_ms=100, left_ms=5900,
    ...                 idle_ms=400, is_retry=False)
    500.0
    """
    factor = HOLD_RETRY_OBJECTIVE_FACTOR if is_retry else HOLD_OBJECTIVE_FACTOR
    limit_ms = min(
        factor * objective_ms,
        USABLE_DEADLINE_FRACTION * (left_ms + elapsed_ms),
    )
    return limit_ms - elapsed_ms - idle_ms


def compute_retry_after_ms(
    *, expected_ms: float, limit_ms: float, rng: random.Random
) -> int:
    """Return the delay after which a refused caller should retry.

    The delay is the time by which the expected latency exceeds the limit,
    with random jitter so that callers don't retry at the same time.

    Parameters
    ----------
    expected_ms : float
        Expected latency of the request if it were sent now.
    limit_ms : float
        Highest expected latency at which it would be admitted.
    rng : random.Random
        Source of the jitter.
    """
    excess_ms = max(MIN_RETRY_AFTER_MS, expected_ms - limit_ms)
    delay_ms = excess_ms * rng.uniform(1.0, RETRY_AFTER_JITTER_FACTOR)
    return int(min(MAX_RETRY_AFTER_MS, delay_ms))


def compute_standing_delay_ms(
    *, objective_ms: float, is_retry: bool, rng: random.Random
) -> int:
    """Return the delay before a retry of a request that a queue excluded.

    Callers are spread over the time in which a burst ends, since the queue has
    room for one after the other. One that comes back again is late in any
    case, and is given a better chance to be served at all.

    Parameters
    ----------
    objective_ms : float
        Latency objective of the route.
    is_retry : bool
        Whether the caller retries after a refusal.
    rng : random.Random
        Source of the spread.
    """
    shortest, longest = STANDING_DELAYS[is_retry]
    delay_ms = objective_ms * rng.uniform(shortest, longest)
    return int(min(MAX_RETRY_AFTER_MS, max(MIN_RETRY_AFTER_MS, delay_ms)))


def compute_return_delay_ms(wait_ms: int, *, rng: random.Random) -> int:
    """Return the delay after which a caller finds a server that waits.

    Parameters
    ----------
    wait_ms : int
        Time left until the server takes requests again.
    rng : random.Random
        Source of the jitter, so that callers don't return at the same time.
    """
    return wait_ms + int(rng.uniform(0, RETURN_SPREAD_MS))


def compute_outage_delay_ms(outage_ms: int) -> int:
    """Return the delay after which a caller finds a server again.

    The time that is left is estimated as the time that has passed.

    Parameters
    ----------
    outage_ms : int
        Time for which no server could take the request.

    Examples
    --------
    >>> [compute_outage_delay_ms(ms) for ms in (0, 700, 9_000)]
    [400, 700, 1600]
    """
    return min(MAX_OUTAGE_DELAY_MS, max(MIN_OUTAGE_DELAY_MS, outage_ms))
