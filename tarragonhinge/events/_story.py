"""Tells what happened to one request from the logs of many instances."""

import collections
from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import json
import statistics

#: Events of servers and of the fleet that are told with a request if
#: they lie this close to it.
CONTEXT_MS = 5_000

#: Entries of a line that tell when and where, not what.
_FRAME = ("at", "up", "instance", "event")

#: Entries of an event that name a server.
_SERVER_ENTRIES = ("server", "source", "target")

#: Events that concern every request.
_FLEET_EVENTS = frozenset(
    {
        "dependency",
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
class Line:
    """One logged event.

    Parameters
    ----------
    at_ms : int
        Wall time, corrected for steps of the instance's clock.
    instance, event : str
        Where it was logged, and its type.
    entries : dict
        The rest of the line.
    """

    at_ms: int
    instance: str
    event: str
    entries: dict


def parse_lines(texts: Iterable[str]) -> list[Line]:
    """Return the events in logged lines, in order of time.

    Text before a line's first brace is passed over, and lines that are
    no events are left out.  Wall times are worked out from the monotonic
    ones, so that a clock that was stepped does not change the order.
    """
    found = [entries for text in texts if (entries := _parse_line(text))]
    offsets = collections.defaultdict(list)
    for entries in found:
        offsets[entries["instance"]].append(entries["at"] - entries["up"])
    offset = {name: statistics.median(all_) for name, all_ in offsets.items()}
    lines = [
        Line(
            at_ms=int(entries["up"] + offset[entries["instance"]]),
            instance=entries["instance"],
            event=entries["event"],
            entries={k: v for k, v in entries.items() if k not in _FRAME},
        )
        for entries in found
    ]
    return sorted(lines, key=lambda line: line.at_ms)


def _parse_line(text: str) -> dict | None:
    start = text.find("{")
    if start < 0:
        return None
    try:
        entries = json.loads(text[start:])
    except ValueError:
        return None
    if isinstance(entries, dict) and all(name in entries for name in _FRAME):
        return entries
    return None


def format_timeline(lines: list[Line], request: str) -> list[str]:
    """Return what happened to a request, one event a line.

    Events of the servers that it was sent to, and of the fleet, are told
    too where they are close in time.
    """
    own = [x for x in lines if x.entries.get("request") == request]
    if not own:
        return []
    begin, end = own[0].at_ms, own[-1].at_ms
    servers = {
        line.entries["server"] for line in own if "server" in line.entries
    }
    return [
        _format_line(line, begin)
        for line in lines
        if line in own
        or (
            begin - CONTEXT_MS <= line.at_ms <= end + CONTEXT_MS
            and _is_context(line, servers)
        )
    ]


def _is_context(line: Line, servers: set[str]) -> bool:
    if "request" in line.entries:
        return False
    if line.event in _FLEET_EVENTS:
        return True
    named = {line.entries.get(name) for name in _SERVER_ENTRIES}
    return bool(named & servers)


def _format_line(line: Line, begin: int) -> str:
    shown = " ".join(_format_entries(line.entries))
    seconds = (line.at_ms - begin) / 1_000
    return f"{seconds:+8.3f} s  {line.instance}  {line.event}  {shown}"


def _format_entries(entries: dict) -> Iterator[str]:
    for name, value in entries.items():
        if name != "request" and value not in (None, ""):
            yield f"{name}={value}"
