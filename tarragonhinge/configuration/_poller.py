"""Follows the stored table and puts new versions in force."""

from absl import logging

from tarragonhinge import base
from tarragonhinge.configuration import _store
from tarragonhinge import stores

POLL_PERIOD_MS = 1000


class TablePoller:
    """Polls the table service for new versions.

    Parameters
    ----------
    store : ConfigurationStore
        Where the table is kept.
    view : TableView
        Receives new versions.
    clock : Clock
        Paces the polls.
    """

    def __init__(
        self,
        *,
        store: _store.ConfigurationStore,
        view: _store.TableView,
        clock: base.Clock,
    ) -> None:
        self.failures = 0
        self._store = store
        self._view = view
        self._clock = clock

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            await self.poll()
            await self._clock.sleep(POLL_PERIOD_MS)

    async def poll(self) -> bool:
        """Read the table once; False if the store gave no answer."""
        table = await self._store.load()
        if isinstance(table, stores.Unavailable):
            self.failures += 1
            return False
        if self._view.advance(table):
            logging.info("table in force version=%d", table.version)
        return True
