"""HTTP/1.1 connections to callers and to backend servers."""

from tarragonhinge.http1._caller_connection import CallerConnection
from tarragonhinge.http1._caller_connection import CONNECTION_BYTES
from tarragonhinge.http1._caller_connection import CONNECTION_CLOSED
from tarragonhinge.http1._caller_connection import DISCONNECTED
from tarragonhinge.http1._connection_budget import ConnectionBudget
from tarragonhinge.http1._errors import ConnectionBudgetError
from tarragonhinge.http1._errors import ExchangeError
from tarragonhinge.http1._errors import UnreachableError
from tarragonhinge.http1._listen import listen
from tarragonhinge.http1._listen import split_address
from tarragonhinge.http1._messages import combine_fields
from tarragonhinge.http1._messages import FieldList
from tarragonhinge.http1._messages import HttpRequest
from tarragonhinge.http1._messages import HttpResponse
from tarragonhinge.http1._pool import ConnectionPool
from tarragonhinge.http1._pool import ListenerState
from tarragonhinge.http1._receive_buffer import limit_first_windows
from tarragonhinge.http1._server_connection import ServerConnection
from tarragonhinge.http1._tcp_stream import configure_socket
from tarragonhinge.http1._tcp_stream import connect
from tarragonhinge.http1._tcp_stream import TcpStream

__all__ = [
    "CONNECTION_BYTES",
    "CONNECTION_CLOSED",
    "DISCONNECTED",
    "CallerConnection",
    "ConnectionBudget",
    "ConnectionBudgetError",
    "ConnectionPool",
    "ExchangeError",
    "FieldList",
    "HttpRequest",
    "HttpResponse",
    "ListenerState",
    "ServerConnection",
    "TcpStream",
    "UnreachableError",
    "combine_fields",
    "configure_socket",
    "connect",
    "limit_first_windows",
    "listen",
    "split_address",
]
