"""Versions of the operators' table."""

import msgspec

from tarragonhinge import base
from tarragonhinge.configuration import _row


class OperatorsTable(msgspec.Struct, frozen=True, kw_only=True):
    """One version of the operators' table.

    Parameters
    ----------
    version : TableVersion
        Version number, which each accepted edit increases by one; 0
        for the empty table before the first edit.
    rows : list of ServiceRow
        One row for each service.
    """

    version: base.TableVersion = base.TableVersion(0)
    rows: list[_row.ServiceRow] = []

    def find_row(self, service: base.ServiceName) -> _row.ServiceRow | None:
        """Return the row of a service, or None if there is none."""
        for row in self.rows:
            if row.service == service:
                return row
        return None

    def list_shards(self, region: base.RegionName) -> list[base.ShardId]:
        """Return the shards of all services in a region."""
        return [
            base.make_shard_id(row.service, region)
            for row in self.rows
            if region in row.list_regions()
        ]
