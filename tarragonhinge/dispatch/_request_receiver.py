"""Receives forwarded requests and drops duplicates."""

import asyncio
import collections
from collections.abc import Awaitable
from collections.abc import Callable

from tarragonhinge import base
from tarragonhinge.dispatch import _messages

#: Maximum number of finished requests whose duplicates are recognised.
FINISHED_REQUEST_LIMIT = 4096

RequestId = tuple[base.IncarnationId, int]


class RequestReceiver:
    """Runs each forwarded request once and drops duplicates.

    A running request is cancelled when its entry reports that the caller
    has disconnected.

    Parameters
    ----------
    dispatch : callable
        Runs a request and returns its outcome.
    """

    def __init__(
        self,
        *,
        dispatch: Callable[
            [_messages.ForwardRequest], Awaitable[base.Outcome]
        ],
    ) -> None:
        self.duplicate_count = 0
        self.cancelled_count = 0
        self._dispatch = dispatch
        self._running: dict[RequestId, asyncio.Task] = {}
        self._finished: collections.OrderedDict[RequestId, None] = (
            collections.OrderedDict()
        )

    async def handle_request(
        self, request: _messages.ForwardRequest
    ) -> _messages.ForwardReply:
        """Run a forwarded request and return the reply.

        The reply to a duplicate says that the outcome is unknown.
        """
        if not request.origin:
            return _messages.encode_outcome(await self._dispatch(request))
        request_id = (request.origin, request.sequence)
        if request_id in self._running or request_id in self._finished:
            self.duplicate_count += 1
            return _messages.ForwardUnknown(
                reason=base.UnknownReason.EARLIER_UNKNOWN
            )
        task = asyncio.create_task(self._dispatch(request))
        self._running[request_id] = task
        try:
            await asyncio.wait({task})
        except asyncio.CancelledError:
            task.cancel()
            raise
        finally:
            self._running.pop(request_id, None)
            self._mark_finished(request_id)
        if task.cancelled():
            return _messages.ForwardUnknown(
                reason=base.UnknownReason.ANSWER_LOST
            )
        return _messages.encode_outcome(task.result())

    def _mark_finished(self, request_id: RequestId) -> None:
        self._finished[request_id] = None
        if len(self._finished) > FINISHED_REQUEST_LIMIT:
            self._finished.popitem(last=False)

    async def handle_cancel(
        self, message: _messages.CancelRequest
    ) -> _messages.CancelReply:
        """Cancel a request whose caller has disconnected."""
        request_id = (message.origin, message.sequence)
        task = self._running.get(request_id)
        if task is None:
            # Marking it as finished drops a request that arrives after
            # its cancellation.
            self._mark_finished(request_id)
            return _messages.CancelReply(found=False)
        self.cancelled_count += 1
        task.cancel()
        return _messages.CancelReply(found=True)

    def dump(self) -> dict:
        """Return the current state, for operators."""
        return {
            "running": len(self._running),
            "duplicates": self.duplicate_count,
            "cancelled": self.cancelled_count,
        }
