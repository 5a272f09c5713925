"""Messages between entries, leaders and standbys of a shard."""

import msgspec

from tarragonhinge import base
from tarragonhinge.dispatch import _saved_history
from tarragonhinge import peers


@peers.register_message("dispatch.request")
class ForwardRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Request that an entry forwards to the leader.

    Parameters
    ----------
    shard : ShardId
        The shard.
    partition : PartitionId
        Partition of the key.
    key_hash : int
        64-bit hash of the key.
    method, path, headers, body
        The HTTP request.
    time_left_ms : int
        Time left until the caller's deadline, in milliseconds.
    idempotency_key : str
        Idempotency key given by the caller; may be empty.
    origin : IncarnationId
        Incarnation of the entry.
    sequence : int
        Sequence number, unique among the requests of the origin.
    """

    shard: base.ShardId
    partition: base.PartitionId
    key_hash: int
    method: str
    path: str
    headers: list[tuple[str, str]] = []
    body: bytes = b""
    time_left_ms: int = 0
    idempotency_key: str = ""
    origin: base.IncarnationId = base.IncarnationId("")
    sequence: int = 0


@peers.register_message("dispatch.cancel")
class CancelRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Cancellation of a request whose caller has disconnected."""

    origin: base.IncarnationId
    sequence: int


@peers.register_message("dispatch.cancelled")
class CancelReply(msgspec.Struct, frozen=True, kw_only=True):
    """Reply to `CancelRequest`: whether the request was still running."""

    found: bool


@peers.register_message("dispatch.history")
class HistoryBatch(msgspec.Struct, frozen=True, kw_only=True):
    """Changes of a leader's history, for its standby's copy.

    Parameters
    ----------
    shard : ShardId
        The shard.
    term : Term
        The leader's term.
    sequence : int
        Sequence number of the batch within the term.
    full : bool
        True if the entries replace the copy.
    horizon : int
        Wall-clock time in milliseconds.  Keys created before it may have
        run without being recorded.
    entries : list of SavedEntry
        Records of the changed keys.
    """

    shard: base.ShardId
    term: base.Term
    sequence: int
    full: bool = False
    horizon: int = 0
    entries: list[_saved_history.SavedEntry] = []


@peers.register_message("dispatch.history_ack")
class HistoryBatchAck(msgspec.Struct, frozen=True, kw_only=True):
    """Reply to `HistoryBatch` and `HistoryFollowUp`.

    Parameters
    ----------
    accepted : bool
        True if the entries were applied.  A copy that accepts a batch
        contains all earlier batches, too.
    """

    accepted: bool


@peers.register_message("dispatch.follow_up")
class HistoryFollowUp(msgspec.Struct, frozen=True, kw_only=True):
    """Outcomes of requests that were in flight during a handover."""

    shard: base.ShardId
    entries: list[_saved_history.SavedEntry] = []


@peers.register_message("dispatch.answered")
class ForwardAnswered(msgspec.Struct, frozen=True, kw_only=True):
    """Complete answer of the server."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    replayed: bool = False


@peers.register_message("dispatch.not_run")
class ForwardNotRun(msgspec.Struct, frozen=True, kw_only=True):
    """Refusal of a request that did not run."""

    reason: base.NotRunReason
    retry_after_ms: int | None = None
    hint: str = ""


@peers.register_message("dispatch.unknown")
class ForwardUnknown(msgspec.Struct, frozen=True, kw_only=True):
    """Reply for a request that may or may not have run."""

    reason: base.UnknownReason


ForwardReply = ForwardAnswered | ForwardNotRun | ForwardUnknown


def encode_outcome(outcome: base.Outcome) -> ForwardReply:
    """Convert an outcome to a message."""
    if isinstance(outcome, base.Answered):
        return ForwardAnswered(
            status=outcome.status,
            headers=outcome.headers,
            body=outcome.body,
            replayed=outcome.replayed,
        )
    if isinstance(outcome, base.NotRun):
        return ForwardNotRun(
            reason=outcome.reason,
            retry_after_ms=outcome.retry_after_ms,
            hint=outcome.hint,
        )
    return ForwardUnknown(reason=outcome.reason)


def decode_outcome(reply: ForwardReply) -> base.Outcome:
    """Convert a message to an outcome."""
    if isinstance(reply, ForwardAnswered):
        return base.Answered(
            status=reply.status,
            headers=reply.headers,
            body=reply.body,
            replayed=reply.replayed,
        )
    if isinstance(reply, ForwardNotRun):
        return base.NotRun(
            reason=reply.reason,
            retry_after_ms=reply.retry_after_ms,
            hint=reply.hint,
        )
    return base.Unknown(reason=reply.reason)
