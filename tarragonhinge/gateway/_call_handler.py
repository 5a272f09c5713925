"""Calls of other instances."""

import msgspec

from tarragonhinge import base
from tarragonhinge import events
from tarragonhinge import forwarding
from tarragonhinge.gateway import _gateway
from tarragonhinge.gateway import _responses
from tarragonhinge import http1
from tarragonhinge import jobs


class CallHandler:
    """Handles the requests and queries of other instances.

    Parameters
    ----------
    gateway : Gateway
        Handles the requests that they forward.
    log : EventLog
        Destination of log events.
    """

    def __init__(
        self, *, gateway: _gateway.Gateway, log: events.EventLog
    ) -> None:
        self._gateway = gateway
        self._log = log

    async def handle(self, request: http1.HttpRequest) -> http1.HttpResponse:
        """Return the response to a call of another instance."""
        try:
            call, request = forwarding.read_call(request)
        except base.CodecError as error:
            self._log.write(
                events.TaskFailed(task="forwarding", problem=error.problem)
            )
            return http1.HttpResponse(status=400, fields=[], closes=True)
        if isinstance(call, forwarding.PathQuery):
            report = await self._gateway.monitor.report(call)
            return http1.HttpResponse(
                status=200, fields=[], body=msgspec.json.encode(report)
            )
        response, outcome = await self._gateway.handle_forwarded(request, call)
        return self._add_outcome(response, outcome)

    def refuse_for_memory(self, retry_after_ms: int) -> http1.HttpResponse:
        """Return the response to a call for which there is no memory."""
        refused = jobs.Refused.for_full_memory(retry_after_ms)
        return self._add_outcome(
            _responses.make_response(refused),
            _responses.describe_outcome(refused, None),
        )

    @staticmethod
    def _add_outcome(
        response: http1.HttpResponse, outcome: forwarding.ForwardedOutcome
    ) -> http1.HttpResponse:
        return http1.HttpResponse(
            status=response.status,
            fields=forwarding.add_outcome(response.fields, outcome),
            body=response.body,
        )
