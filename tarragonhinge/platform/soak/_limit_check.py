"""Check of the rule LIMIT."""

from collections.abc import Iterable
import math

from tarragonhinge.platform.soak import _attempts
from tarragonhinge.platform.soak import _limits

#: Bounds of the rule: time in seconds from the naming on, window in seconds,
#: and what is allowed in it; time in seconds after an instance passed on a
#: limit from which it must respect it.
_CONTACT_S = 3.0
_WINDOW_S = 4.0
_ALLOWED_RATIO, _ALLOWED_MORE = 1.5, 5
_TOLD_S = 0.5


def list_violations(
    named: Iterable[_limits.NamedLimit], attempts: Iterable[_attempts.Attempt]
) -> list[str]:
    """Return a message for each limit that was not respected.

    Requests of instances that were killed, started, paused or stopped less
    than `_CONTACT_S` before are not counted.
    """
    by_id = {attempt.attempt_id: attempt for attempt in attempts}
    violations = []
    for limit in named:
        times = _list_counted(limit, by_id)
        most = max(
            (sum(at <= t < at + _WINDOW_S for t in times) for at in times),
            default=0,
        )
        allowed = _ALLOWED_RATIO * limit.rate * _WINDOW_S + _ALLOWED_MORE
        if most > allowed:
            violations.append(
                f"{limit.server.name} got {most} requests in "
                f"{_WINDOW_S:.0f} s at a limit of {limit.rate}, allowed "
                f"{allowed:.0f}"
            )
    return violations


def _list_counted(
    limit: _limits.NamedLimit, by_id: dict[str, _attempts.Attempt]
) -> list[float]:
    """Return the times of the requests that count."""
    told_at: dict[str, float] = {}
    for execution in limit.server.executions:
        attempt = by_id.get(execution.attempt)
        if attempt is not None and execution.began_at >= limit.began_at:
            name = attempt.instance.name
            told_at[name] = min(
                told_at.get(name, math.inf), execution.ended_at
            )
    counted = []
    for at, attempt_id in limit.server.arrivals:
        attempt = by_id.get(attempt_id)
        if attempt is None or not (
            limit.began_at + _CONTACT_S <= at <= limit.ended_at
        ):
            continue
        instance = attempt.instance
        is_told = at >= told_at.get(instance.name, math.inf) + _TOLD_S
        if is_told and instance.has_been_calm(at - _CONTACT_S, at):
            counted.append(at)
    return counted
