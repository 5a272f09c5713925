"""Idempotency of requests."""

import enum


class RequestKind(enum.Enum):
    """Whether a request may run more than once (RFC 9110, 9.2.2)."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
