"""Checks of what servers say of themselves in their responses."""

import collections
from collections.abc import Iterable

from tarragonhinge.platform.soak import _attempts
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
) -> list[str]:
    """Return a message for each server that was not listened to."""
    by_id = {attempt.attempt_id: attempt for attempt in attempts}
    violations = []
    for statement in statements:
        arrivals = collections.defaultdict(list)
        for at, attempt_id in statement.server.arrivals:
            attempt = by_id.get(attempt_id)
            if attempt is not None and at >= statement.began_at:
                arrivals[attempt.instance.name].append((at, attempt))
        check = _count_in_wait if statement.wait_s else _count_after_leaving
        for name, items in arrivals.items():
            count = check(statement, items)
            if count > (_MAX_IN_WAIT if statement.wait_s else 0):
                said = (
                    f"asked to wait for {statement.wait_s} s"
                    if statement.wait_s
                    else "said that it leaves"
                )
                violations.append(
                    f"{statement.server.name} {said}, and got {count} "
                    f"requests from {name}"
                )
    return violations


def _count_after_leaving(
    statement: _statements.Statement,
    items: list[tuple[float, _attempts.Attempt]],
) -> int:
    """Return the number of requests that an instance sent too late."""
    own = {attempt.attempt_id for _, attempt in items}
    answered = [
        execution.ended_at
        for execution in statement.server.executions
        if execution.attempt in own
        and execution.began_at >= statement.began_at
        and execution.state is standins.ExecutionState.ANSWERED
    ]
    if not answered:
        return 0
    told_at = min(answered)
    return sum(
        attempt.sent_at > told_at + _DRAIN_S
        and attempt.instance.has_been_calm(told_at, at)
        for at, attempt in items
    )


def _count_in_wait(
    statement: _statements.Statement,
    items: list[tuple[float, _attempts.Attempt]],
) -> int:
    """Return the largest number of requests of an instance in one wait."""
    turned_away = [
        (at, attempt)
        for at, attempt in items
        if at <= statement.ended_at
        and attempt.instance.has_been_calm(at - statement.wait_s, at)
    ]
    return max(
        (
            sum(
                began_at + _WAIT_SLACK_S < at < began_at + statement.wait_s
                for at, _ in turned_away
            )
            for began_at, _ in turned_away
        ),
        default=0,
    )
