"""Interface that names and decodes the rows of the platform's store."""

import abc

from tarragonhinge import catalog


class CatalogCodec(abc.ABC):
    """Decodes the rows that operators and servers write.

    Attributes
    ----------
    routing_table, routing_key : str
        Store table and row key of the current routing table.
    servers_table : str
        Store table of the server entries; row keys are server ids.
    """

    routing_table: str
    routing_key: str
    servers_table: str

    @abc.abstractmethod
    def decode_routing(self, value: bytes) -> catalog.RoutingTable:
        """Decode a routing table.

        Raises
        ------
        CodecError
            If the value is not a valid routing table.
        """

    @abc.abstractmethod
    def decode_server(self, key: str, value: bytes) -> catalog.ServerEntry:
        """Decode a server entry.

        Raises
        ------
        CodecError
            If the value is not a valid server entry.
        """
