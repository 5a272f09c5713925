"""Check of the rule LIMIT."""

from collections.abc import Iterable
import math

from tarragonhinge.platform.soak import _arrivals
from tarragonhinge.platform.soak import _attempts
from tarragonhinge.platform.soak import _instances
from tarragonhinge.platform.soak import _limits

#: Bounds of the rule: time in seconds from the naming on, window in seconds,
#: and what is allowed in it; time in seconds after an instance passed on a
#: limit from which it must respect it.
_CONTACT_S = 3.0
_WINDOW_S = 4.0
_ALLOWED_RATIO, _ALLOWED_MORE = 1.5, 5
_TOLD_S = 0.5


def list_violations(
    named: Iterable[_limits.NamedLimit],
    attempts: Iterable[_attempts.Attempt],
    instances: Iterable[_instances.InstanceProcess],
) -> list[str]:
    """Return a message for each limit that was not respected.

    Requests of instances that were killed, started, paused or stopped less
    than `_CONTACT_S` before are not counted.
    """
    attempts, instances = list(attempts), list(instances)
    violations = []
    for limit in named:
        arrivals = _arrivals.list_arrivals(limit.server, attempts, instances)
        times = _list_counted(limit, arrivals)
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
    limit: _limits.NamedLimit, arrivals: list[_arrivals.Arrival]
) -> list[float]:
    """Return the times of the requests that count."""
    senders = {a.attempt.attempt_id: a.sender for a in arrivals}
    told_at: dict[str, float] = {}
    for execution in limit.server.executions:
        sender = senders.get(execution.attempt)
        if sender is not None and execution.began_at >= limit.began_at:
            told_at[sender.name] = min(
                told_at.get(sender.name, math.inf), execution.ended_at
            )
    counted = []
    for arrival in arrivals:
        at, sender = arrival.at, arrival.sender
        if not limit.began_at + _CONTACT_S <= at <= limit.ended_at:
            continue
        is_told = at >= told_at.get(sender.name, math.inf) + _TOLD_S
        if is_told and sender.has_been_calm(at - _CONTACT_S, at):
            counted.append(at)
    return counted
