"""Timeline of one request, from the logs of many instances."""

import collections
from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import json
import statistics

#: Time before and after a request within which events of its servers and of
#: the fleet are included.
CONTEXT_WINDOW_MS = 5_000

#: Fields of every line: time, instance and type of the event.
_COMMON_FIELDS = ("at", "up", "instance", "event")

#: Fields of an event that hold the id of a server.
_SERVER_FIELDS = ("server", "source", "target")

#: Types of events that may affect any request.
_FLEET_EVENTS = frozenset(
    {
        "dependency",
        "evacuation",
        "leadership",
        "readiness",
        "started",
        "stopping",
        "stopped",
        "table_in_force",
        "lines_dropped",
    }
)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LogLine:
    """One logged event.

    Parameters
    ----------
    at_ms : int
        Wall-clock time, corrected for steps of the instance's clock.
    instance, event : str
        Id of the instance that logged it, and type of the event.
    fields : dict
        Remaining fields of the line.
    """

    at_ms: int
    instance: str
    event: str
    fields: dict


def parse_lines(texts: Iterable[str]) -> list[LogLine]:
    """Parse log lines into events, sorted by time.

    Text before a line's first brace is ignored, and lines that are not events
    are skipped.  Wall-clock times are computed from the monotonic times and
    the median offset of the instance, so that a step of its wall clock does
    not change the order.
    """
    parsed = [fields for text in texts if (fields := _parse_line(text))]
    offsets = collections.defaultdict(list)
    for fields in parsed:
        offsets[fields["instance"]].append(fields["at"] - fields["up"])
    median_offsets = {
        name: statistics.median(values) for name, values in offsets.items()
    }
    lines = [
        LogLine(
            at_ms=int(fields["up"] + median_offsets[fields["instance"]]),
            instance=fields["instance"],
            event=fields["event"],
            fields={
                k: v for k, v in fields.items() if k not in _COMMON_FIELDS
            },
        )
        for fields in parsed
    ]
    return sorted(lines, key=lambda line: line.at_ms)


def _parse_line(text: str) -> dict | None:
    start = text.find("{")
    if start < 0:
        return None
    try:
        fields = json.loads(text[start:])
    except ValueError:
        return None
    if isinstance(fields, dict) and all(
        name in fields for name in _COMMON_FIELDS
    ):
        return fields
    return None


def format_timeline(lines: list[LogLine], request: str) -> list[str]:
    """Return the timeline of a request, one line per event.

    Events of the fleet and of the servers that the request was sent to are
    included if they are close in time, and those of the request's digest at
    any time.
    """
    request_lines = [
        log_line
        for log_line in lines
        if log_line.fields.get("request") == request
    ]
    if not request_lines:
        return []
    begin_ms, end_ms = request_lines[0].at_ms, request_lines[-1].at_ms
    servers = {
        line.fields["server"]
        for line in request_lines
        if "server" in line.fields
    }
    digests = {
        line.fields["digest"]
        for line in request_lines
        if "digest" in line.fields
    }
    return [
        _format_line(line, begin_ms)
        for line in lines
        if line in request_lines
        or _concerns(line, digests)
        or (
            begin_ms - CONTEXT_WINDOW_MS
            <= line.at_ms
            <= end_ms + CONTEXT_WINDOW_MS
            and _is_context(line, servers)
        )
    ]


def _concerns(line: LogLine, digests: set[str]) -> bool:
    """Return whether a process event concerns a request with a digest."""
    named = {line.fields.get("digest"), *line.fields.get("requests", ())}
    return "request" not in line.fields and bool(named & digests)


def _is_context(line: LogLine, servers: set[str]) -> bool:
    if "request" in line.fields:
        return False
    if line.event in _FLEET_EVENTS:
        return True
    event_servers = {line.fields.get(name) for name in _SERVER_FIELDS}
    return bool(event_servers & servers)


def _format_line(line: LogLine, begin_ms: int) -> str:
    text = " ".join(_format_fields(line.fields))
    seconds = (line.at_ms - begin_ms) / 1_000
    return f"{seconds:+8.3f} s  {line.instance}  {line.event}  {text}"


def _format_fields(fields: dict) -> Iterator[str]:
    for name, value in fields.items():
        if name != "request" and value not in (None, ""):
            yield f"{name}={value}"
