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
