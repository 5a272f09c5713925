"""HTTP/1.1 connections to callers and to backend servers."""

from tarragonhinge.http1._caller_connection import CallerConnection
from tarragonhinge.http1._errors import ExchangeError
from tarragonhinge.http1._listen import listen
from tarragonhinge.http1._listen import split_address
from tarragonhinge.http1._messages import Answer
from tarragonhinge.http1._messages import FieldList
from tarragonhinge.http1._messages import Request
from tarragonhinge.http1._pipe import connect
from tarragonhinge.http1._pipe import Pipe
from tarragonhinge.http1._pool import ConnectionPool
from tarragonhinge.http1._server_connection import ServerConnection

__all__ = [
    "Answer",
    "CallerConnection",
    "ConnectionPool",
    "ExchangeError",
    "FieldList",
    "Pipe",
    "Request",
    "ServerConnection",
    "connect",
    "listen",
    "split_address",
]
