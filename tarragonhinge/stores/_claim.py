"""Claim on which an instance's other writes depend."""

import asyncio

from tarragonhinge import base
from tarragonhinge.stores import _row_store


class Claim:
    """Condition that holds only while this instance's claim is stored.

    It holds in one era of the store. When the store has come back from an
    older copy, the claim has to be written again, and a new condition with
    another version replaces the former one.

    Parameters
    ----------
    term : Term
        Term of the claim.
    check : RowCheck
        Row and version of the claim.
    era : int
        Era in which the version was given out.
    """

    def __init__(
        self, *, term: base.Term, check: _row_store.RowCheck, era: int
    ) -> None:
        self.term = term
        self.check = check
        self.era = era
        self._renewed = asyncio.Event()

    def renew(
        self, *, term: base.Term, check: _row_store.RowCheck, era: int
    ) -> None:
        """Replace the condition by the one of a later era."""
        self.term, self.check, self.era = term, check, era
        self._renewed.set()
        self._renewed = asyncio.Event()

    def is_current(self, store: _row_store.RowStore) -> bool:
        """Return whether no response has shown a later era of the store."""
        return self.era >= store.era

    async def wait_until_current(self, store: _row_store.RowStore) -> None:
        """Wait until the claim is written again, if that is needed."""
        while not self.is_current(store):
            await self._renewed.wait()
