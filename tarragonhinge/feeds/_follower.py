"""Follows the changes of one table of the store."""

from collections.abc import Callable
from collections.abc import Sequence
import random

from tarragonhinge import base
from tarragonhinge import events
from tarragonhinge import stores

#: Longest time that one watch waits.  A feed that fell silent is
#: replaced after this and the store's time limit, which together stay
#: below the time in which a configuration has to be in force.
WATCH_TIMEOUT_MS = 1_400

#: Pauses after a failed call; each failure doubles the pause.
RETRY_BASE_MS = 100
RETRY_CAP_MS = 800

#: Silence after which the store counts as lost.
STORE_LOST_AFTER_MS = 1_000

#: Called with rows, and whether they are the whole table.
RowsHandler = Callable[[Sequence[stores.StoredRow], bool], None]


class TableFollower:
    """Reads a table, then watches it, and reads again where it must.

    Parameters
    ----------
    store : RowStore
        The store.
    table : str
        The table.
    handle : callable
        Takes the rows that changed, or all rows.
    log : EventLog
        Where events are written.
    clock : Clock
        This process's clock.
    rng : random.Random
        Spreads the retries.
    watch_ms : int
        Longest time that one watch waits.

    Attributes
    ----------
    confirmed_at : int or None
        When the store last answered (boot time).
    returned_at : int or None
        When the store came back after its last silence (boot time).
    """

    def __init__(
        self,
        *,
        store: stores.RowStore,
        table: str,
        handle_rows: RowsHandler,
        log: events.EventLog,
        clock: base.Clock,
        rng: random.Random | None = None,
        watch_timeout_ms: int = WATCH_TIMEOUT_MS,
    ) -> None:
        self._store = store
        self._table = table
        self._watch_timeout_ms = watch_timeout_ms
        self._handle_rows = handle_rows
        self._log = log
        self._clock = clock
        self._rng = rng or random.Random()
        self._version: int | None = None
        self._failures = 0
        self._is_lost = False
        self.answered_at: int | None = None
        self.recovered_at: int | None = None

    @property
    def is_failing(self) -> bool:
        """Whether the last call ended without an answer or refused."""
        return self._failures > 0

    def get_age_ms(self) -> int | None:
        """Return how long ago the store last answered; None for never."""
        if self.answered_at is None:
            return None
        return self._clock.read_boot() - self.answered_at

    async def run(self) -> None:
        """Follow the table until cancelled."""
        while True:
            result = await self._fetch()
            if isinstance(result, stores.Unavailable):
                await self._back_off()
                continue
            self._record_answer()
            if isinstance(result, stores.HistoryLost):
                self._version = None
                continue
            is_whole = self._version is None
            self._version = result.version
            if result.rows or is_whole:
                self._handle_rows(result.rows, is_whole)

    async def _fetch(self) -> stores.WatchResult:
        if self._version is None:
            return await self._store.read(self._table)
        return await self._store.watch(
            self._table, after=self._version, wait_ms=self._watch_timeout_ms
        )

    def _record_answer(self) -> None:
        now = self._clock.read_boot()
        self._failures = 0
        if self._is_lost:
            self._is_lost = False
            self.recovered_at = now
            self._log_reachability(reachable=True)
        # A watch answers up to its wait later than it began; what it says
        # holds at its end.
        self.answered_at = now

    async def _back_off(self) -> None:
        self._failures += 1
        age_ms = self.get_age_ms()
        if not self._is_lost and (
            age_ms is None or age_ms > STORE_LOST_AFTER_MS
        ):
            self._is_lost = True
            self._log_reachability(reachable=False)
        pause_ms = min(RETRY_CAP_MS, RETRY_BASE_MS * 2 ** (self._failures - 1))
        await self._clock.sleep(int(pause_ms * self._rng.uniform(0.7, 1.3)))

    def _log_reachability(self, *, reachable: bool) -> None:
        self._log.write(
            events.DependencyChanged(
                dependency=f"store/{self._table}",
                reachable=reachable,
                silent_ms=self.get_age_ms() or -1,
            )
        )
