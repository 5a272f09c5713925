"""What a leader knows of its shard's servers as owners."""

from tarragonhinge import base
from tarragonhinge import configuration
from tarragonhinge import servers
from tarragonhinge.shards import _keeper
from tarragonhinge.shards import _moves
from tarragonhinge.shards import _ramp

#: Longest time for which the first owners are put off for servers that
#: have not answered yet; more than the default bound on a heartbeat.
FIRST_ANSWERS_MS = 300


class ServerPool:
    """Which servers may own partitions, and which certainly don't.

    Parameters
    ----------
    keepers : dict
        Keeper of each server; the caller adds to it.
    inherited_until : int
        When grants of earlier leaders have lapsed everywhere.
    clock : Clock
        This process's clock.
    """

    def __init__(
        self,
        *,
        keepers: dict[base.ServerId, _keeper.GrantKeeper],
        inherited_until: int,
        clock: base.Clock,
    ) -> None:
        self.keepers = keepers
        self.ramp = _ramp.ServerRamp(clock=clock)
        self._inherited_until = inherited_until
        self._clock = clock
        self._started_at = clock.now()
        self._weights: dict[base.ServerId, float] = {}
        self._deadline_ms = 0
        self._dialect: servers.GrantDialect = servers.LapsingDialect()
        self._lost: frozenset[base.ServerId] = frozenset()

    def set_inherited(self, until: int) -> None:
        """Set when earlier leaders and their grants have surely ended."""
        self._inherited_until = until

    def update_row(
        self, row: configuration.ServiceRow, region: base.RegionName
    ) -> None:
        """Take over a new version of the service's row."""
        self._deadline_ms = row.deadline_ms
        self._dialect = servers.DIALECTS.find(row.dialect)()
        self._lost = frozenset(row.lost)
        self._weights = {
            entry.server: entry.weight
            for entry in row.list_servers(region)
            if entry.weight > 0
        }

    def list_usable(self) -> dict[base.ServerId, float]:
        """Return the servers that may be given partitions, by weight."""
        return self.ramp.scale(
            {
                name: weight
                for name, weight in self._weights.items()
                if self.is_reachable(name)
                and not self.keepers[name].draining
                and name not in self._lost
            }
        )

    def awaits_first_answers(self) -> bool:
        """Return whether servers may be about to answer the first time."""
        if self._clock.now() - self._started_at >= FIRST_ANSWERS_MS:
            return False
        return any(
            keeper.state is _keeper.ServerState.UNSEEN
            for name, keeper in self.keepers.items()
            if name in self._weights and name not in self._lost
        )

    def is_reachable(self, server: base.ServerId) -> bool:
        """Return whether a server answers under this leader's term."""
        keeper = self.keepers.get(server)
        return (
            keeper is not None
            and keeper.state is _keeper.ServerState.REACHABLE
        )

    def may_withdraw(self) -> bool:
        """Return whether a server can be relieved of a partition now.

        Until grants of earlier leaders have lapsed, a partition that is
        held could not be given to another server.
        """
        return self._clock.now() >= self._inherited_until

    def _has_ended(self, server: base.ServerId) -> bool:
        """Return whether a server that left the row holds no grant."""
        return server in self._lost or self._dialect.may_reassign(
            now=self._clock.now(), lapsed_at=self._inherited_until
        )

    def has_lapsed(self, server: base.ServerId) -> bool:
        """Return whether a server is lost and its grants have lapsed."""
        keeper = self.keepers.get(server)
        if keeper is None:
            return self._has_ended(server)
        return not self.is_reachable(server) and keeper.has_lapsed()

    def has_released(self, move: _moves.Move) -> bool:
        """Return whether a partition certainly has no owner any more."""
        if move.stage is not _moves.MoveStage.REVOKING:
            return False
        keeper = self.keepers.get(move.source)
        if keeper is None:
            return self._has_ended(move.source)
        return keeper.has_released(move.partition)

    def has_ended_inherited(self, server: base.ServerId) -> bool:
        """Return whether requests of earlier leaders have ended there.

        They have once the server reports none running; a server that is
        never idle is given the row's deadline to finish them.
        """
        return (
            self.keepers[server].seen_idle
            or self._clock.now() - self._started_at >= self._deadline_ms
        )
