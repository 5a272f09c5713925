"""How a backend server takes grants."""

import abc

from tarragonhinge import base


class GrantDialect(abc.ABC):
    """What a leader may assume of a server's check of grants.

    Attributes
    ----------
    checks_term : bool
        True if the server refuses a lower term than it has accepted.
    lapses : bool
        True if a grant lapses on the server's own clock.
    """

    checks_term: bool
    lapses: bool

    @abc.abstractmethod
    def may_send(self, *, now: int, inherited_until: int) -> bool:
        """Return whether a leader may use a server that accepted its term.

        Parameters
        ----------
        now : int
            The leader's time.
        inherited_until : int
            When earlier leaders have surely ended.
        """

    @abc.abstractmethod
    def may_reassign(self, *, now: int, lapsed_at: int) -> bool:
        """Return whether partitions may leave a server out of reach.

        Parameters
        ----------
        now : int
            The leader's time.
        lapsed_at : int
            When every grant given to the server has run out.
        """


#: Dialects by the name that a row of the operators' table gives.
DIALECTS: base.Registry[GrantDialect] = base.Registry(kind="grant dialect")


@DIALECTS.register("lapsing")
class LapsingDialect(GrantDialect):
    """Grants lapse on the server's clock and are fenced by term."""

    checks_term = True
    lapses = True

    def may_send(self, *, now: int, inherited_until: int) -> bool:
        """Return True: the accepted term fences earlier leaders."""
        return True

    def may_reassign(self, *, now: int, lapsed_at: int) -> bool:
        """Return whether the grants have lapsed."""
        return now >= lapsed_at


@DIALECTS.register("until-token")
class UntilTokenDialect(GrantDialect):
    """Grants last until the server sees a higher term.

    A server out of reach keeps its partitions until it answers or an
    operator declares it lost: it may be frozen with a request that it
    runs on waking.
    """

    checks_term = True
    lapses = False

    def may_send(self, *, now: int, inherited_until: int) -> bool:
        """Return True: the accepted term fences earlier leaders."""
        return True

    def may_reassign(self, *, now: int, lapsed_at: int) -> bool:
        """Return False: nothing ends the grant from afar."""
        return False


@DIALECTS.register("unchecked")
class UncheckedDialect(GrantDialect):
    """The server checks nothing; only the leader's authority protects.

    A process paused between its check and its send is not covered.
    """

    checks_term = False
    lapses = False

    def may_send(self, *, now: int, inherited_until: int) -> bool:
        """Return whether earlier leaders can no longer send."""
        return now >= inherited_until

    def may_reassign(self, *, now: int, lapsed_at: int) -> bool:
        """Return False: a frozen server may still run what it took."""
        return False
