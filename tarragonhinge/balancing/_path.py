"""Evidence of whether this instance reaches a server."""

from tarragonhinge import base


class Path:
    """Path from this instance to one incarnation of a server.

    It says nothing about the server, which other instances may reach.

    Parameters
    ----------
    clock : Clock
        This process's clock.

    Attributes
    ----------
    closed_at : int or None
        Time since which the server is out of reach; None if it is not.
    is_refused : bool
        Whether new connections are refused while it is out of reach; if
        not, there is no reaction to them.
    contact_at : int or None
        Time of the last response or opened connection.
    """

    def __init__(self, *, clock: base.Clock) -> None:
        self._clock = clock
        self.closed_at: int | None = None
        self.is_refused = False
        self.contact_at: int | None = None

    @property
    def is_closed(self) -> bool:
        """Whether the server is out of reach."""
        return self.closed_at is not None

    def get_closed_ms(self) -> int:
        """Return the time since the server is out of reach; 0 if it is not."""
        if self.closed_at is None:
            return 0
        # A path that has just been closed is not open.
        return max(1, self._clock.now() - self.closed_at)

    @property
    def is_untried(self) -> bool:
        """Whether nothing is known of the path."""
        return not self.is_closed and self.contact_at is None

    def had_contact_since(self, since: int) -> bool:
        """Return whether the server reacted at or after a time."""
        return self.contact_at is not None and self.contact_at >= since

    def record_connection(self) -> bool:
        """Record an opened connection; return whether it opens the path."""
        was_closed = self.is_closed
        self.closed_at = None
        self.is_refused = False
        self.contact_at = self._clock.now()
        return was_closed

    def record_response(self) -> bool:
        """Record a response; return whether it opens the path.

        An open connection may live on while new ones are refused.
        """
        if self.is_refused:
            self.contact_at = self._clock.now()
            return False
        return self.record_connection()

    def record_failure(self, *, is_refused: bool, began_at: int) -> bool:
        """Record a failed connection; return whether it closes the path.

        Parameters
        ----------
        is_refused : bool
            Whether it was refused; if not, there was no reaction.
        began_at : int
            Time at which it was tried. A lost packet closes no path to a
            server that has reacted since.
        """
        if not is_refused and self.had_contact_since(began_at):
            return False
        was_closed = self.is_closed
        if not was_closed:
            self.closed_at = self._clock.now()
        self.is_refused = is_refused
        return not was_closed
