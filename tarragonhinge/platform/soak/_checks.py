"""The promises, judged by what callers and servers saw."""

import asyncio
import collections
import time

from tarragonhinge.platform.soak import _callers
from tarragonhinge.platform.soak import _site

#: Longest time for which two servers may hold a key, in seconds.
_SHARED_S = 0.5

#: Time for which orders of an instance that was thawed are excused, and
#: the time that such a grant lasts, in seconds.
_THAW_S = 0.3 + 4.2

#: Time after which a leaving server gets no request: the bound, and the
#: time of a request on its way, in seconds.
_DRAIN_S = 2.5 + 0.1

#: Part of the requests of the calm end that must be served.
_SERVED_PART = 0.9


class Checks:
    """Collects broken promises of one run.

    Parameters
    ----------
    site : Site
        The site.
    callers : Callers
        What callers saw.

    Attributes
    ----------
    broken : list of str
        What was broken.
    """

    def __init__(self, *, site: _site.Site, callers: _callers.Callers) -> None:
        self._site = site
        self._callers = callers
        self._shared_since: dict[tuple[str, str], float] = {}
        self.broken: list[str] = []

    async def watch(self) -> None:
        """Look all the while for keys that two servers hold."""
        while True:
            await asyncio.sleep(0.02)
            self._look_for_shared()

    def _look_for_shared(self) -> None:
        now = time.monotonic()
        held = sorted(
            (first, last, server.name)
            for server in self._site.servers
            if server.is_keyed and server.name not in self._site.silent
            for first, last in server.list_held()
        )
        shared = {
            (left[2], right[2])
            for left, right in zip(held, held[1:], strict=False)
            if right[0] <= left[1] and left[2] != right[2]
        }
        for pair in list(self._shared_since):
            if pair not in shared:
                del self._shared_since[pair]
        if now - self._site.thawed_at < _THAW_S:
            return
        for pair in shared:
            since = self._shared_since.setdefault(pair, now)
            if now - since > _SHARED_S:
                self.broken.append(f"two owners: {pair} at {now:.2f}")
                self._shared_since[pair] = float("inf")

    def judge(self) -> None:
        """Judge all attempts once the run has ended."""
        runs = collections.Counter(
            name for server in self._site.servers for name in server.ran
        )
        for attempt in self._callers.attempts:
            self._judge_attempt(attempt, runs[attempt.name])

    def _judge_attempt(self, attempt: _callers.Attempt, runs: int) -> None:
        where = f"{attempt.name} at {attempt.instance.name}"
        is_unsafe = attempt.kind == _site.UNSAFE
        if is_unsafe and runs > 1:
            self.broken.append(f"ran {runs} times: {where}")
        if is_unsafe and attempt.status in _callers.PROMISES and runs:
            self.broken.append(f"said not to have run, and ran: {where}")
        if attempt.status == 200 and not attempt.body.startswith(
            f"{attempt.name} of "
        ):
            self.broken.append(f"foreign answer: {where}: {attempt.body}")
        if attempt.status == 404:
            self.broken.append(f"404 on a route in force: {where}")

    def judge_calm(self, calm_at: float) -> None:
        """Judge whether requests are served once all trouble has ended."""
        calm = [
            a
            for a in self._callers.attempts
            if a.sent_at >= calm_at and a.ended_at
        ]
        served = sum(a.status == 200 for a in calm)
        if served < _SERVED_PART * len(calm):
            self.broken.append(f"served {served} of {len(calm)} once calm")

    def judge_drained(self) -> None:
        """Judge whether leaving servers got requests too late."""
        for server in self._site.servers:
            left_at = self._site.draining.get(server.name)
            if left_at is None or self._site.disturbed_at > left_at - 3:
                continue
            late = [at for at, _ in server.begun if at > left_at + _DRAIN_S]
            if late:
                self.broken.append(
                    f"{server.name} got {len(late)} requests after it left"
                )

    async def probe_version(self) -> None:
        """Judge whether a change is in force on every instance in time."""
        name = f"new{self._site.version}"
        self._site.change_routes(extra=name)
        await asyncio.sleep(2.5)
        for instance in self._site.instances:
            attempt = await self._callers.send_to(instance, f"/{name}/", 0)
            if attempt.status == 404:
                self.broken.append(f"{instance.name} lacks a route in force")

    def judge_processes(self) -> None:
        """Judge whether a process ended by itself."""
        for instance in self._site.instances:
            if instance.has_ended:
                self.broken.append(f"{instance.name} ended by itself")
