"""Polls the stored table and puts new versions in force."""

from absl import logging

from tarragonhinge.configuration import _store
from tarragonhinge import stores


class TablePoller:
    """Reads the stored table and publishes new versions.

    Parameters
    ----------
    store : ConfigurationStore
        Store of the table.
    view : TableView
        Receives new versions.

    Attributes
    ----------
    failures : int
        Number of reads for which the store was unavailable.
    """

    def __init__(
        self,
        *,
        store: _store.ConfigurationStore,
        view: _store.TableView,
    ) -> None:
        self.failures = 0
        self._store = store
        self._view = view

    async def poll(self) -> bool:
        """Read the table once; return False if the store is unavailable."""
        table = await self._store.load()
        if isinstance(table, stores.Unavailable):
            self.failures += 1
            return False
        if self._view.advance(table):
            logging.info("table in force version=%d", table.version)
        return True
