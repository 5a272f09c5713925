"""Checks of the guarantees against what callers and servers observed."""

import asyncio
import collections
import time

from tarragonhinge.platform.soak import _callers
from tarragonhinge.platform.soak import _testbed

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
        self, attempt: _callers.Attempt, executions: int
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
        if attempt.status == 404:
            self.violations.append(f"404 on a route in force: {where}")

    def check_recovery(self, recovered_at: float) -> None:
        """Check that requests succeed after the disturbances have ended."""
        after_recovery = [
            a
            for a in self._callers.attempts
            if a.sent_at >= recovered_at and a.ended_at
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
                at
                for at, _ in server.executions
                if at > drain_at + _DRAIN_LIMIT_S
            ]
            if late:
                self.violations.append(
                    f"{server.name} got {len(late)} requests after it left"
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
                self.violations.append(f"{instance.name} ended by itself")
