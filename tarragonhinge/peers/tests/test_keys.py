"""Tests of key files and of authentication by the deployment's keys."""

import asyncio

import pytest

from tarragonhinge import base
from tarragonhinge import demo
from tarragonhinge import peers
from tarragonhinge import shards

OLD = peers.make_key_pair()
NEW = peers.make_key_pair()
FOREIGN = peers.make_key_pair()

#: Maximum number of calls that are made to get a reply or a refusal.
MAX_CALL_ATTEMPTS = 60


async def _reply_to_query(message):
    return shards.LeaderReply(leads=True)


async def _connect(server_keys, client_keys):
    """Call until there is a reply or all keys have been refused."""
    address = demo.find_free_address("127.0.0.1")
    server = peers.ZmqTransport(address=address, keys=server_keys)
    client = peers.ZmqTransport(
        address=base.Address("127.0.0.1:1"), keys=client_keys
    )
    server.handle(shards.LeaderQuery, _reply_to_query)
    await server.start()
    query = shards.LeaderQuery(shard=base.ShardId("a/b"))
    for _ in range(MAX_CALL_ATTEMPTS):
        reply = await client.call(address, query, timeout_ms=2000)
        refused = server.refused_count
        if isinstance(reply, shards.LeaderReply) or _has_tried_all_keys(
            refused, client_keys
        ):
            break
    await client.stop()
    await server.stop()
    return reply, refused


def _has_tried_all_keys(refused, client_keys):
    """Return whether each of the client's keys must have been tried."""
    return refused > 2 * len(client_keys.pairs if client_keys else (None,))


def _make_keys(*pairs):
    return peers.PeerKeys(pairs=pairs) if pairs else None


@pytest.mark.parametrize(
    ("server", "client"),
    [
        ((), ()),
        ((OLD,), (OLD,)),
        ((OLD, NEW), (OLD,)),
        ((OLD, NEW), (NEW, OLD)),
        ((NEW, OLD), (OLD, NEW)),
        ((NEW,), (NEW, OLD)),
    ],
    ids=["none", "one", "added", "client first", "server first", "removed"],
)
def test_peers_can_connect_in_each_phase_of_a_key_rotation(server, client):
    reply, _ = asyncio.run(_connect(_make_keys(*server), _make_keys(*client)))
    assert isinstance(reply, shards.LeaderReply)


@pytest.mark.parametrize(
    "client",
    [(FOREIGN,), (), (peers.KeyPair(public=OLD.public, secret=OLD.public),)],
    ids=["other keys", "no keys", "public key only"],
)
def test_peers_without_the_keys_are_refused_and_counted(client):
    reply, refused = asyncio.run(
        _connect(_make_keys(OLD), _make_keys(*client))
    )
    assert isinstance(reply, peers.PeerFailure)
    assert refused > 0


def test_a_client_with_a_foreign_key_that_expects_the_server_key_is_refused():
    client = peers.PeerKeys(pairs=(FOREIGN, OLD))
    reply, refused = asyncio.run(_connect(_make_keys(OLD), client))
    assert isinstance(reply, peers.PeerFailure)
    assert refused > 0


@pytest.mark.parametrize(
    ("content", "message"),
    [
        ("", "no key"),
        ("# comment only\n", "no key"),
        ("abc def\n", "line 1"),
        (f"{OLD.public.decode()} {NEW.secret.decode()}\n", "belong together"),
    ],
    ids=["empty", "comment", "malformed", "mismatched"],
)
def test_an_invalid_key_file_raises_an_error_with_the_reason(
    tmp_path, content, message
):
    path = tmp_path / "peers.keys"
    path.write_text(content, encoding="ascii")
    with pytest.raises(peers.KeyFileError, match=message):
        peers.load_keys(str(path))


def test_formatted_keys_load_unchanged(tmp_path):
    keys = peers.PeerKeys(pairs=(NEW, OLD))
    path = tmp_path / "peers.keys"
    path.write_text(peers.format_keys(keys), encoding="ascii")
    assert peers.load_keys(str(path)) == keys
    assert OLD.secret.decode() not in repr(keys)
