"""Follows the stored table and puts new versions in force."""

from absl import logging

from tarragonhinge.configuration import _store
from tarragonhinge import stores


class TablePoller:
    """Polls the table service for new versions.

    Parameters
    ----------
    store : ConfigurationStore
        Where the table is kept.
    view : TableView
        Receives new versions.
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
        """Read the table once; False if the store gave no answer."""
        table = await self._store.load()
        if isinstance(table, stores.Unavailable):
            self.failures += 1
            return False
        if self._view.advance(table):
            logging.info("table in force version=%d", table.version)
        return True
