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
    ) -> None:
        self.outcomes: collections.Counter[str] = collections.Counter()
        self.in_flight = 0
        self.stopping = False
        self._entry = entry
        self._view = view
        self._region = region
        self._rng = rng

    def make_application(self) -> web.Application:
        """Return the aiohttp application that serves callers."""
        application = web.Application(client_max_size=2**62)
        application.router.add_route("*", "/{service}", self.handle)
        application.router.add_route("*", "/{service}/{rest:.*}", self.handle)
        return application

    async def handle(self, request: web.Request) -> web.Response:
        """Handle one request of a caller."""
        self.in_flight += 1
        try:
            outcome = await self._serve(request)
        except asyncio.CancelledError:
            self.outcomes["Cancelled"] += 1
            raise
        finally:
            self.in_flight -= 1
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
