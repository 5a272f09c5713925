"""Only a final status that HTTP defines is a response (RFC 9110, 15)."""

import asyncio

import pytest

from tarragonhinge import http1
from tarragonhinge.http1.tests import test_server_connection

_HEAD = "id: 7\r\nContent-Length: 0\r\n\r\n"
_FINAL = f"HTTP/1.1 204 X\r\n{_HEAD}"


async def _read_status(status, *, later=""):
    """Return the status of the response to a request, or None."""
    script = [f"HTTP/1.1 {status} X\r\n{_HEAD}", later]
    server = test_server_connection._ScriptedServer(script, closes=True)
    async with server.connect() as connection:
        try:
            response = await test_server_connection._exchange(connection)
        except http1.ExchangeError as error:
            assert error.sent
            return None
        return response.status


@pytest.mark.parametrize("hundreds", range(10))
def test_statuses_outside_the_defined_range_are_no_response(hundreds):
    """A caller took a status such as 000 or 999 for a server's response."""

    async def run():
        for status in range(100 * hundreds, 100 * hundreds + 100):
            expected = status if 2 <= hundreds <= 5 else None
            assert await _read_status(f"{status:03}") == expected

    asyncio.run(run())


@pytest.mark.parametrize(
    "status", ["", "0", "20", "2x0", "1000", "-20", "2 0", "\u0662\u0660"]
)
def test_what_is_no_number_of_three_digits_is_no_response(status):
    async def run():
        text = status.encode("utf-8").decode("latin-1")
        assert await _read_status(text) is None

    asyncio.run(run())


@pytest.mark.parametrize(
    ("status", "expected"),
    [("100", 204), ("102", 204), ("103", 204), ("199", 204), ("101", None)],
)
def test_final_response_follows_interim_ones(status, expected):
    """A protocol switch that nobody asked for is no interim response."""

    async def run():
        assert await _read_status(status, later=_FINAL) == expected

    asyncio.run(run())
