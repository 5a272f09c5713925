"""Small stand-ins for the platform and for backend servers."""

from tarragonhinge.standins._grants import GrantTable
from tarragonhinge.standins._platform import StandinPlatform
from tarragonhinge.standins._server import StandinServer

__all__ = ["GrantTable", "StandinPlatform", "StandinServer"]
