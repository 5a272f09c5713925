"""Codec of the rows that operators and backend servers write."""

from tarragonhinge import base
from tarragonhinge import catalog
from tarragonhinge import feeds
from tarragonhinge.platform import _server_codec
from tarragonhinge.platform import _table_codec

#: Beginning of the keys of rows that evacuate a zone; its name follows.
EVACUATION_PREFIX = "evacuate/"


class PlatformCodec(feeds.CatalogCodec):
    """Decodes rows in the formats that the platform defines."""

    routing_table = _table_codec.TABLE
    routing_key = _table_codec.KEY
    servers_table = _server_codec.TABLE

    def decode_routing(self, value: bytes) -> catalog.RoutingTable:
        """Decode a routing table."""
        return _table_codec.decode_table(value)

    def decode_evacuation(self, key: str) -> base.ZoneName | None:
        """Return the zone that a row evacuates, or None."""
        if not key.startswith(EVACUATION_PREFIX):
            return None
        return base.ZoneName(key.removeprefix(EVACUATION_PREFIX)) or None

    def decode_server(self, key: str, value: bytes) -> catalog.ServerEntry:
        """Decode the entry of a backend server."""
        return _server_codec.decode_server(key, value)
