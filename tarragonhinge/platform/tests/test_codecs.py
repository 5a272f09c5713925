"""Decoding of the platform's formats; invalid values are rejected."""

import dataclasses

import pytest

from tarragonhinge import base
from tarragonhinge import catalog
from tarragonhinge import jobs
from tarragonhinge import platform
from tarragonhinge.platform import _dialect
from tarragonhinge.platform import _server_codec
from tarragonhinge.platform import _table_codec
from tarragonhinge import relay

NODE = """
node=edge-a-1
ip=10.1.0.34
zone=centro-a
region=centro
zones.centro-a=centro
zones.sur-a=sur
listen.front=10.1.0.34:8548
listen.ready=10.1.0.34:8542
internalPorts=7540,7555
bounds.drain=2500
bounds.evacuate=4000
bounds.grace=6
limits.memoryMb=160
bounds.retryRatio=0.2
bounds.retrySlack=64
platform.address=10.200.1.7:8541
platform.rowBytes=32768
something.new=later
"""

CONFIG = b"""{"version": 7, "extra": 1, "routes": [
  {"name": "r1", "host": "A.example", "prefix": "/x/", "kind": "safe",
   "timeout": 2500, "goalLatency": 800, "priority": 2, "maxAttempts": 2,
   "backends": [{"service": "s1", "weight": 90},
                {"service": "s2", "weight": 10}]},
  {"name": "r2", "host": "a.example", "prefix": "/x/y/", "kind": "unsafe",
   "timeout": 2500, "maxAttempts": 2, "service": "s3",
   "allowedRegions": ["sur", "austral"]},
  {"name": "r3", "host": "a.example", "prefix": "/z/", "kind": "later",
   "timeout": 2500, "service": "s3"}],
 "services": [{"name": "s1", "maxConns": 130, "sharded": true, "warm": 2.0},
              {"name": "s2", "warmup": 3.0, "coldPerS": 4.6,
               "healthPath": "/healthz"}, {"name": "s3"}],
 "limits": {"maxHeaderBytes": 16384, "idleTimeout": 15000}}"""

SERVER = (
    b'{"service":"s1","address":"10.128.0.9:8080","zone":"centro-a",'
    b'"version":"v1","slots":2,"state":"ready","warmupLeft":1500,'
    b'"seq":4,"born":1772215932454}'
)


#: Lists that are nested too deep to be decoded.
DEEP = b"[" * 2_000 + b"]" * 2_000


def test_parse_settings():
    options = platform.parse_node_file(NODE)
    assert options.instance == "edge-a-1"
    assert options.peers == "10.1.0.34:7540"
    assert options.stop_ms == 6_000
    assert (options.drain_ms, options.evacuate_ms) == (2_500, 4_000)
    assert options.row_bytes == 32_768
    assert options.memory_bytes == 160_000_000
    assert options.max_descriptors is None
    assert options.zones == {"centro-a": "centro", "sur-a": "sur"}


@pytest.mark.parametrize(
    ("old", "new", "named"),
    [
        ("node=edge-a-1", "", "node"),
        ("listen.front=10.1.0.34:8548", "listen.front=here", "listen.front"),
        ("internalPorts=7540,7555", "internalPorts=no", "internalPorts"),
        ("bounds.grace=6", "bounds.grace=-1", "bounds.grace"),
        ("bounds.grace=6", "bounds.grace=soon", "bounds.grace"),
        ("bounds.grace=6", "bounds.grace=nan", "bounds.grace"),
        ("platform.address=10.200.1.7:8541", "", "platform.address"),
    ],
)
def test_error_names_invalid_setting(old, new, named):
    with pytest.raises(platform.NodeFileError, match=named):
        platform.parse_node_file(NODE.replace(old, new))


def test_decode_routes():
    table = platform.PlatformCodec().decode_routing(CONFIG)
    assert table.version == 7
    first, second, third = table.routes
    assert [t.weight for t in first.targets] == [90, 10]
    assert first.kind is catalog.RequestKind.IDEMPOTENT
    assert second.kind is catalog.RequestKind.NON_IDEMPOTENT
    assert third.kind is catalog.RequestKind.NON_IDEMPOTENT
    assert table.list_keyed() == ["s1"]
    assert table.find_service("s1").warm_ms == 2_000
    assert first.allowed_regions == third.allowed_regions == ()
    assert second.allowed_regions == ("sur", "austral")
    cold = table.find_service("s2")
    assert (cold.warm_up_ms, cold.cold_rate) == (3_000, 4.6)
    assert cold.health_path == "/healthz"


@pytest.mark.parametrize(
    ("host", "path", "expected"),
    [
        ("a.example", "/x/1", "r1"),
        ("A.EXAMPLE:80", "/x/1", "r1"),
        ("a.example", "/x/y/1", "r2"),
        ("a.example", "/x", None),
        ("a.example", "/", None),
        ("b.example", "/x/1", None),
        ("", "/x/1", None),
    ],
)
def test_longest_prefix_wins(host, path, expected):
    table = platform.PlatformCodec().decode_routing(CONFIG)
    route = table.match(host=host, path=path)
    assert (route.name if route else None) == expected


def test_decode_server():
    entry = platform.PlatformCodec().decode_server("i-1", SERVER)
    assert (entry.server, entry.born_ms, entry.cold_ms) == (
        "i-1",
        1772215932454,
        1500,
    )


@pytest.mark.parametrize(
    "value",
    [
        b"",
        b"\xff\xfe",
        b"[]",
        b"null",
        SERVER.replace(b'"ready"', b'"asleep"'),
        SERVER.replace(b'"slots":2', b'"slots":"two"'),
        SERVER.replace(b'"slots":2', b'"slots":0'),
        SERVER.replace(b":8080", b""),
        SERVER.replace(b'"service":"s1",', b""),
        SERVER.replace(b"1772215932454", b"1.5"),
        # Entries of another writer, each of which ended the coordinators or
        # was taken for a server's.
        SERVER.replace(b'"seq":4', b'"seq":' + DEEP),
        SERVER.replace(
            b'"seq":4', b'"seq":' + b'{"a":' * 2_000 + b"}" * 2_000
        ),
        DEEP,
        SERVER.replace(b"1772215932454", b"9" * 30),
        SERVER.replace(b'"slots":2', b'"slots":' + b"9" * 5_000),
        SERVER.replace(b"1500", b"1e999"),
        SERVER.replace(b":8080", b":65536"),
        SERVER.replace(b":8080", b":0"),
        SERVER.replace(b":8080", b":-1"),
        SERVER.replace(b":8080", b":" + b"9" * 5_000),
        SERVER.replace(b":8080", b":8_080"),
        SERVER.replace(b":8080", b": 8080"),
        SERVER.replace(b":8080", "：８０".encode()),
        SERVER.replace(b"10.128", b".128"),
        SERVER.replace(b"10.128.0.9", b"a" * 70 + b".example"),
        SERVER.replace(b"10.128.0.9", b"a\\u0000b"),
    ],
)
def test_invalid_server_entry_is_rejected(value):
    with pytest.raises(base.CodecError):
        platform.PlatformCodec().decode_server("i-1", value)


@pytest.mark.parametrize("key", ["a b", "a\nb", "a\0", "é", ""])
def test_entry_whose_key_cannot_be_sent_in_a_header_is_rejected(key):
    with pytest.raises(base.CodecError):
        platform.PlatformCodec().decode_server(key, SERVER)


@pytest.mark.parametrize(
    "value",
    [
        b"",
        b"{}",
        b'{"version": "no"}',
        CONFIG.replace(b'1, "r', DEEP + b', "r'),
    ],
)
def test_invalid_configuration_is_rejected(value):
    with pytest.raises(base.CodecError):
        platform.PlatformCodec().decode_routing(value)


@pytest.mark.parametrize(
    ("fields", "expected"),
    [
        ({}, jobs.RequestMetadata(attempt="")),
        (
            {
                "tarragonhinge-request-attempt-id": "9c",
                "tarragonhinge-deadline-ms": "2500",
                "tarragonhinge-shard-key": "65535",
            },
            jobs.RequestMetadata(attempt="9c", deadline_ms=2500, key=65_535),
        ),
        (
            {
                "tarragonhinge-deadline-ms": "-3",
                "tarragonhinge-shard-key": "65536",
            },
            jobs.RequestMetadata(attempt=""),
        ),
        # More digits than `int` converts.
        (
            {
                "tarragonhinge-deadline-ms": "9" * 5_000,
                "tarragonhinge-shard-key": "9" * 5_000,
            },
            jobs.RequestMetadata(attempt=""),
        ),
    ],
)
def test_parse_request_fields(fields, expected):
    assert platform.PlatformDialect().read_request(fields) == expected


@pytest.mark.parametrize(
    ("load", "expected"),
    [
        ("3,1,8", (3, 1, 8, 100)),
        # Services with a fourth figure had their loads ignored.
        ("3,1,8,250", (3, 1, 8, 250)),
        ("3,1,8,250,1", None),
        ("3,1,8,", None),
        ("3,1", None),
        ("a,b,c", None),
        ("", None),
        ("3,1," + "9" * 5_000, None),
    ],
)
def test_parse_response_fields(load, expected):
    metadata = platform.PlatformDialect().read_answer(
        {
            "tarragonhinge-upstream-load": load,
            "tarragonhinge-not-executed": "1",
        }
    )
    assert metadata.not_run
    assert not metadata.sealed
    if expected is None:
        assert metadata.load is None
    else:
        assert dataclasses.astuple(metadata.load) == expected


@pytest.mark.parametrize(
    ("text", "limit", "is_invalid"),
    [
        (None, None, False),
        ("2", 2.0, False),
        ("1.25", 1.25, False),
        (" 0 ", 0.0, False),
        ("0.0", 0.0, False),
        ("", None, True),
        ("-1", None, True),
        ("+1", None, True),
        ("1e3", None, True),
        ("nan", None, True),
        ("inf", None, True),
        (".5", None, True),
        ("2,3", None, True),
        ("\u0662", None, True),
        ("9" * 5_000, None, True),
        ("0." + "1" * 5_000, None, True),
    ],
)
def test_parse_server_limit(text, limit, is_invalid):
    fields = {} if text is None else {"server-limit": text}
    metadata = platform.PlatformDialect().read_answer(fields)
    assert metadata.limit == limit
    assert metadata.is_limit_invalid is is_invalid


@pytest.mark.parametrize(
    ("old", "new"),
    [
        (b'"born":1772215932454', b'"born":1' + b"0" * 30),
        (b'"born":1772215932454', b'"born":-1' + b"0" * 30),
        (b'"slots":2', b'"slots":1' + b"0" * 30),
        (b'"warmupLeft":1500', b'"warmupLeft":1e308'),
        (b'"warmupLeft":1500', b'"warmupLeft":1' + b"0" * 30),
    ],
)
def test_server_entry_with_huge_number_does_not_stop_the_coordinator(old, new):
    """It is ignored, or can be sent to the other instances."""
    try:
        entry = _server_codec.decode_server("i-1", SERVER.replace(old, new))
    except base.CodecError:
        return
    relay.encode_frame(relay.Update(servers=[entry]))


@pytest.mark.parametrize(
    ("old", "new"),
    [
        (b'"version": 7', b'"version": 1' + b"0" * 30),
        (b'"timeout": 2500', b'"timeout": 1' + b"0" * 30),
        (b'"maxConns": 130', b'"maxConns": 1' + b"0" * 30),
        (b'"warm": 2.0', b'"warm": 1e308'),
        (b'"idleTimeout": 15000', b'"idleTimeout": -1' + b"0" * 30),
    ],
)
def test_configuration_with_huge_number_does_not_stop_the_coordinator(
    old, new
):
    try:
        table = _table_codec.decode_table(CONFIG.replace(old, new, 1))
    except base.CodecError:
        return
    relay.encode_frame(relay.Update(table=table))


@pytest.mark.parametrize(
    ("text", "wait_ms"),
    [
        ("3", 3_000),
        ("0.25", 250),
        (" 1.5 ", 1_500),
        ("0", 0),
        ("31536000", _dialect.MAX_WAIT_MS),
        ("-1", None),
        ("1e3", None),
        ("Fri, 04 Dec 2026 12:00:00 GMT", None),
        ("3, 5", None),
        ("9" * 5_000, None),
        ("\u0663", None),
    ],
)
def test_parse_wait(text, wait_ms):
    metadata = _dialect.PlatformDialect().read_answer(
        {"retry-after": text, "tarragonhinge-upstream-load": "1,2,3"}
    )
    assert metadata.wait_ms == wait_ms
    # A malformed value leaves the other fields intact.
    assert metadata.load == jobs.ReportedLoad(running=1, waiting=2, slots=3)
