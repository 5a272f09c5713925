"""Calls of other instances, as the gateway handles them."""

import asyncio

import pytest

from tarragonhinge import base
from tarragonhinge import catalog
from tarragonhinge import forwarding
from tarragonhinge.forwarding import _messages
from tarragonhinge import gateway
from tarragonhinge import http1
from tarragonhinge.platform.tests import test_path

#: Service time and load at which one more request is expected within the
#: highest latency at which it is admitted, but not within nine tenths of it.
SERVICE_MS = 285.0
IN_FLIGHT = 7


def _make_call(
    testbed,
    *,
    name="safe",
    kind=catalog.RequestKind.IDEMPOTENT,
    deadline_ms=1_500,
):
    return forwarding.ForwardedRequest(
        origin=base.InstanceId("e2"),
        service=catalog.Service(name=testbed.service, max_connections=20),
        route=test_path._make_route(name, kind, testbed.service),
        deadline_ms=deadline_ms,
    )


def _make_request(call, target="/safe/a"):
    fields = [
        ("host", "h.example"),
        ("tarragonhinge-request-attempt-id", "a1"),
    ]
    if call is not None:
        fields = forwarding.add_call(fields, call)
    return http1.HttpRequest(method="GET", target=target, fields=fields)


async def _call(testbed, request):
    handler = gateway.CallHandler(gateway=testbed.gateway, log=testbed.log)
    return await handler.handle(request)


def _run(check, **options):
    async def run():
        async with test_path._Testbed(**options) as testbed:
            await check(testbed)

    asyncio.run(run())


def test_own_callers_go_first():
    async def check(testbed):
        [server] = testbed.servers
        link = testbed.gateway.links.find(base.ServerId(server.name))
        link.load._service_time.mean_ms = SERVICE_MS
        link.load.in_flight = IN_FLIGHT
        response = await _call(testbed, _make_request(_make_call(testbed)))
        outcome, response = _messages.read_outcome(response)
        assert response.status == 503
        assert outcome.reason == "overload"
        assert outcome.retry_after_ms > 0
        assert outcome.sent_count == 0
        assert (await testbed.send("/safe/a")).status == 200

    _run(check, names=["i-1"])


@pytest.mark.parametrize(
    ("deadline_ms", "status"), [(50, 503), (300, 503), (1_500, 200)]
)
def test_idle_server_gets_no_request_that_it_cannot_finish(
    deadline_ms, status
):
    """Guards against forwarded requests that end at their deadline."""

    async def check(testbed):
        [server] = testbed.servers
        link = testbed.gateway.links.find(base.ServerId(server.name))
        link.load._service_time.mean_ms = SERVICE_MS
        response = await _call(
            testbed,
            _make_request(_make_call(testbed, deadline_ms=deadline_ms)),
        )
        assert response.status == status
        assert len(server.received) == (status == 200)

    _run(check, names=["i-1"])


@pytest.mark.parametrize("field", [None, "", "!", "e30="])
def test_invalid_call_is_rejected(field):
    async def check(testbed):
        request = _make_request(None)
        if field is not None:
            request.fields.append((_messages.CALL_FIELD, field))
        response = await _call(testbed, request)
        assert response.status == 400
        assert testbed.servers[0].received == []

    _run(check)


def test_route_of_the_origin_decides():
    """The routing table of this instance may be another version."""

    async def check(testbed):
        kind = catalog.RequestKind.NON_IDEMPOTENT
        for server in testbed.servers:
            server.mode = "cut"
        response = await _call(
            testbed,
            _make_request(
                _make_call(testbed, name="new", kind=kind), "/new/a"
            ),
        )
        outcome, _ = _messages.read_outcome(response)
        assert outcome.kind is forwarding.OutcomeKind.FAILED
        assert outcome.sent_count == 1

    _run(check)


def test_field_in_a_callers_request_has_no_effect():
    async def check(testbed):
        [(name, value)] = forwarding.add_call([], _make_call(testbed))
        response = await testbed.send("/none/a", **{name: value})
        assert response.status == 404

    _run(check)


def test_fields_of_callers_and_servers_are_replaced():
    async def check(testbed):
        call = _make_call(testbed)
        fields = [(_messages.CALL_FIELD, "e30="), ("x", "1")]
        request = http1.HttpRequest(
            method="GET", target="/", fields=forwarding.add_call(fields, call)
        )
        read, rest = forwarding.read_call(request)
        assert read == call
        assert rest.fields == [("x", "1")]
        outcome = forwarding.ForwardedOutcome(
            kind=forwarding.OutcomeKind.REFUSED
        )
        fields = [(_messages.OUTCOME_FIELD, "e30="), ("x", "1")]
        response = http1.HttpResponse(
            status=503, fields=forwarding.add_outcome(fields, outcome)
        )
        assert _messages.read_outcome(response)[0] == outcome

    _run(check)
