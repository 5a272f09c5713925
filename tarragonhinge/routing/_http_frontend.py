"""HTTP frontend of an entry, which serves callers."""

import asyncio
import collections
import random

from aiohttp import web

from tarragonhinge import base
from tarragonhinge import configuration
from tarragonhinge import dispatch
from tarragonhinge.routing import _entry
from tarragonhinge.routing import _key_location
from tarragonhinge.routing import _problem
from tarragonhinge import servers

HEADER_REPLAYED = "Tarragonhinge-Replayed"

#: Maximum accepted deadline.
DEADLINE_LIMIT_MS = 600_000

#: Delay after which a caller may retry a request that was refused because
#: of a stop; meanwhile the load balancer notices the stop.
STOPPING_RETRY_AFTER_MS = 1_000

#: Time for writing the responses to the requests that a stop cuts off.
ABORT_TIMEOUT_MS = 1_000


class HttpFrontend:
    """Converts HTTP requests to forwarded requests, and outcomes to answers.

    Parameters
    ----------
    entry : Entry
        Forwards requests to leaders.
    view : TableView
        The operators' table in force.
    region : RegionName
        Region of this instance.
    rng : random.Random
        Source of random partitions for services without keys.
    clock : Clock or None
        Clock of this process; by default, a new one.

    Attributes
    ----------
    outcomes : Counter
        Number of requests by the class name of their outcome.
    in_flight : int
        Number of requests that are being handled.
    """

    def __init__(
        self,
        *,
        entry: _entry.Entry,
        view: configuration.TableView,
        region: base.RegionName,
        rng: random.Random,
        clock: base.Clock | None = None,
    ) -> None:
        self.outcomes: collections.Counter[str] = collections.Counter()
        self.in_flight = 0
        self._entry = entry
        self._view = view
        self._region = region
        self._rng = rng
        self._clock = clock or base.Clock()
        self._stop_ends_at: int | None = None
        self._handlers: set[asyncio.Task] = set()
        self._is_aborted = False

    def limit_deadlines(self, stop_ends_at: int) -> None:
        """Refuse the requests whose deadlines the stop cannot wait for.

        Parameters
        ----------
        stop_ends_at : int
            Time at which the requests in flight are cut off.
        """
        self._stop_ends_at = stop_ends_at

    async def abort(self) -> None:
        """Answer the requests in flight as unknown, and refuse all others.

        Returns once the responses are written, or after `ABORT_TIMEOUT_MS`.
        """
        self._stop_ends_at = self._clock.now()
        self._is_aborted = True
        handlers = list(self._handlers)
        for handler in handlers:
            handler.cancel()
        if handlers:
            await asyncio.wait(
                handlers, timeout=ABORT_TIMEOUT_MS / base.MS_PER_S
            )

    def make_application(self) -> web.Application:
        """Return the aiohttp application that serves callers."""
        application = web.Application(client_max_size=2**62)
        application.router.add_route("*", "/{service}", self.handle)
        application.router.add_route("*", "/{service}/{rest:.*}", self.handle)
        return application

    async def handle(self, request: web.Request) -> web.Response:
        """Handle one request of a caller."""
        handler = asyncio.current_task()
        self._handlers.add(handler)
        self.in_flight += 1
        try:
            outcome = await self._serve(request)
        except asyncio.CancelledError:
            if not self._is_aborted:
                self.outcomes["Cancelled"] += 1
                raise
            handler.uncancel()
            outcome = base.Unknown(reason=base.UnknownReason.ANSWER_LOST)
        finally:
            self.in_flight -= 1
            self._handlers.discard(handler)
        self.outcomes[type(outcome).__name__] += 1
        return self._make_response(outcome)

    async def _serve(self, request: web.Request) -> base.Outcome:
        service = base.ServiceName(request.match_info["service"])
        row = self._view.current.find_row(service)
        if row is None:
            return base.NotRun(reason=base.NotRunReason.UNKNOWN_SERVICE)
        location = self._locate(row, request)
        deadline_ms = self._read_deadline(row, request)
        if location is None or deadline_ms is None:
            return base.NotRun(reason=base.NotRunReason.BAD_REQUEST)
        body = await _read_body(request, row.body_limit)
        if body is None:
            return base.NotRun(reason=base.NotRunReason.BODY_TOO_LARGE)
        if not self._can_wait(deadline_ms):
            return base.NotRun(
                reason=base.NotRunReason.STOPPING,
                retry_after_ms=STOPPING_RETRY_AFTER_MS,
            )
        key = request.headers.get(servers.HEADER_IDEMPOTENCY_KEY, "")
        forwarded = dispatch.ForwardRequest(
            shard=location.shard,
            partition=location.partition,
            key_hash=location.key_hash,
            method=request.method,
            path=request.raw_path,
            headers=[(str(n), v) for n, v in request.headers.items()],
            body=body,
            time_left_ms=deadline_ms,
            idempotency_key=key.strip('"'),
        )
        idempotent = request.method in row.idempotent_methods
        return await self._entry.route(forwarded, idempotent=idempotent)

    def _can_wait(self, deadline_ms: int) -> bool:
        """Return whether a request can end before this instance stops."""
        if self._stop_ends_at is None:
            return True
        return self._clock.now() + deadline_ms <= self._stop_ends_at

    def _locate(
        self, row: configuration.ServiceRow, request: web.Request
    ) -> _key_location.KeyLocation | None:
        if row.key_source is configuration.KeySource.NONE:
            return _key_location.choose_location(
                row, region=self._region, rng=self._rng
            )
        rest = request.match_info.get("rest", "")
        key = _key_location.extract_key(
            row,
            segments=rest.split("/"),
            headers=request.headers,
            query=request.query,
        )
        return None if key is None else _key_location.locate_key(row, key)

    def _read_deadline(
        self, row: configuration.ServiceRow, request: web.Request
    ) -> int | None:
        header = request.headers.get(servers.HEADER_DEADLINE_MS)
        if header is None:
            return row.deadline_ms
        if not (header.isascii() and header.isdigit()):
            return None
        if not 0 < int(header) <= DEADLINE_LIMIT_MS:
            return None
        return int(header)

    def _make_response(self, outcome: base.Outcome) -> web.Response:
        if not isinstance(outcome, base.Answered):
            problem = _problem.make_problem(outcome)
            return web.Response(
                status=problem.status,
                headers=problem.headers,
                body=problem.body,
            )
        response = web.Response(status=outcome.status, body=outcome.body)
        response.headers.popall("Content-Type", None)
        for name, value in outcome.headers:
            response.headers.add(name, value)
        response.headers[_problem.HEADER_OUTCOME] = "answered"
        if outcome.replayed:
            response.headers[HEADER_REPLAYED] = "true"
        return response


async def _read_body(request: web.Request, limit: int) -> bytes | None:
    """Return the body, or None once it exceeds `limit` bytes."""
    if (request.content_length or 0) > limit:
        return None
    body = bytearray()
    async for chunk in request.content.iter_any():
        body += chunk
        if len(body) > limit:
            return None
    return bytes(body)
