"""Keeps refused requests in the store."""

import asyncio
import contextlib

from tarragonhinge import base
from tarragonhinge import events
from tarragonhinge import quarantine
from tarragonhinge import stores

#: First and longest backoff before a failed store call is retried.
RETRY_DELAY_MS = 150
MAX_RETRY_DELAY_MS = 2_000

#: Largest number of refused requests that are stored, and of crashes that are
#: stored for one of them.
MAX_STORED_REFUSALS = 256
MAX_STORED_CRASHES = 16

#: Longest time between two comparisons of the store with the verdicts.
_CHECK_INTERVAL_MS = 5_000


class RefusalKeeper:
    """Reads the refused requests once, then stores each change of them.

    All instances may end at the same time, and with them what they know.

    Parameters
    ----------
    store : RowStore
        Store that holds them.
    claim : Claim
        Claim of this instance to be the coordinator.
    ledger : CrashLedger
        Crashes, and the requests that are refused for them.
    log : EventLog
        Destination of log events.
    clock : Clock
        This process's clock.
    """

    def __init__(
        self,
        *,
        store: stores.RowStore,
        claim: stores.Claim,
        ledger: quarantine.CrashLedger,
        log: events.EventLog,
        clock: base.Clock,
    ) -> None:
        self._store = store
        self._claim = claim
        self._ledger = ledger
        self._log = log
        self._clock = clock
        self._era = claim.era
        self._stored: dict[str, bytes] = {}

    async def run(self) -> None:
        """Read and store refused requests until cancelled."""
        await self._load()
        backoff_ms = RETRY_DELAY_MS
        while True:
            if await self._store_changes():
                backoff_ms = RETRY_DELAY_MS
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(
                        _CHECK_INTERVAL_MS / base.MS_PER_S
                    ):
                        await self._ledger.wait_for_verdicts()
            else:
                await self._clock.sleep(backoff_ms)
                backoff_ms = min(MAX_RETRY_DELAY_MS, 2 * backoff_ms)

    async def _load(self) -> None:
        """Add the stored requests to the ledger; retry until it is read."""
        while True:
            rows = await self._store.read(quarantine.TABLE)
            if isinstance(rows, stores.Snapshot):
                break
            await self._clock.sleep(RETRY_DELAY_MS)
        self._era = rows.era
        for row in rows.rows:
            try:
                digest = quarantine.RequestDigest(bytes.fromhex(row.key))
                refusal = quarantine.decode_refusal(row.value)
            except (ValueError, base.CodecError) as error:
                self._log.write(
                    events.RowIgnored(
                        table=row.table, key=row.key, problem=str(error)
                    )
                )
                continue
            self._stored[row.key] = row.value
            self._ledger.merge(refusal.make_evidence(digest))

    async def _store_changes(self) -> bool:
        """Store what has changed; return False if that has to be retried."""
        await self._claim.wait_until_current(self._store)
        if self._claim.era != self._era:
            # The store came back from a copy, which may lack any row.
            self._stored = dict.fromkeys(self._stored, b"")
            self._era = self._claim.era
        wanted = self._encode_refusals()
        puts = [
            stores.RowPut(table=quarantine.TABLE, key=key, value=value)
            for key, value in wanted.items()
            if self._stored.get(key) != value
        ]
        for put in puts:
            result = await self._store.write(
                checks=[self._claim.check], puts=[put], era=self._era
            )
            if not isinstance(result, stores.Committed | stores.Rejected):
                return False
            self._stored[put.key] = put.value
        return True

    def _encode_refusals(self) -> dict[str, bytes]:
        """Return the rows of the refused and of the cleared requests."""
        cleared = quarantine.encode_refusal(quarantine.StoredRefusal())
        rows = dict.fromkeys(self._stored, cleared)
        for digest, verdict in self._ledger.get_refusals().items():
            if digest.hex() not in rows and len(rows) >= MAX_STORED_REFUSALS:
                continue
            crashes = sorted(verdict.crashes)[:MAX_STORED_CRASHES]
            rows[digest.hex()] = quarantine.encode_refusal(
                quarantine.StoredRefusal(
                    crashes=self._ledger.make_records(crashes),
                    trials=sorted(self._ledger.list_trials(digest)),
                )
            )
        return rows
