"""Encoded formats stay compatible with those of an earlier release.

Guards against renaming an encoded field, tag or enum value together with its
Python name.  During a rolling update, instances of two releases exchange
messages, and rows and objects in the store outlive the release that wrote
them.
"""

import asyncio
import pathlib

import msgspec
import pytest

from tarragonhinge import configuration
from tarragonhinge.coordination import _leadership
from tarragonhinge.dispatch import _saved_history
from tarragonhinge.dispatch import _table_policy
from tarragonhinge import events
from tarragonhinge.gateway import _responses
from tarragonhinge import membership
from tarragonhinge import operators
from tarragonhinge import peers
from tarragonhinge.propagation import _list_delta
from tarragonhinge import ranges
from tarragonhinge import relay
from tarragonhinge.routing import _problem
from tarragonhinge import servers
from tarragonhinge import shards
from tarragonhinge import stores

RECORDED = msgspec.json.decode(
    pathlib.Path(__file__).with_name("recorded_formats.json").read_bytes()
)

JSON_TYPES = {
    "configuration.ServiceRow": configuration.ServiceRow,
    "configuration.TableHead": configuration.TableHead,
    "coordination.Leadership": _leadership.Leadership,
    "gateway.Report": _responses.ErrorBody,
    "membership.InstanceEntry": membership.InstanceEntry,
    "operators.EditAnswer": operators.EditResponse,
    "operators.HistoryDocument": operators.HistoryDocument,
    "operators.InForceDocument": operators.InForceDocument,
    "operators.TableBody": operators.TableBody,
    "operators.TableDocument": operators.TableDocument,
    "ranges.RangeRecord": ranges.RangeRecord,
    "routing.Problem": _problem.Problem,
    "servers.GrantReply": servers.GrantReply,
    "servers.GrantRequest": servers.GrantRequest,
    "shards.ShardRecord": shards.ShardRecord,
    "stores.ReadRequest": stores.ReadRequest,
    "stores.Row": stores.Row,
    "stores.Transaction": stores.Transaction,
}

MSGPACK_TYPES = {
    "configuration.TableDelta": configuration.TableDelta,
    "dispatch.SavedHistory": _saved_history.SavedHistory,
    "dispatch.Segment": _table_policy.Segment,
    "propagation.ListDelta": _list_delta.ListDelta,
}

RELAY_TYPES = {
    "beat": relay.Heartbeat,
    "deposed": relay.Deposed,
    "hello": relay.Hello,
    "loads": relay.Loads,
    "report": relay.Report,
    "update": relay.Update,
}

EVENT_TYPES = {
    entry.__struct_config__.tag: entry
    for entry in vars(events).values()
    if isinstance(entry, type) and issubclass(entry, events.Event)
}


def test_all_recorded_types_are_compared():
    assert set(RECORDED["json"]) == set(JSON_TYPES)
    assert set(RECORDED["msgpack"]) == set(MSGPACK_TYPES)
    assert set(RECORDED["relay_messages"]) == set(RELAY_TYPES)
    assert set(RECORDED["events"]) <= set(EVENT_TYPES)


@pytest.mark.parametrize("name", sorted(JSON_TYPES))
def test_json_round_trip(name):
    text = RECORDED["json"][name].encode()
    value = msgspec.json.decode(text, type=JSON_TYPES[name])
    assert msgspec.json.encode(value) == text


@pytest.mark.parametrize("name", sorted(MSGPACK_TYPES))
def test_msgpack_round_trip(name):
    content = bytes.fromhex(RECORDED["msgpack"][name])
    value = msgspec.msgpack.decode(content, type=MSGPACK_TYPES[name])
    assert msgspec.msgpack.encode(value) == content


@pytest.mark.parametrize("tag", sorted(RECORDED["events"]))
def test_event_round_trip(tag):
    text = RECORDED["events"][tag].encode()
    value = msgspec.json.decode(text, type=EVENT_TYPES[tag])
    assert msgspec.json.encode(value) == text


@pytest.mark.parametrize("kind", sorted(RECORDED["peer_messages"]))
def test_peer_message_round_trip(kind):
    body = bytes.fromhex(RECORDED["peer_messages"][kind])
    message = peers.decode_message(kind, body)
    assert peers.get_kind(message) == kind
    assert peers.encode_message(message) == body


async def _read_frame(frame):
    reader = asyncio.StreamReader()
    reader.feed_data(frame)
    return await relay.read_message(reader)


@pytest.mark.parametrize("tag", sorted(RELAY_TYPES))
def test_relay_frame_round_trip(tag):
    body = bytes.fromhex(RECORDED["relay_messages"][tag])
    frame = bytes.fromhex(RECORDED["relay_frames"][tag])
    message = asyncio.run(_read_frame(frame))
    assert isinstance(message, RELAY_TYPES[tag])
    assert msgspec.msgpack.encode(message) == body
    assert asyncio.run(_read_frame(relay.encode_frame(message))) == message
