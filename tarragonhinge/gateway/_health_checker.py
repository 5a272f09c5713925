"""Asks servers of a zone that is taken back whether they are cold.

Health checks have a price. The coordinator alone asks each server once, and
the other instances hear of the result with the loads.
"""

import asyncio
from collections.abc import Callable

from tarragonhinge import balancing
from tarragonhinge import base
from tarragonhinge import catalog
from tarragonhinge import events
from tarragonhinge.gateway import _cold_watch
from tarragonhinge import http1
from tarragonhinge import jobs

#: Interval between checks for zones that were taken back.
CHECK_INTERVAL_MS = 100

#: Number of servers that are asked at a time.
CONCURRENT_CHECKS = 8

#: Time limit of a health check, which includes a new connection.
TIMEOUT_MS = 600


class HealthChecker:
    """Shortens the warm-up of servers that state a shorter one.

    Parameters
    ----------
    dialect : Dialect
        Codec for the header fields of the platform.
    links : ServerLinks
        Links to the servers.
    cold_watch : ColdWatch
        Names the servers to ask, and learns what they state.
    log : EventLog
        Destination of log events.
    clock : Clock
        This process's clock.
    """

    def __init__(
        self,
        *,
        dialect: jobs.Dialect,
        links: balancing.ServerLinks,
        cold_watch: _cold_watch.ColdWatch,
        log: events.EventLog,
        clock: base.Clock,
    ) -> None:
        self._dialect = dialect
        self._links = links
        self._cold_watch = cold_watch
        self._log = log
        self._clock = clock
        self._slots = asyncio.Semaphore(CONCURRENT_CHECKS)

    async def run(self, is_coordinator: Callable[[], bool]) -> None:
        """Ask servers while this instance coordinates, until cancelled."""
        async with asyncio.TaskGroup() as group:
            while True:
                await self._clock.sleep(CHECK_INTERVAL_MS)
                returned = self._cold_watch.take_returned()
                if is_coordinator():
                    for entry in returned:
                        group.create_task(self._check(entry))

    async def _check(self, entry: catalog.ServerEntry) -> None:
        service = self._cold_watch.find_limited_service(entry)
        if service is None or not service.health_path:
            return
        try:
            async with self._slots:
                left_ms = await self._ask(entry, service.health_path)
        except Exception as error:
            # A path that can't be sent must not end the checks of others.
            self._log.write(
                events.TaskFailed(task="health_check", problem=repr(error))
            )
            return
        if left_ms is not None:
            self._cold_watch.shorten(entry, left_ms)

    async def _ask(self, entry: catalog.ServerEntry, path: str) -> int | None:
        """Return the time for which a server stays cold, if it states it."""
        link = self._links.find(entry.server)
        if link is None or not entry.is_same_incarnation(link.entry):
            return None
        connection = None
        is_reusable = False
        try:
            async with asyncio.timeout(TIMEOUT_MS / base.MS_PER_S):
                connection = await link.pool.acquire(
                    fresh=True, uses_reserve=True
                )
                response = await connection.exchange(
                    http1.HttpRequest(
                        method="GET",
                        target=path,
                        fields=[("host", entry.address)],
                        body=b"",
                    ),
                    recognize=lambda _: True,
                )
            is_reusable = not response.closes
        except (http1.ExchangeError, TimeoutError):
            return None
        finally:
            if connection is not None and is_reusable:
                link.pool.release(connection)
            elif connection is not None:
                link.pool.discard(connection)
        metadata = self._dialect.read_answer(
            http1.combine_fields(response.fields)
        )
        if metadata.server not in (None, entry.server):
            return None
        return metadata.warm_up_ms if response.status < 400 else None
