"""Limits of the event log, traces and timelines of requests."""

import json
import os

import pytest

from tarragonhinge import base
from tarragonhinge import events
from tarragonhinge.events import _log
from tarragonhinge import testing


def _run(check):
    async def run():
        reader, writer = os.pipe()
        os.set_blocking(reader, False)
        clock = testing.ManualClock()
        log = events.EventLog(
            instance=base.InstanceId("e1"), clock=clock, descriptor=writer
        )
        try:
            await check(log, clock, reader)
        finally:
            os.close(reader)
            os.close(writer)

    testing.run_manual(run())


def _read(reader):
    try:
        content = os.read(reader, 1 << 20)
    except BlockingIOError:
        return []
    return [json.loads(line) for line in content.splitlines()]


def _make_event(number=0):
    return events.Reloaded(outcome=f"unchanged {number}")


def test_each_event_is_logged_as_one_line():
    async def check(log, clock, reader):
        log.write(_make_event(1))
        log.write(_make_event(2))
        await clock.sleep(_log.FLUSH_INTERVAL_MS)
        lines = _read(reader)
        assert [line["event"] for line in lines] == ["reloaded"] * 2
        assert {line["instance"] for line in lines} == {"e1"}
        assert all("at" in line and "up" in line for line in lines)

    _run(check)


def test_rate_is_limited_and_dropped_lines_are_counted():
    async def check(log, clock, reader):
        for number in range(_log.MAX_BURST_LINES + 500):
            log.write(_make_event(number))
            log.flush()
            _read(reader)
        assert log.dropped == 500
        await clock.sleep(1_000)
        log.write(_make_event())
        log.flush()
        first, second = _read(reader)
        assert (first["event"], first["count"]) == ("lines_dropped", 500)
        assert second["event"] == "reloaded"

    _run(check)


def test_buffer_is_bounded_without_reader():
    async def check(log, clock, reader):
        for _ in range(20):
            for _ in range(300):
                log.write(events.TaskFailed(task="t", problem="x" * 400))
            await clock.sleep(1_000)
        assert log.dropped > 0
        assert len(log._buffer) < 2 * _log.BUFFER_LIMIT_BYTES

    _run(check)


def test_closed_reader_is_no_error():
    async def run():
        reader, writer = os.pipe()
        log = events.EventLog(
            instance=base.InstanceId("e1"),
            clock=testing.ManualClock(),
            descriptor=writer,
        )
        os.close(reader)
        log.write(_make_event())
        log.flush()
        assert log.dropped == 1
        os.close(writer)

    testing.run_manual(run())


@pytest.mark.parametrize("is_ordinary", [True, False])
def test_trace_is_logged_unless_end_is_ordinary(is_ordinary):
    async def check(log, clock, reader):
        trace = events.Trace(log=log, clock=clock)
        trace.add(
            events.Ended(
                request="a1",
                outcome="refused",
                status=503,
                reason="overload",
                elapsed_ms=3,
            )
        )
        trace.finish(is_ordinary=is_ordinary)
        log.flush()
        assert bool(_read(reader)) is not is_ordinary

    _run(check)


def test_trace_keeps_times_of_events():
    async def check(log, clock, reader):
        trace = events.Trace(log=log, clock=clock)
        for number in range(3):
            trace.add(
                events.Held(
                    request="a1", key=number, reason="moving", unserved_ms=0
                )
            )
            await clock.sleep(100)
        trace.finish(is_ordinary=False)
        log.flush()
        ups = [line["up"] for line in _read(reader)]
        assert [up - ups[0] for up in ups] == [0, 100, 200]

    _run(check)


def _make_line(instance, up, offset, event, **fields):
    return json.dumps(
        {
            "at": up + offset,
            "up": up,
            "instance": instance,
            "event": event,
            **fields,
        }
    )


def test_timeline_is_sorted_despite_clock_offsets_and_steps():
    texts = [
        _make_line("e1", 1_000, 50_000, "started"),
        _make_line("e1", 2_000, 50_000, "received", request="a1", key=7),
        # The wall clock was stepped back here.
        _make_line("e1", 2_010, 41_000, "placed", request="a1", server="s1"),
        "12.5 e1 " + _make_line("e1", 2_200, 50_000, "ended", request="a1"),
        _make_line(
            "e2", 800, 51_300, "segment_moved", source="s1", target="s2"
        ),
        _make_line(
            "e2", 810, 51_300, "segment_moved", source="s8", target="s9"
        ),
        _make_line("e1", 2_020, 50_000, "received", request="a2"),
        "Traceback (most recent call last):",
        "{broken",
    ]
    timeline = events.format_timeline(events.parse_lines(texts), "a1")
    event_names = [text.split()[3] for text in timeline]
    assert event_names == [
        "started",
        "received",
        "placed",
        "segment_moved",
        "ended",
    ]
    assert events.format_timeline(events.parse_lines(texts), "none") == []


def test_event_names_are_unique():
    found = [
        value
        for value in vars(events).values()
        if isinstance(value, type) and issubclass(value, events.Event)
    ]
    tags = [t.__struct_config__.tag for t in found]
    assert len(set(tags)) == len(tags)


def test_timeline_includes_events_of_the_digest():
    texts = [
        json.dumps({"at": at, "up": at, "instance": "e1", **fields})
        for at, fields in (
            (1, {"event": "server_crashed", "requests": ["d1"]}),
            (2, {"event": "server_crashed", "requests": ["d2"]}),
            (3, {"event": "request_quarantined", "digest": "d1"}),
            (90_000, {"event": "quarantined", "request": "r", "digest": "d1"}),
            (90_001, {"event": "quarantined", "request": "s", "digest": "d1"}),
        )
    ]
    timeline = events.format_timeline(events.parse_lines(texts), "r")
    assert [line.split()[3] for line in timeline] == [
        "server_crashed",
        "request_quarantined",
        "quarantined",
    ]
