"""Interface that names and decodes the rows of the platform's store."""

import abc

from tarragonhinge import base
from tarragonhinge import catalog


class CatalogCodec(abc.ABC):
    """Decodes the rows that operators and servers write.

    Attributes
    ----------
    routing_table, routing_key : str
        Store table and row key of the current routing table. Rows that
        evacuate zones are in the same table.
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

    def decode_evacuation(self, key: str) -> base.ZoneName | None:
        """Return the zone that a row of the routing table's table evacuates.

        The row evacuates the zone while it exists, whatever its value.

        Parameters
        ----------
        key : str
            Key of the row.

        Returns
        -------
        ZoneName or None
            None if the row evacuates no zone.
        """
        return None

    @abc.abstractmethod
    def decode_server(self, key: str, value: bytes) -> catalog.ServerEntry:
        """Decode a server entry.

        Raises
        ------
        CodecError
            If the value is not a valid server entry.
        """
