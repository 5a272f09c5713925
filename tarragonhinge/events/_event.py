"""Base of all events."""

import msgspec


class Event(msgspec.Struct, frozen=True, kw_only=True, tag_field="event"):
    """One decision or change of belief, written as one line."""


class RequestEvent(Event, frozen=True, kw_only=True):
    """A step of one request.

    Parameters
    ----------
    request : str
        The id of the caller's attempt.
    """

    request: str
