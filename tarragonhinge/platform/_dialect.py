"""Header fields of requests and answers."""

from tarragonhinge import base
from tarragonhinge import gateway

_ATTEMPT = "tarragonhinge-request-attempt-id"
_DEADLINE = "tarragonhinge-deadline-ms"
_KEY = "tarragonhinge-shard-key"
_EXPECT = "tarragonhinge-expect-instance"
# Proves that the body is a server's own; bears no key of ours.
_SEAL = "tarragonhinge-upstream-seal"
_LOAD = "tarragonhinge-upstream-load"
# In refusals and health checks only: the server that answers.
_SERVER = "tarragonhinge-instance-id"
# Present if the server did not run the request, whatever its value.
_NOT_RUN = "tarragonhinge-not-executed"

#: Largest key.
_KEY_MAX = 65_535


def _parse_whole(text: str | None, *, limit: int) -> int | None:
    if text is None or not text.isascii() or not text.isdigit():
        return None
    value = int(text)
    return value if value <= limit else None


class PlatformDialect(gateway.Dialect):
    """Reads and writes the header fields that the platform defines."""

    def read_request(self, fields: gateway.Fields) -> gateway.RequestMetadata:
        """Return what the header of a caller's request says."""
        return gateway.RequestMetadata(
            attempt=fields.get(_ATTEMPT, ""),
            deadline_ms=_parse_whole(
                fields.get(_DEADLINE), limit=gateway.DEADLINE_LIMIT_MS
            ),
            key=_parse_whole(fields.get(_KEY), limit=_KEY_MAX),
        )

    def make_fields(
        self, *, deadline_ms: int, server: base.ServerId
    ) -> list[tuple[str, str]]:
        """Return the fields that a forwarded request gets."""
        return [(_DEADLINE, str(deadline_ms)), (_EXPECT, server)]

    def is_replaced(self, name: str) -> bool:
        """Return whether `make_fields` replaces a field."""
        return name in (_DEADLINE, _EXPECT)

    def read_answer(self, fields: gateway.Fields) -> gateway.AnswerMetadata:
        """Return what the header of a server's answer says."""
        return gateway.AnswerMetadata(
            attempt=fields.get(_ATTEMPT, ""),
            sealed=bool(fields.get(_SEAL)),
            not_run=_NOT_RUN in fields,
            load=_parse_load(fields.get(_LOAD)),
            server=base.ServerId(fields[_SERVER])
            if _SERVER in fields
            else None,
        )


def _parse_load(text: str | None) -> gateway.ReportedLoad | None:
    """Return running, waiting and slots, which commas separate."""
    parts = (text or "").split(",")
    numbers = [_parse_whole(part.strip(), limit=100_000) for part in parts]
    if len(numbers) != 3 or None in numbers:
        return None
    running, waiting, slots = numbers
    return gateway.ReportedLoad(running=running, waiting=waiting, slots=slots)
