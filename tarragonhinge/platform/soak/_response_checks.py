"""Checks of what servers say of themselves in their responses."""

from collections.abc import Iterable

from tarragonhinge.platform.soak import _arrivals
from tarragonhinge.platform.soak import _attempts
from tarragonhinge.platform.soak import _instances
from tarragonhinge.platform.soak import _statements
from tarragonhinge.platform import standins

#: Time in seconds after a response that says that its server leaves from which
#: the instance that passed it on sends nothing there (rule DRAIN).
_DRAIN_S = 2.5

#: Time in seconds after a response that asks for a wait from which at most
#: this many requests of the instance may arrive within it (rule BUDGET).
_WAIT_SLACK_S = 0.5
_MAX_IN_WAIT = 2


def list_violations(
    statements: Iterable[_statements.Statement],
    attempts: Iterable[_attempts.Attempt],
    instances: Iterable[_instances.InstanceProcess],
) -> list[str]:
    """Return a message for each server that was not listened to."""
    attempts, instances = list(attempts), list(instances)
    violations = []
    for statement in statements:
        arrivals = [
            arrival
            for arrival in _arrivals.list_arrivals(
                statement.server, attempts, instances
            )
            if arrival.at >= statement.began_at
        ]
        for instance in instances:
            if statement.wait_s:
                count = _count_in_wait(statement, arrivals, instance)
                said = f"asked to wait for {statement.wait_s} s"
            else:
                count = _count_after_leaving(statement, arrivals, instance)
                said = "said that it leaves"
            if count > (_MAX_IN_WAIT if statement.wait_s else 0):
                violations.append(
                    f"{statement.server.name} {said}, and got {count} "
                    f"requests from {instance.name}"
                )
    return violations


def _count_after_leaving(
    statement: _statements.Statement,
    arrivals: list[_arrivals.Arrival],
    instance: _instances.InstanceProcess,
) -> int:
    """Return the number of requests that an instance sent too late."""
    # A response passes through the sender, and through the caller's instance.
    passed_on = {
        arrival.attempt.attempt_id
        for arrival in arrivals
        if instance in (arrival.sender, arrival.attempt.instance)
    }
    answered = [
        execution.ended_at
        for execution in statement.server.executions
        if execution.attempt in passed_on
        and execution.began_at >= statement.began_at
        and execution.state is standins.ExecutionState.ANSWERED
    ]
    if not answered:
        return 0
    announced_at = min(answered)
    return sum(
        arrival.attempt.sent_at > announced_at + _DRAIN_S
        and arrival.sender is instance
        and instance.has_been_calm(announced_at, arrival.at)
        for arrival in arrivals
    )


def _count_in_wait(
    statement: _statements.Statement,
    arrivals: list[_arrivals.Arrival],
    instance: _instances.InstanceProcess,
) -> int:
    """Return the largest number of requests of an instance in one wait."""
    turned_away = [
        arrival.at
        for arrival in arrivals
        if arrival.sender is instance
        and arrival.at <= statement.ended_at
        and _is_undisturbed(
            instance, arrival.at - statement.wait_s, arrival.at
        )
    ]
    return max(
        (
            sum(
                began_at + _WAIT_SLACK_S < at < began_at + statement.wait_s
                for at in turned_away
            )
            for began_at in turned_away
        ),
        default=0,
    )


def _is_undisturbed(
    instance: _instances.InstanceProcess, since: float, until: float
) -> bool:
    """Return whether an instance was calm, and reached the servers."""
    return instance.has_been_calm(since, until) and not instance.cuts.overlap(
        since, until
    )
