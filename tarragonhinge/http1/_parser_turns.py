"""Turns in which the parsers of connections share the event loop."""

import asyncio

#: Number of events of a parser after which it gives way. Each chunk of a body
#: is an event, however small it is.
EVENTS_PER_TURN = 32


class ParserTurns:
    """Lets other tasks run while messages of many parts are parsed.

    One parser goes on in each turn of the event loop, so that the time between
    two turns does not grow with the number of connections that receive such
    messages.
    """

    def __init__(self) -> None:
        self._waiting = 0

    async def give_way(self, event_count: int) -> None:
        """Wait for the next turn once a parser has had its events.

        Parameters
        ----------
        event_count : int
            Number of events of the message so far.
        """
        if event_count % EVENTS_PER_TURN:
            return
        self._waiting += 1
        try:
            for _ in range(self._waiting):
                await asyncio.sleep(0)
        finally:
            self._waiting -= 1


#: Turns of this process, which all connections share.
PARSER_TURNS = ParserTurns()
