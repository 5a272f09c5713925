"""Follows the changes of one store table."""

from collections.abc import Callable
from collections.abc import Sequence
import random

from tarragonhinge import base
from tarragonhinge import events
from tarragonhinge import stores

#: Longest duration of one watch. A watch to which the store does not respond
#: is given up after this time plus the store's call timeout; the sum must stay
#: below the time in which a configuration has to take effect.
WATCH_TIMEOUT_MS = 1_400

#: First and longest backoff after a failed call; each failure doubles the
#: backoff.
RETRY_BASE_MS = 100
RETRY_CAP_MS = 800

#: Pause before a table is read again if the watch after the last read found no
#: history either. In this case each read is as recent as a watch would be.
REREAD_DELAY_MS = 50

#: Time since the store's last response after which the store counts as
#: unreachable.
STORE_LOST_AFTER_MS = 1_000

#: Handler of rows; the flag states whether they are all rows of the table.
RowsHandler = Callable[[Sequence[stores.StoredRow], bool], None]


class TableFollower:
    """Reads a table once, then watches it for changes.

    The table is read again if the store no longer has the history since
    the last version received, or has come back from an older copy. If the
    store keeps its history for less time than the reading takes, each read
    is followed by another one after a pause, and the rows are as recent as
    the last read.

    Parameters
    ----------
    store : RowStore
        Store that holds the table.
    table : str
        Name of the table.
    handle_rows : callable
        Called with the changed rows, or with all rows after a read.
    log : EventLog
        Destination of log events.
    clock : Clock
        This process's clock.
    rng : random.Random
        Adds jitter to retries.
    watch_timeout_ms : int
        Longest duration of one watch.
    retry_cap_ms : int
        Longest backoff after a failed call.

    Attributes
    ----------
    last_response_at : int or None
        Time of the store's last response (boot time).
    recovered_at : int or None
        End of the store's last outage (boot time).
    era : int or None
        Era of the store in which the table was read.
    restored_at : int or None
        Time of the first read since the store came back from a copy (boot
        time).
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
        retry_cap_ms: int = RETRY_CAP_MS,
    ) -> None:
        self._store = store
        self._table = table
        self._watch_timeout_ms = watch_timeout_ms
        self._retry_cap_ms = retry_cap_ms
        self._handle_rows = handle_rows
        self._log = log
        self._clock = clock
        self._rng = rng or random.Random()
        self._version: int | None = None
        self.era: int | None = None
        self._failures = 0
        # Whether the last watch found no history.
        self._is_history_short = False
        self._is_lost = False
        self.last_response_at: int | None = None
        self.recovered_at: int | None = None
        self.restored_at: int | None = None

    @property
    def is_failing(self) -> bool:
        """Whether the last call to the store failed."""
        return self._failures > 0

    def get_age_ms(self) -> int | None:
        """Return the time since the store last responded, in milliseconds.

        None if it has not responded yet.
        """
        if self.last_response_at is None:
            return None
        return self._clock.read_boottime() - self.last_response_at

    async def run(self) -> None:
        """Follow the table until cancelled."""
        while True:
            result = await self._fetch()
            if isinstance(result, stores.Unavailable):
                await self._back_off()
                continue
            self._record_response()
            if isinstance(result, stores.HistoryLost):
                await self._read_again()
                continue
            is_whole = self._version is None
            if not is_whole:
                self._is_history_short = False
            self._version = result.version
            self._record_era(result.era)
            if result.rows or is_whole:
                self._handle_rows(result.rows, is_whole)

    async def _read_again(self) -> None:
        """Let the table be read again, at once only for the first time."""
        self._version = None
        if self._is_history_short:
            await self._clock.sleep(REREAD_DELAY_MS)
        self._is_history_short = True

    async def _fetch(self) -> stores.WatchResult:
        if self._version is None:
            return await self._store.read(self._table)
        return await self._store.watch(
            self._table,
            after=self._version,
            era=self.era,
            wait_ms=self._watch_timeout_ms,
        )

    def _record_era(self, era: int) -> None:
        """Record a restore of the store, which follows an outage."""
        if self.era not in (None, era):
            self.restored_at = self.recovered_at = self.last_response_at
            self._log.write(
                events.StoreRestored(
                    table=self._table, era=era, version=self._version
                )
            )
        self.era = era

    def _record_response(self) -> None:
        now = self._clock.read_boottime()
        self._failures = 0
        if self._is_lost:
            self._is_lost = False
            self.recovered_at = now
            self._log_reachability(reachable=True)
        # A watch may last up to its timeout; its result is valid at the time
        # at which the watch ends.
        self.last_response_at = now

    async def _back_off(self) -> None:
        self._failures += 1
        age_ms = self.get_age_ms()
        if not self._is_lost and (
            age_ms is None or age_ms > STORE_LOST_AFTER_MS
        ):
            self._is_lost = True
            self._log_reachability(reachable=False)
        backoff_ms = min(
            self._retry_cap_ms, RETRY_BASE_MS * 2 ** (self._failures - 1)
        )
        await self._clock.sleep(int(backoff_ms * self._rng.uniform(0.7, 1.3)))

    def _log_reachability(self, *, reachable: bool) -> None:
        self._log.write(
            events.DependencyChanged(
                dependency=f"store/{self._table}",
                reachable=reachable,
                silent_ms=self.get_age_ms() or -1,
            )
        )
