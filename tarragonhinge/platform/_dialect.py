"""Header fields of requests and responses."""

import math
import re

from tarragonhinge import base
from tarragonhinge import jobs

_ATTEMPT_HEADER = "tarragonhinge-request-attempt-id"
_DEADLINE_HEADER = "tarragonhinge-deadline-ms"
_KEY_HEADER = "tarragonhinge-shard-key"
# The platform has no field of its own that names the caller.
_CALLER_HEADER = "authorization"
_EXPECTED_SERVER_HEADER = "tarragonhinge-expect-instance"
# Proves that a backend server produced the body. It is not made with a key of
# this system, so that only its presence can be checked.
_SEAL_HEADER = "tarragonhinge-upstream-seal"
_LOAD_HEADER = "tarragonhinge-upstream-load"
# Id of the responding server; present in refusals and health checks only.
_SERVER_ID_HEADER = "tarragonhinge-instance-id"
# Its presence means that the server did not execute the request; the value is
# ignored.
_NOT_EXECUTED_HEADER = "tarragonhinge-not-executed"

# Requests per second that the server takes from all instances together.
_LIMIT_HEADER = "server-limit"

# In all responses of a server that leaves; "1" is the only value.
_LEAVING_HEADER = "server-leaving"

# Milliseconds for which a server stays cold; in health responses only.
_WARM_UP_HEADER = "tarragonhinge-warmup-ms"

# Seconds for which a server that turns a request away with 503 wants none.
_WAIT_HEADER = "retry-after"

#: Longest wait that is heeded.
MAX_WAIT_MS = 600_000

#: Form of a wait in seconds; dates and longer numbers are ignored.
_WAIT_PATTERN = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?")

#: Form of a limit; longer numbers are invalid.
_LIMIT_PATTERN = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?")

#: Duration of work that counts as usual.
USUAL_WORK_PERCENT = 100

#: Largest shard key.
_MAX_KEY = 65_535

#: Largest number of digits of a number; `int` raises if there are thousands.
_MAX_DIGITS = 20


def _parse_bounded_int(text: str | None, *, limit: int) -> int | None:
    if text is None or not text.isascii() or not text.isdigit():
        return None
    if len(text) > _MAX_DIGITS:
        return None
    value = int(text)
    return value if value <= limit else None


class PlatformDialect(jobs.Dialect):
    """Reads and writes the header fields that the platform defines."""

    def read_request(self, fields: jobs.Fields) -> jobs.RequestMetadata:
        """Parse the header fields of a caller's request."""
        return jobs.RequestMetadata(
            attempt=fields.get(_ATTEMPT_HEADER, ""),
            deadline_ms=_parse_bounded_int(
                fields.get(_DEADLINE_HEADER), limit=jobs.DEADLINE_LIMIT_MS
            ),
            key=_parse_bounded_int(fields.get(_KEY_HEADER), limit=_MAX_KEY),
            caller=fields.get(_CALLER_HEADER, ""),
        )

    def make_fields(
        self, *, deadline_ms: int, server: base.ServerId
    ) -> list[tuple[str, str]]:
        """Return the header fields to set on a forwarded request."""
        return [
            (_DEADLINE_HEADER, str(deadline_ms)),
            (_EXPECTED_SERVER_HEADER, server),
        ]

    def is_replaced(self, name: str) -> bool:
        """Return whether `make_fields` replaces the field `name`."""
        return name in (_DEADLINE_HEADER, _EXPECTED_SERVER_HEADER)

    def read_answer(self, fields: jobs.Fields) -> jobs.ResponseMetadata:
        """Parse the header fields of a server's response."""
        limit = _parse_limit(fields.get(_LIMIT_HEADER))
        return jobs.ResponseMetadata(
            attempt=fields.get(_ATTEMPT_HEADER, ""),
            sealed=bool(fields.get(_SEAL_HEADER)),
            not_run=_NOT_EXECUTED_HEADER in fields,
            load=_parse_load(fields.get(_LOAD_HEADER)),
            server=base.ServerId(fields[_SERVER_ID_HEADER])
            if _SERVER_ID_HEADER in fields
            else None,
            limit=limit,
            is_limit_invalid=limit is None and _LIMIT_HEADER in fields,
            wait_ms=_parse_wait_ms(fields.get(_WAIT_HEADER)),
            is_leaving=fields.get(_LEAVING_HEADER) == "1",
            warm_up_ms=_parse_bounded_int(
                fields.get(_WARM_UP_HEADER), limit=MAX_WAIT_MS
            ),
        )


def _parse_limit(text: str | None) -> float | None:
    """Parse a limit; return None if it is missing or malformed."""
    if text is None or _LIMIT_PATTERN.fullmatch(text.strip()) is None:
        return None
    return float(text)


def _parse_wait_ms(text: str | None) -> int | None:
    """Parse a wait; return None if it is missing or malformed."""
    if text is None or _WAIT_PATTERN.fullmatch(text.strip()) is None:
        return None
    return min(MAX_WAIT_MS, math.ceil(float(text) * base.MS_PER_S))


def _parse_load(text: str | None) -> jobs.ReportedLoad | None:
    """Parse a load in the form ``running,waiting,slots[,work]``.

    Returns None if it is missing or malformed.
    """
    parts = (text or "").split(",")
    numbers = [
        _parse_bounded_int(part.strip(), limit=100_000) for part in parts
    ]
    if len(numbers) not in (3, 4) or None in numbers:
        return None
    running, waiting, slots, *work = numbers
    return jobs.ReportedLoad(
        running=running,
        waiting=waiting,
        slots=slots,
        work_percent=work[0] if work else USUAL_WORK_PERCENT,
    )
