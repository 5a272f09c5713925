"""How rows of the platform's store are named and decoded."""

import abc

from tarragonhinge import catalog


class CatalogCodec(abc.ABC):
    """Decodes the rows that operators and servers write.

    Attributes
    ----------
    routing_table, routing_key : str
        Where the newest routing table stands.
    servers_table : str
        The table of servers; keys are their ids.
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
            If the row holds something else.
        """

    @abc.abstractmethod
    def decode_server(self, key: str, value: bytes) -> catalog.ServerEntry:
        """Decode the entry of a server.

        Raises
        ------
        CodecError
            If the row holds something else.
        """
