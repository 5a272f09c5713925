"""Stand-ins for the platform's services and for backend servers.

They serve the demonstration, benchmarks and tests.
"""

from tarragonhinge.standins._grants import GrantTable
from tarragonhinge.standins._platform import StandinPlatform
from tarragonhinge.standins._server import StandinServer

__all__ = ["GrantTable", "StandinPlatform", "StandinServer"]
