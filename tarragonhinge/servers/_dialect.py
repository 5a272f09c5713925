"""How a backend server takes grants."""

import abc

from tarragonhinge import base


class GrantDialect(abc.ABC):
    """What a leader may assume of a server's check of grants."""

    #: True if the server refuses a lower term than it has accepted.
    checks_term: bool

    #: True if a grant lapses on the server's own clock.
    lapses: bool

    @abc.abstractmethod
    def get_takeover_wait_ms(
        self, *, reachable: bool, authority_ms: int, grant_ms: int
    ) -> int:
        """Return how long a new leader waits before it uses a server.

        Parameters
        ----------
        reachable : bool
            True if the server accepted the new leader's term.
        authority_ms : int
            Longest time for which the old leader may still act.
        grant_ms : int
            Longest time for which a grant may outlast that authority.
        """


#: Dialects by the name that a row of the operators' table gives.
DIALECTS: base.Registry[GrantDialect] = base.Registry(kind="grant dialect")


@DIALECTS.register("lapsing")
class LapsingDialect(GrantDialect):
    """Grants lapse on the server's clock and are fenced by term."""

    checks_term = True
    lapses = True

    def get_takeover_wait_ms(
        self, *, reachable: bool, authority_ms: int, grant_ms: int
    ) -> int:
        """Wait only for a server out of reach."""
        return 0 if reachable else authority_ms + grant_ms


@DIALECTS.register("until-token")
class UntilTokenDialect(GrantDialect):
    """Grants last until the server sees a higher term."""

    checks_term = True
    lapses = False

    def get_takeover_wait_ms(
        self, *, reachable: bool, authority_ms: int, grant_ms: int
    ) -> int:
        """Wait out the old leader, whose requests a server still takes."""
        return 0 if reachable else authority_ms


@DIALECTS.register("unchecked")
class UncheckedDialect(GrantDialect):
    """The server checks nothing; only the leader's authority protects.

    A process paused between its check and its send is not covered.
    """

    checks_term = False
    lapses = False

    def get_takeover_wait_ms(
        self, *, reachable: bool, authority_ms: int, grant_ms: int
    ) -> int:
        """Wait out the old leader's authority in every case."""
        return authority_ms
