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
    """

    def __init__(self, *, problem: str, remedy: str, sent: bool) -> None:
        super().__init__(problem=problem, remedy=remedy)
        self.sent = sent


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
