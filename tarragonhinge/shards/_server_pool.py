"""State of a shard's servers as owners of partitions."""

from tarragonhinge import base
from tarragonhinge import configuration
from tarragonhinge import servers
from tarragonhinge.shards import _keeper
from tarragonhinge.shards import _moves
from tarragonhinge.shards import _ramp

#: Longest delay of the first assignment, for servers that have not
#: replied yet; exceeds the default timeout of a heartbeat.
FIRST_REPLIES_TIMEOUT_MS = 300


class ServerPool:
    """Determines which servers may own partitions, or surely do not.

    Parameters
    ----------
    keepers : dict
        Grant keeper of each server; the caller adds to the mapping.
    inherited_until : int
        Instant by which all grants of previous leaders have lapsed.
    clock : Clock
        Clock of this process.
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

    def set_inherited_until(self, until: int) -> None:
        """Set when the authority and grants of previous leaders expire."""
        self._inherited_until = until

    def update_row(
        self, row: configuration.ServiceRow, region: base.RegionName
    ) -> None:
        """Apply a new version of the service's row."""
        self._deadline_ms = row.deadline_ms
        self._dialect = servers.DIALECTS.find(row.dialect)()
        self._lost = frozenset(row.lost)
        self._weights = {
            entry.server: entry.weight
            for entry in row.list_servers(region)
            if entry.weight > 0
        }

    def list_usable(self) -> dict[base.ServerId, float]:
        """Return the servers that may be assigned partitions.

        Returns
        -------
        dict
            Current weight of each usable server.
        """
        return self.ramp.scale(
            {
                name: weight
                for name, weight in self._weights.items()
                if self.is_reachable(name)
                and not self.keepers[name].draining
                and name not in self._lost
            }
        )

    def awaits_first_replies(self) -> bool:
        """Return whether to wait for the first replies of some servers."""
        if self._clock.now() - self._started_at >= FIRST_REPLIES_TIMEOUT_MS:
            return False
        return any(
            keeper.state is _keeper.ServerState.UNSEEN
            for name, keeper in self.keepers.items()
            if name in self._weights and name not in self._lost
        )

    def is_reachable(self, server: base.ServerId) -> bool:
        """Return whether a server replies and accepts this leader's term."""
        keeper = self.keepers.get(server)
        return (
            keeper is not None
            and keeper.state is _keeper.ServerState.REACHABLE
        )

    def may_withdraw(self) -> bool:
        """Return whether partitions may be withdrawn from servers now.

        Until the grants of previous leaders have lapsed, a withdrawn
        partition could not be assigned to another server.
        """
        return self._clock.now() >= self._inherited_until

    def _has_removed_server_lapsed(self, server: base.ServerId) -> bool:
        """Return whether a server removed from the row has no valid grant."""
        return server in self._lost or self._dialect.may_reassign(
            now=self._clock.now(), lapsed_at=self._inherited_until
        )

    def has_lapsed(self, server: base.ServerId) -> bool:
        """Return whether a server is unreachable with all grants lapsed."""
        keeper = self.keepers.get(server)
        if keeper is None:
            return self._has_removed_server_lapsed(server)
        return not self.is_reachable(server) and keeper.has_lapsed()

    def has_released(self, move: _moves.Move) -> bool:
        """Return whether a moving partition certainly has no owner now."""
        if move.stage is not _moves.MoveStage.REVOKING:
            return False
        keeper = self.keepers.get(move.source)
        if keeper is None:
            return self._has_removed_server_lapsed(move.source)
        return keeper.has_released(move.partition)

    def has_finished_inherited(self, server: base.ServerId) -> bool:
        """Return whether a server has finished previous leaders' requests.

        The result is True once the server has reported that no request is
        in flight.  For a server that is never idle it is True once the
        row's deadline has passed since the leadership began, by which time
        those requests have ended.
        """
        return (
            self.keepers[server].seen_idle
            or self._clock.now() - self._started_at >= self._deadline_ms
        )
