"""Checks of the guarantees against what callers and servers observed."""

import asyncio
import collections
import time

from tarragonhinge.platform.soak import _attempts
from tarragonhinge.platform.soak import _callers
from tarragonhinge.platform.soak import _crash_check
from tarragonhinge.platform.soak import _cut_check
from tarragonhinge.platform.soak import _instances
from tarragonhinge.platform.soak import _limit_check
from tarragonhinge.platform.soak import _response_checks
from tarragonhinge.platform.soak import _testbed
from tarragonhinge.platform import standins

#: Longest time for which two servers may own the same key, in seconds.
_MAX_SHARED_OWNERSHIP_S = 0.5

#: Time in seconds after a paused instance resumes in which shared ownership is
#: not checked: 0.3 s in which the instance may send outdated grants, and 4.2 s
#: for which such a grant lasts.
_RESUME_EXEMPTION_S = 0.3 + 4.2

#: Time in seconds after the start of a drain from which the server must get no
#: request: 2.5 s for the configured bound and 0.1 s for requests in transit.
_DRAIN_LIMIT_S = 2.5 + 0.1

#: Minimum fraction of the requests after the disturbances that must succeed.
_MIN_SERVED_RATIO = 0.9

#: Bounds of the rule LOST, in seconds: time without unplanned disturbance
#: before a request; time after the last byte of a request until which its
#: connection may close unless a server began to work on it; time for which a
#: reload is planned work; time after SIGTERM until which a request is sent in
#: time.
_CONTACT_S = 3.0
_LOSS_SLACK_S = 0.2
_CONFIG_APPLY_S = 2.5
_STOP_NOTICE_S = 3.0

#: Number of requests that may be lost without planned work.
_MAX_LOST = 3

#: Rounding of times by instances, which measure whole milliseconds.
_ROUNDING_S = 0.005


class Checks:
    """Collects the violated guarantees of one run.

    Parameters
    ----------
    testbed : Testbed
        The testbed of the run.
    callers : Callers
        The callers, with their attempts.

    Attributes
    ----------
    violations : list of str
        One message for each violation.
    """

    def __init__(
        self, *, testbed: _testbed.Testbed, callers: _callers.Callers
    ) -> None:
        self._testbed = testbed
        self._callers = callers
        self._shared_owner_since: dict[tuple[str, str], float] = {}
        self.violations: list[str] = []

    async def watch_ownership(self) -> None:
        """Check periodically that no key has two owners."""
        while True:
            await asyncio.sleep(0.02)
            self._check_ownership()

    def _check_ownership(self) -> None:
        now = time.monotonic()
        owned = sorted(
            (first, last, server.name)
            for server in self._testbed.servers
            if server.is_keyed
            and server.name not in self._testbed.stopped_servers
            for first, last in server.list_owned()
        )
        shared = {
            (left[2], right[2])
            for left, right in zip(owned, owned[1:], strict=False)
            if right[0] <= left[1] and left[2] != right[2]
        }
        for pair in list(self._shared_owner_since):
            if pair not in shared:
                del self._shared_owner_since[pair]
        if now - self._testbed.resumed_at < _RESUME_EXEMPTION_S:
            return
        for pair in shared:
            since = self._shared_owner_since.setdefault(pair, now)
            if now - since > _MAX_SHARED_OWNERSHIP_S:
                self.violations.append(f"two owners: {pair} at {now:.2f}")
                self._shared_owner_since[pair] = float("inf")

    def check_attempts(self) -> None:
        """Check all attempts at the end of a run."""
        executions = collections.Counter(
            attempt_id
            for server in self._testbed.servers
            for attempt_id in server.executed
        )
        for attempt in self._callers.attempts:
            self._check_attempt(attempt, executions[attempt.attempt_id])

    def _check_attempt(
        self, attempt: _attempts.Attempt, executions: int
    ) -> None:
        where = f"{attempt.attempt_id} at {attempt.instance.name}"
        is_unsafe = attempt.kind == _testbed.UNSAFE_PREFIX
        if is_unsafe and executions > 1:
            self.violations.append(f"ran {executions} times: {where}")
        if (
            is_unsafe
            and attempt.status in _callers.NOT_EXECUTED_STATUSES
            and executions
        ):
            self.violations.append(f"said not to have run, and ran: {where}")
        if attempt.status == 200 and not attempt.body.startswith(
            f"{attempt.attempt_id} of "
        ):
            self.violations.append(f"foreign answer: {where}: {attempt.body}")
        is_watched = attempt.kind.strip("/") in self._testbed.extra_routes
        if attempt.status == 404 and not is_watched:
            self.violations.append(f"404 on a route in force: {where}")

    def check_recovery(self, recovered_at: float) -> None:
        """Check that requests succeed after the disturbances have ended."""
        crashing = {r.target for r in self._testbed.crashing_requests}
        after_recovery = [
            a
            for a in self._callers.attempts
            if a.sent_at >= recovered_at
            and a.ended_at
            and a.target not in crashing
        ]
        served = sum(a.status == 200 for a in after_recovery)
        if served < _MIN_SERVED_RATIO * len(after_recovery):
            self.violations.append(
                f"served {served} of {len(after_recovery)} once calm"
            )

    def check_drained(self) -> None:
        """Check that draining servers got no requests after the limit."""
        for server in self._testbed.servers:
            drain_at = self._testbed.drain_started_at.get(server.name)
            if drain_at is None or self._testbed.disturbed_at > drain_at - 3:
                continue
            late = [
                execution
                for execution in server.executions
                if execution.began_at > drain_at + _DRAIN_LIMIT_S
            ]
            if late:
                self.violations.append(
                    f"{server.name} got {len(late)} requests after it left"
                )

    async def watch_routes(self) -> None:
        """Add routes all the time, and check that they are in force in time.

        Only instances that are in touch are checked; the others' disturbances
        are no excuse. After a disturbance of the store, the last route is
        checked before another one is added.
        """
        while True:
            await asyncio.sleep(_CONFIG_APPLY_S)
            if self._is_store_calm():
                await self._check_newest_route()
                self._testbed.add_route()

    async def _check_newest_route(self) -> None:
        name = self._testbed.newest_route
        await asyncio.gather(
            *(
                self._check_route(instance, name)
                for instance in self._testbed.instances
                if name and self._is_reachable(instance)
            )
        )

    async def _check_route(
        self, instance: _instances.InstanceProcess, name: str
    ) -> None:
        attempt = await self._callers.send_to(instance, f"/{name}/", 0)
        if attempt.status == 404 and self._is_reachable(instance):
            self.violations.append(
                f"{instance.name} lacks {name} at {attempt.ended_at:.2f}"
            )

    def _is_store_calm(self) -> bool:
        now = time.monotonic()
        return not self._testbed.store_disruptions.overlap(
            now - _CONTACT_S, now
        )

    def _is_reachable(self, instance: _instances.InstanceProcess) -> bool:
        """Return whether an instance and the store have been calm."""
        now = time.monotonic()
        since = now - _CONTACT_S
        return (
            instance.has_run_for(_CONTACT_S)
            and not instance.disruptions.overlap(since, now)
            and not any(
                at >= now - _instances.STOP_TIMEOUT_S
                for at in instance.stopped_at
            )
            and self._is_store_calm()
        )

    async def check_new_route(self) -> None:
        """Check that every instance applies a new route in time."""
        name = f"new{self._testbed.version}"
        self._testbed.change_routes(extra=name)
        await asyncio.sleep(2.5)
        for instance in self._testbed.instances:
            attempt = await self._callers.send_to(instance, f"/{name}/", 0)
            if attempt.status == 404:
                self.violations.append(
                    f"{instance.name} lacks a route in force"
                )

    def check_processes(self) -> None:
        """Check that no process has exited unexpectedly."""
        for instance in self._testbed.instances:
            if instance.has_ended:
                self.violations.append(
                    f"{instance.name} ended by itself with status "
                    f"{instance.exit_status}"
                )

    def check_limits(self) -> None:
        """Check that limits that servers named were respected."""
        self.violations.extend(
            _limit_check.list_violations(
                self._testbed.limits.named,
                self._callers.attempts,
                self._testbed.instances,
            )
        )

    def check_crashing_requests(self) -> None:
        """Check that these are refused in time, and no other ones."""
        testbed = self._testbed
        self.violations.extend(
            _crash_check.list_late_arrivals(
                testbed.crashing_requests,
                testbed.servers,
                self._callers.attempts,
                testbed.instances,
                testbed.store_disruptions,
            )
        )
        self.violations.extend(
            _crash_check.list_refused_others(
                testbed.crashing_requests, self._callers.attempts
            )
        )

    def check_responses(self) -> None:
        """Check that what servers said of themselves was heeded."""
        self.violations.extend(
            _response_checks.list_violations(
                self._testbed.statements,
                self._callers.attempts,
                self._testbed.instances,
            )
        )

    def check_cuts(self) -> None:
        """Check that callers of cut instances are served by way of others."""
        testbed = self._testbed
        self.violations.extend(
            _cut_check.list_violations(
                self._callers.attempts,
                testbed.instances,
                testbed.store_disruptions,
                (r.target for r in testbed.crashing_requests),
            )
        )

    def check_crash_reports(self) -> None:
        """Check that no running server was called crashed."""
        self.violations.extend(
            _cut_check.list_false_crashes(
                self._testbed.instances, self._testbed.stopped_servers
            )
        )

    def check_lost(self) -> None:
        """Check that no request was lost (rule LOST)."""
        executions = collections.defaultdict(list)
        for server in self._testbed.servers:
            for execution in server.executions:
                executions[execution.attempt].append(execution)
        lost_without_plan = []
        for attempt in self._callers.attempts:
            own = executions[attempt.attempt_id]
            if not _is_cut(attempt, own) or self._is_disturbed(attempt, own):
                continue
            if (
                _is_beside_planned_work(attempt)
                and not _is_out_of_time(attempt)
                and not _is_too_long(attempt, own)
            ):
                self.violations.append(f"lost: {_describe(attempt, own)}")
            if (
                own
                and attempt.is_kept
                and attempt.ending in _attempts.CUT_ENDINGS
                and self._is_in_touch(attempt)
            ):
                lost_without_plan.append(_describe(attempt, own))
        if len(lost_without_plan) > _MAX_LOST:
            self.violations.append(
                f"{len(lost_without_plan)} lost in touch: "
                + ", ".join(lost_without_plan)
            )

    def _is_disturbed(
        self, attempt: _attempts.Attempt, executions: list[standins.Execution]
    ) -> bool:
        """Return whether something unplanned may have ended an attempt."""
        since, until = attempt.sent_at - _CONTACT_S, attempt.ended_at
        testbed = self._testbed
        sources = {execution.source for execution in executions}
        return (
            attempt.instance.disruptions.overlap(since, until)
            # A cut resets the connections of the instance that sent it.
            or any(
                instance.cuts.overlap(since, until)
                for instance in testbed.instances
                if instance.ip in sources
            )
            or (
                # The store's disturbances excuse keyed requests only.
                attempt.kind == _testbed.KEYED_PREFIX
                and testbed.store_disruptions.overlap(since, until)
            )
            or any(
                execution.state is standins.ExecutionState.BROKEN_OFF
                or testbed.server_disruptions[execution.server].overlap(
                    since, until
                )
                for execution in executions
            )
        )

    def _is_in_touch(self, attempt: _attempts.Attempt) -> bool:
        """Return whether the instance was in touch when it cut an attempt.

        One that is stopping is not; each request that it loses counts
        already.
        """
        until = attempt.ended_at
        since = until - _CONTACT_S
        instance = attempt.instance
        started_at = max(at for at in instance.started_at if at <= until)
        return (
            started_at < since
            and not any(
                started_at <= at <= until for at in instance.stopped_at
            )
            and not self._testbed.store_disruptions.overlap(since, until)
        )


def _is_cut(
    attempt: _attempts.Attempt, executions: list[standins.Execution]
) -> bool:
    """Return whether an instance ended an attempt without its response.

    Where no server began to work on it, an attempt counts if the instance had
    read it (the connection was not reset) and closed the connection later
    than the slack.
    """
    if attempt.ending is _attempts.Ending.ANSWERED:
        return not attempt.is_sealed and any(
            execution.state is standins.ExecutionState.ABANDONED
            for execution in executions
        )
    if executions:
        return attempt.ending in _attempts.CUT_ENDINGS
    return (
        attempt.ending is _attempts.Ending.CLOSED
        and attempt.is_kept
        and not attempt.is_pipelined
        and attempt.ended_at - attempt.sent_at > _LOSS_SLACK_S
    )


def _is_beside_planned_work(attempt: _attempts.Attempt) -> bool:
    """Return whether a stop or a reload may have cut an attempt."""
    grace_s = _instances.STOP_TIMEOUT_S
    instance = attempt.instance
    return any(
        at <= attempt.ended_at <= at + grace_s + 1
        for at in instance.stopped_at
    ) or any(
        attempt.sent_at - _CONFIG_APPLY_S <= at <= attempt.ended_at
        for at in instance.reloaded_at
    )


def _is_too_long(
    attempt: _attempts.Attempt, executions: list[standins.Execution]
) -> bool:
    """Return whether an attempt was sent in time, but a stop can't await it.

    Its server is still at work in the last sixth of the time until SIGKILL.
    """
    grace_s = _instances.STOP_TIMEOUT_S
    return any(
        at <= attempt.ended_at <= at + grace_s + 1
        and attempt.sent_at <= at + _STOP_NOTICE_S
        and any(
            execution.began_at <= at + grace_s
            and execution.ended_at >= at + grace_s * 5 / 6
            for execution in executions
        )
        for at in attempt.instance.stopped_at
    )


def _is_out_of_time(attempt: _attempts.Attempt) -> bool:
    """Return whether the caller's deadline or the timeout was reached."""
    is_slow = attempt.kind == _testbed.SLOW_PREFIX
    timeout_ms = _testbed.SLOW_TIMEOUT_MS if is_slow else _testbed.TIMEOUT_MS
    limit_s = min(attempt.deadline_s, timeout_ms / 1000)
    return attempt.ended_at - attempt.sent_at >= limit_s - _ROUNDING_S


def _describe(
    attempt: _attempts.Attempt, executions: list[standins.Execution]
) -> str:
    """Describe an attempt, in times since SIGTERM or else since its start."""
    stops = [
        at for at in attempt.instance.stopped_at if at <= attempt.ended_at
    ]
    zero = max(stops, default=attempt.sent_at)
    work = ", ".join(
        f"{e.server} {e.began_at - zero:.2f} to {e.ended_at - zero:.2f} s "
        f"({e.state.value})"
        for e in executions
    )
    before = attempt.preceding
    behind = (
        f"{before.attempt_id} ({before.ending.value} at "
        f"{before.ended_at - zero:.3f} s)"
        if before
        else "none"
    )
    return (
        f"{attempt.attempt_id} {attempt.kind} at {attempt.instance.name} "
        f"sent {attempt.sent_at - zero:.3f} s after "
        f"{'SIGTERM' if stops else 'its start'}, "
        f"{attempt.ending.value} {attempt.status} at "
        f"{attempt.ended_at - zero:.3f} s, kept={attempt.is_kept}, "
        f"pipelined={attempt.is_pipelined}, behind {behind}, "
        f"work: {work or 'none'}"
    )
