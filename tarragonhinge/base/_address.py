"""Parsing of network addresses."""

import ipaddress
import re

from tarragonhinge.base import _ids

_PORT_MAX = 65_535


def parse_address(text: str) -> _ids.Address:
    """Return `text` as an address if it has the form ``IP:PORT``.

    Raises
    ------
    ValueError
        If `text` is not ``IP:PORT``, an IPv6 address lacks its brackets or
        the port is not from 1 to 65535.

    Examples
    --------
    >>> parse_address("[::1]:80")
    '[::1]:80'
    """
    host, _, port = text.rpartition(":")
    unbracketed = host[1:-1] if host[:1] == "[" and host[-1:] == "]" else host
    address = ipaddress.ip_address(unbracketed)
    if (address.version == 6) != (unbracketed != host):
        raise ValueError(text)
    if not re.fullmatch(r"[0-9]{1,5}", port):
        raise ValueError(text)
    if not 0 < int(port) <= _PORT_MAX:
        raise ValueError(text)
    return _ids.Address(text)
