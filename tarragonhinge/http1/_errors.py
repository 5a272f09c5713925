"""Errors of an exchange with a backend server."""

from tarragonhinge import base


class ExchangeError(base.TarragonhingeError):
    """An exchange ended without a complete response.

    Parameters
    ----------
    problem, remedy : str
        As for `TarragonhingeError`.
    sent : bool
        Whether the server may have received the request.
    is_reset : bool
        Whether the connection was reset before any byte of a response.
    """

    def __init__(
        self,
        *,
        problem: str,
        remedy: str,
        sent: bool,
        is_reset: bool = False,
    ) -> None:
        super().__init__(problem=problem, remedy=remedy)
        self.sent = sent
        self.is_reset = is_reset


class ConnectionBudgetError(ExchangeError):
    """All connections that the process may open are in use."""

    def __init__(self) -> None:
        super().__init__(
            problem="all connections to servers are in use",
            remedy="send it again once others have been answered",
            sent=False,
        )


class UnreachableError(ExchangeError):
    """No connection could be opened, so that nothing was sent.

    Parameters
    ----------
    problem : str
        As for `TarragonhingeError`.
    is_refused : bool
        Whether the connection was refused; if not, there was no reaction.
    """

    def __init__(self, *, problem: str, is_refused: bool) -> None:
        super().__init__(
            problem=problem, remedy="send it to another server", sent=False
        )
        self.is_refused = is_refused
