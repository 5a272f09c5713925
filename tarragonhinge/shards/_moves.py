"""Partition moves under way between servers."""

from collections.abc import Callable
import dataclasses
import enum

from tarragonhinge import base

#: Maximum number of one server's partitions whose requests are held for
#: moves at the same time.
MAX_HELD_PER_SERVER = 16


class MoveStage(enum.Enum):
    """Stage of a move before the new owner is recorded."""

    DRAINING = "draining"
    REVOKING = "revoking"


@dataclasses.dataclass(kw_only=True, slots=True)
class Move:
    """Move of one partition away from its server.

    Parameters
    ----------
    partition : PartitionId
        The partition.
    source : ServerId
        Owner until the record names another one.
    target : ServerId or None
        Next owner; None leaves the choice to the planner.
    started_at : int
        Instant from which the partition's requests wait at the leader.
    merges : bool
        True if a split partition is merged back, so that its key returns
        to the original partition.
    stage : MoveStage
        `DRAINING` until the requests in flight have finished, then
        `REVOKING` while the grant is withdrawn.
    """

    partition: base.PartitionId
    source: base.ServerId
    target: base.ServerId | None
    started_at: int
    merges: bool = False
    stage: MoveStage = MoveStage.DRAINING

    def is_optional(self) -> bool:
        """Return whether the partition may stay on its server."""
        return self.merges or self.target is not None


class MoveTracker:
    """Tracks the moves under way in a shard, bounded for each server.

    Parameters
    ----------
    limit : int
        Maximum number of concurrent moves away from one server.

    Attributes
    ----------
    on_start : callable or None
        Called with each move that starts.
    """

    def __init__(self, *, limit: int = MAX_HELD_PER_SERVER) -> None:
        self.on_start: Callable[[Move], None] | None = None
        self._limit = limit
        self._moves: dict[base.PartitionId, Move] = {}
        self._counts: dict[base.ServerId, int] = {}

    def __contains__(self, partition: base.PartitionId) -> bool:
        return partition in self._moves

    def __len__(self) -> int:
        return len(self._moves)

    def list_moves(self) -> list[Move]:
        """Return the moves under way."""
        return list(self._moves.values())

    def is_revoked(self, partition: base.PartitionId) -> bool:
        """Return whether a partition's grant is being withdrawn."""
        move = self._moves.get(partition)
        return move is not None and move.stage is MoveStage.REVOKING

    def has_room(self, source: base.ServerId) -> bool:
        """Return whether another move from a server may start."""
        return self._counts.get(source, 0) < self._limit

    def start(self, move: Move) -> None:
        """Start a move; the partition's requests are held from now on."""
        self._moves[move.partition] = move
        self._counts[move.source] = self._counts.get(move.source, 0) + 1
        if self.on_start is not None:
            self.on_start(move)

    def revoke(self, partition: base.PartitionId) -> None:
        """Start withdrawing the grant of a held partition."""
        self._moves[partition].stage = MoveStage.REVOKING

    def end(self, partition: base.PartitionId) -> None:
        """End the move of a partition; its requests are released."""
        move = self._moves.pop(partition, None)
        if move is None:
            return
        self._counts[move.source] -= 1
        if not self._counts[move.source]:
            del self._counts[move.source]
