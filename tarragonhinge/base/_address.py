"""Addresses as text."""

import ipaddress
import re

from tarragonhinge.base import _ids

_PORT_MAX = 65_535


def parse_address(text: str) -> _ids.Address:
    """Return an ``IP:PORT`` address.

    Raises
    ------
    ValueError
        If it is not one.

    Examples
    --------
    >>> parse_address("[::1]:80")
    '[::1]:80'
    """
    host, _, port = text.rpartition(":")
    bare = host[1:-1] if host[:1] == "[" and host[-1:] == "]" else host
    address = ipaddress.ip_address(bare)
    if (address.version == 6) != (bare != host):
        raise ValueError(text)
    if not re.fullmatch(r"[0-9]{1,5}", port):
        raise ValueError(text)
    if not 0 < int(port) <= _PORT_MAX:
        raise ValueError(text)
    return _ids.Address(text)
