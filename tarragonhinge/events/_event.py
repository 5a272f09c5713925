"""Base classes of all events."""

import msgspec


class Event(msgspec.Struct, frozen=True, kw_only=True, tag_field="event"):
    """A decision or a change of state, logged as one line."""


class RequestEvent(Event, frozen=True, kw_only=True):
    """A step of one request.

    Parameters
    ----------
    request : str
        Id of the caller's attempt.
    """

    request: str
