"""Checks of the rule BUDGET for requests that crash their servers."""

from collections.abc import Iterable
import math

from tarragonhinge.platform.soak import _arrivals
from tarragonhinge.platform.soak import _attempts
from tarragonhinge.platform.soak import _crashing_requests
from tarragonhinge.platform.soak import _instances
from tarragonhinge.platform.soak import _spans
from tarragonhinge.platform import standins

#: Bounds of the rule BUDGET: number of servers that a request may crash, time
#: in seconds after which instances in touch refuse it, and number of times
#: that it may reach a server later.
_MAX_CRASHES = 3
_CONTACT_S = 3.0
_MAX_LATER_ARRIVALS = 3

#: Reason that an instance gives to callers whose request crashes servers.
_REASON = '"crashes_servers"'


def list_late_arrivals(
    requests: Iterable[_crashing_requests.CrashingRequest],
    servers: Iterable[standins.StandInServer],
    attempts: Iterable[_attempts.Attempt],
    instances: Iterable[_instances.InstanceProcess],
    store_disruptions: _spans.Spans,
) -> list[str]:
    """Return a message for each request that was sent on for too long.

    Attempts count that instances in touch received later than `_CONTACT_S`
    after the request had crashed the third server.
    """
    servers, attempts = list(servers), list(attempts)
    instances = list(instances)
    violations = []
    for request in requests:
        crashes = sorted(
            server.crashed_at
            for server in servers
            if server.crashed_by == request.target
        )
        if len(crashes) < _MAX_CRASHES:
            continue
        refused_at = crashes[_MAX_CRASHES - 1] + _CONTACT_S
        late = [
            arrival
            for server in servers
            for arrival in _arrivals.list_arrivals(server, attempts, instances)
            if arrival.attempt.target == request.target
            and arrival.at > refused_at
            and _is_in_touch(arrival, store_disruptions)
        ]
        if len(late) > _MAX_LATER_ARRIVALS:
            violations.append(
                f"{request.target} crashed {len(crashes)} servers and was "
                f"sent on {len(late)} times later than {_CONTACT_S:.0f} s "
                f"after the third: "
                + ", ".join(
                    f"{a.attempt.attempt_id} at {a.sender.name}"
                    for a in late[:9]
                )
            )
    return violations


def _is_in_touch(
    arrival: _arrivals.Arrival, store_disruptions: _spans.Spans
) -> bool:
    """Return whether the sender was in touch all the time before."""
    attempt = arrival.attempt
    since, until = attempt.sent_at - _CONTACT_S, attempt.ended_at
    return arrival.sender.has_been_calm(
        since, until if until else math.inf
    ) and not store_disruptions.overlap(since, attempt.sent_at)


def list_refused_others(
    requests: Iterable[_crashing_requests.CrashingRequest],
    attempts: Iterable[_attempts.Attempt],
) -> list[str]:
    """Return a message for each other request that was refused as well."""
    targets = {request.target for request in requests}
    return [
        f"{attempt.attempt_id} ({attempt.target}) at {attempt.instance.name} "
        "was refused, though it crashes no server"
        for attempt in attempts
        if _REASON in attempt.body and attempt.target not in targets
    ]
