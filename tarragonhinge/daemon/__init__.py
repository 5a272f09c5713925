"""Daemon that runs on every instance."""

from tarragonhinge.daemon._instance import Instance
from tarragonhinge.daemon._instance import make_http_client
from tarragonhinge.daemon._listeners import Listeners
from tarragonhinge.daemon._platform import connect_platform
from tarragonhinge.daemon._platform import Platform
from tarragonhinge.daemon._serve import serve

__all__ = [
    "Instance",
    "Listeners",
    "Platform",
    "connect_platform",
    "make_http_client",
    "serve",
]
