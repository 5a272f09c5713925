"""Number of parser events between two turns of the event loop."""

import asyncio

import h11


class EventCounter:
    """Counts the events of all parsers, by turn of the event loop."""

    def __init__(self, monkeypatch):
        self.counts = [0]
        next_event = h11.Connection.next_event

        def count(parser):
            self.counts[-1] += 1
            return next_event(parser)

        monkeypatch.setattr(h11.Connection, "next_event", count)

    async def run(self):
        """Begin a new count in each turn until cancelled."""
        while True:
            await asyncio.sleep(0)
            self.counts.append(0)
