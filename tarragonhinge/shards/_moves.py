"""Partitions that are on their way from one server to another."""

from collections.abc import Callable
import dataclasses
import enum

from tarragonhinge import base

#: Partitions of one server that are held at once by moves.
HELD_PER_SERVER = 16


class MoveStage(enum.Enum):
    """How far a move has come before its record is written."""

    DRAINING = "draining"
    REVOKING = "revoking"


@dataclasses.dataclass(kw_only=True, slots=True)
class Move:
    """One partition that is to leave its server.

    Parameters
    ----------
    partition : PartitionId
        The partition.
    source : ServerId
        Its owner until the record says otherwise.
    target : ServerId or None
        The next owner; None leaves the choice to the planner.
    started_at : int
        When its requests began to be held.
    merges : bool
        True if the partition holds a hot key that goes back to its
        former partition.
    stage : MoveStage
        Requests in flight finish before the grant is withdrawn.
    """

    partition: base.PartitionId
    source: base.ServerId
    target: base.ServerId | None
    started_at: int
    merges: bool = False
    stage: MoveStage = MoveStage.DRAINING

    def is_optional(self) -> bool:
        """Return whether the partition could as well stay."""
        return self.merges or self.target is not None


class MoveBook:
    """The moves under way in a shard, a bounded number for each server.

    Parameters
    ----------
    limit : int
        Partitions of one server that may be held at once.

    Attributes
    ----------
    on_start : callable or None
        Called with each move that begins.
    """

    def __init__(self, *, limit: int = HELD_PER_SERVER) -> None:
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
        """Return whether a server may have another partition held."""
        return self._counts.get(source, 0) < self._limit

    def start(self, move: Move) -> None:
        """Hold the requests of a partition."""
        self._moves[move.partition] = move
        self._counts[move.source] = self._counts.get(move.source, 0) + 1
        if self.on_start is not None:
            self.on_start(move)

    def revoke(self, partition: base.PartitionId) -> None:
        """Begin to withdraw the grant of a held partition."""
        self._moves[partition].stage = MoveStage.REVOKING

    def end(self, partition: base.PartitionId) -> None:
        """Let the requests of a partition go on."""
        move = self._moves.pop(partition, None)
        if move is None:
            return
        self._counts[move.source] -= 1
        if not self._counts[move.source]:
            del self._counts[move.source]
