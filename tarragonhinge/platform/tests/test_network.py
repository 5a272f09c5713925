"""The stand-in network ends silent connections when Linux does."""

import socket

import pytest

from tarragonhinge import http1
from tarragonhinge.platform import standins


@pytest.mark.parametrize(
    ("user_timeout_ms", "idle_s", "interval_s", "probes", "expected_ms"),
    [
        (0, 2, 1, 2, (0, 4_000)),
        (0, 10, 5, 3, (0, 25_000)),
        # The number of probes does not count.
        (2_000, 2, 1, 2, (2_000, 3_000)),
        (2_000, 2, 1, 9, (2_000, 3_000)),
        (9_000, 2, 3, 1, (9_000, 11_000)),
        (500, 4, 2, 5, (500, 6_000)),
    ],
)
def test_end_of_silent_connection(
    user_timeout_ms, idle_s, interval_s, probes, expected_ms
):
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        for option, value in (
            (socket.TCP_USER_TIMEOUT, user_timeout_ms),
            (socket.TCP_KEEPIDLE, idle_s),
            (socket.TCP_KEEPINTVL, interval_s),
            (socket.TCP_KEEPCNT, probes),
        ):
            sock.setsockopt(socket.IPPROTO_TCP, option, value)
        assert standins.compute_silence_limit_ms(sock) == expected_ms


def test_silent_server_connection_ends_within_three_seconds():
    with socket.socket() as sock:
        http1.configure_socket(sock)
        assert standins.compute_silence_limit_ms(sock) == (2_000, 3_000)
