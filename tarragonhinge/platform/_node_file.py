"""Parser of the settings file that the platform writes for each process.

The file has lines of the form ``name=value``; items of lists are separated by
commas.  Unknown entries are ignored, since the platform may add new ones.
"""

import math
import os
import pathlib

from tarragonhinge import base
from tarragonhinge import gateway
from tarragonhinge.platform import _errors

#: Environment variable that holds the path of the file.
PATH_VARIABLE = "TARRAGONHINGE_NODE_FILE"

#: Bytes of a megabyte in the settings.
BYTES_PER_MB = 1_000_000

_GENERATED_FILE_REMEDY = (
    "start the instance with the settings file written by the platform"
)


def locate_node_file() -> pathlib.Path:
    """Return the path of the settings file.

    Raises
    ------
    NodeFileError
        If the environment variable is not set.
    """
    path = os.environ.get(PATH_VARIABLE, "")
    if not path:
        raise _errors.NodeFileError(
            problem=f"{PATH_VARIABLE} is not set",
            remedy="set it to the path of the instance's settings file",
        )
    return pathlib.Path(path)


def parse_entries(text: str) -> dict[str, str]:
    """Parse a settings file into its entries.

    Examples
    --------
    >>> parse_entries("b.c = x,y")
    {'b.c': 'x,y'}
    """
    entries = {}
    for line in text.splitlines():
        name, separator, value = line.partition("=")
        if separator and not name.lstrip().startswith("#"):
            entries[name.strip()] = value.strip()
    return entries


class _EntryReader:
    """Reads entries as typed values; errors name the invalid entry."""

    def __init__(self, entries: dict[str, str]) -> None:
        self._entries = entries

    def read_text(self, name: str) -> str:
        value = self._entries.get(name, "")
        if not value:
            raise _errors.NodeFileError(
                problem=f"{name} is missing", remedy=_GENERATED_FILE_REMEDY
            )
        return value

    def read_address(self, name: str) -> base.Address:
        value = self.read_text(name)
        try:
            return base.parse_address(value)
        except ValueError as error:
            raise _errors.NodeFileError(
                problem=f"{name}={value!r} is not an address",
                remedy="set it to IP:PORT",
            ) from error

    def read_number(self, name: str, default: float | None = None) -> float:
        if default is not None and not self._entries.get(name):
            return default
        value = self.read_text(name)
        try:
            number = float(value)
        except ValueError:
            number = -1.0
        if not 0 <= number < float("inf"):
            raise _errors.NodeFileError(
                problem=f"{name}={value!r} is out of range",
                remedy="set it to a number of 0 or more",
            )
        return number

    def read_flag(self, name: str, *, default: bool) -> bool:
        value = self._entries.get(name, "")
        return value == "true" if value else default

    def read_port(self, name: str) -> int:
        first = self.read_text(name).partition(",")[0]
        if not first.isdigit() or not 0 < int(first) < 65_536:
            raise _errors.NodeFileError(
                problem=f"{name}={first!r} is not a port number",
                remedy="set it to FIRST,LAST, each from 1 to 65535",
            )
        return int(first)

    def read_zones(self) -> dict[base.ZoneName, base.RegionName]:
        prefix = "zones."
        return {
            base.ZoneName(name.removeprefix(prefix)): base.RegionName(value)
            for name, value in self._entries.items()
            if name.startswith(prefix)
        }


def parse_node_file(text: str) -> gateway.InstanceOptions:
    """Decode a settings file.

    Raises
    ------
    NodeFileError
        If an entry is missing or invalid; the message states the entry, its
        value and the remedy.
    """
    reader = _EntryReader(parse_entries(text))
    ip = reader.read_text("ip")
    # Ports from the first to the last are free on every machine.
    peer_port = reader.read_port("internalPorts")
    return gateway.InstanceOptions(
        instance=base.InstanceId(reader.read_text("node")),
        zone=base.ZoneName(reader.read_text("zone")),
        region=base.RegionName(reader.read_text("region")),
        zones=reader.read_zones(),
        # listen.front is the address for callers.
        callers=reader.read_address("listen.front"),
        health=reader.read_address("listen.ready"),
        peers=base.Address(f"{ip}:{peer_port}"),
        forwarding=base.Address(f"{ip}:{peer_port + 1}"),
        store=reader.read_address("platform.address"),
        is_first_start=reader.read_flag("bootstrap", default=True),
        link_mbps=reader.read_number("limits.linkMbps", math.inf),
        # bounds.grace and bounds.budgetWindow are in seconds, bounds.holdMax
        # is in milliseconds.
        stop_ms=int(reader.read_number("bounds.grace", 6) * base.MS_PER_S),
        # Longest duration of a grant.
        grant_limit_ms=int(reader.read_number("bounds.holdMax", 10_000)),
        retry_ratio=reader.read_number("bounds.retryRatio", 0.2),
        retry_window_ms=int(
            reader.read_number("bounds.budgetWindow", 10) * base.MS_PER_S
        ),
        retry_slack=reader.read_number("bounds.retrySlack", 0),
        # Both in milliseconds.
        drain_ms=int(reader.read_number("bounds.drain", 3_000)),
        evacuate_ms=int(reader.read_number("bounds.evacuate", 5_000)),
        row_bytes=int(reader.read_number("platform.rowBytes", 65_536)),
        memory_bytes=int(reader.read_number("limits.memoryMb", 0))
        * BYTES_PER_MB
        or None,
        max_descriptors=int(reader.read_number("limits.maxFds", 0)) or None,
    )


def load_node_file(path: pathlib.Path) -> gateway.InstanceOptions:
    """Read and decode a settings file.

    Raises
    ------
    NodeFileError
        If the file can't be read or decoded.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise _errors.NodeFileError(
            problem=f"{path} cannot be read: {error}",
            remedy=_GENERATED_FILE_REMEDY,
        ) from error
    return parse_node_file(text)
