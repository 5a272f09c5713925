"""Dialects: how backend servers check grants."""

import abc

from tarragonhinge import base


class GrantDialect(abc.ABC):
    """Guarantees of a server's check of grants.

    The guarantees determine when a leader may send requests to a server, and
    when it may reassign the partitions of a server that it cannot reach.

    Attributes
    ----------
    checks_term : bool
        True if the server refuses terms lower than the highest one that
        it has accepted.
    lapses : bool
        True if grants expire by the server's own clock.
    """

    checks_term: bool
    lapses: bool

    @abc.abstractmethod
    def may_send(self, *, now: int, inherited_until: int) -> bool:
        """Return whether a leader may send to a server that accepted its term.

        Parameters
        ----------
        now : int
            Current time on the leader's clock, in milliseconds.
        inherited_until : int
            Time at which the authority of all previous leaders has ended,
            on the leader's clock in milliseconds.
        """

    @abc.abstractmethod
    def may_reassign(self, *, now: int, lapsed_at: int) -> bool:
        """Return whether partitions of an unreachable server may move.

        Parameters
        ----------
        now : int
            Current time on the leader's clock, in milliseconds.
        lapsed_at : int
            Time at which every grant given to the server has expired, on
            the leader's clock in milliseconds.
        """


#: Dialects by their name in the operators' table.
DIALECTS: base.Registry[GrantDialect] = base.Registry(kind="grant dialect")


@DIALECTS.register("lapsing")
class LapsingDialect(GrantDialect):
    """Grants expire by the server's clock and are fenced by term."""

    checks_term = True
    lapses = True

    def may_send(self, *, now: int, inherited_until: int) -> bool:
        """Return True: the accepted term fences previous leaders."""
        return True

    def may_reassign(self, *, now: int, lapsed_at: int) -> bool:
        """Return whether all grants have expired."""
        return now >= lapsed_at


@DIALECTS.register("until-token")
class UntilTokenDialect(GrantDialect):
    """Grants last until the server sees a higher term.

    An unreachable server keeps its partitions until it responds or an
    operator declares it lost, since it may be frozen and run a pending
    request when it resumes.
    """

    checks_term = True
    lapses = False

    def may_send(self, *, now: int, inherited_until: int) -> bool:
        """Return True: the accepted term fences previous leaders."""
        return True

    def may_reassign(self, *, now: int, lapsed_at: int) -> bool:
        """Return False: the grants of an unreachable server do not expire."""
        return False


@DIALECTS.register("unchecked")
class UncheckedDialect(GrantDialect):
    """The server checks nothing; only the leader checks its authority.

    This does not protect against a leader process that is paused between
    its check and its send.
    """

    checks_term = False
    lapses = False

    def may_send(self, *, now: int, inherited_until: int) -> bool:
        """Return whether previous leaders can no longer send."""
        return now >= inherited_until

    def may_reassign(self, *, now: int, lapsed_at: int) -> bool:
        """Return False: a frozen server may still run pending requests."""
        return False
