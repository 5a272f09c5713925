"""Costs of each role at the target size, from measured slopes.

The slopes come from ``benchmarks/marginal_costs.py`` (loopback, one core) and
are repeated here so that the page can be worked out again::

    python benchmarks/capacity.py

Lengths of messages are those that the code's own encoders give.
"""

import msgspec

from tarragonhinge import base
from tarragonhinge import configuration
from tarragonhinge import membership
from tarragonhinge import peers
from tarragonhinge.propagation import _messages
from tarragonhinge import servers
from tarragonhinge import shards

NODES = 14_000
REGIONS = 10
ZONES = 31
REQUESTS_PER_S = 33_000_000
KEYS = 12_000_000_000
EDITS_PER_DAY = 9700
RESTARTS_PER_DAY = 2100
FAILURES_PER_DAY = 18
SERVICES = 300
SECONDS_PER_DAY = 86_400
MS_PER_S = 1000

# Slopes, from benchmarks/marginal_costs.py.
ENTRY_MS = 0.693
LEADER_MS = 0.830
SHARD_MS_PER_S = 2.31
SERVER_MS_PER_S = 1.72
PARTITION_MS_PER_S = 0.0037
REPORT_MS = 0.4098
TABLE_ROW_MS = 0.0126
KEY_BYTES = 254
LISTED_BYTES = 232
LISTED_WIRE_BYTES = 84
SELECT_MS = 0.00051
RANK_MS_PER_INSTANCE = 0.000325
IDLE_MS_PER_S = 10.9

# Settings of the code.
HEARTBEAT_S = 0.25
REPORT_S = 1.0
REPORTS_PER_POLLER = 32
EXCHANGE_S = 4.0
OTHERS_PER_ZONE = 3
CONFIRM_S = 9.8
SERVERS_PER_SHARD = 6
PARTITIONS_PER_SHARD = 768
KEYED_SHARE = 0.05
WINDOW_S = 600

#: Request line and header fields of a heartbeat to a server.
GRANT_HEAD_BYTES = 70


def _make_row() -> configuration.ServiceRow:
    entry = configuration.ServerEntry(
        server=base.ServerId("balances-07"),
        address=base.Address("10.20.30.40:8080"),
        region=base.RegionName("centro"),
        zone=base.ZoneName("centro-a"),
    )
    return configuration.ServiceRow(
        service=base.ServiceName("balances"),
        homes=[entry.region],
        servers=[entry] * 12,
    )


def _measure_messages() -> tuple[int, int, int, int, int]:
    """Return the bytes of each periodic message."""
    shard = base.ShardId("balances/centro")
    grant = servers.GrantRequest(
        shard=shard,
        term=base.Term(7),
        sequence=123_456,
        server_incarnation="a" * 32,
        expires_at=123_456_789,
    )
    heartbeat = shards.Heartbeat(
        shard=shard, term=base.Term(7), sequence=123_456, row_version=100
    )
    sender = membership.InstanceEntry(
        instance=base.InstanceId("entry-12345"),
        address=base.Address("10.20.30.40:8081"),
        region=base.RegionName("centro"),
        zone=base.ZoneName("centro-a"),
    )
    report = _messages.VersionReport(
        sender=sender, table_version=base.TableVersion(9), list_digest=1 << 63
    )
    row = _make_row()
    delta = configuration.TableDelta(
        base_version=base.TableVersion(8),
        version=base.TableVersion(9),
        rows=[row],
    )
    return (
        GRANT_HEAD_BYTES + len(msgspec.json.encode(grant)),
        len(peers.encode_message(heartbeat)),
        len(peers.encode_message(report)),
        len(msgspec.msgpack.encode(delta)),
        len(msgspec.json.encode(row)),
    )


def list_figures() -> list[tuple[str, str, float, str]]:
    """Return (role, quantity, value, unit) of all roles."""
    grant, heartbeat, report, delta, row = _measure_messages()
    zone = NODES / ZONES
    region = NODES / REGIONS
    pollers = max(3, zone / REPORTS_PER_POLLER)
    rate = REQUESTS_PER_S / NODES
    changes = 2 * (RESTARTS_PER_DAY + FAILURES_PER_DAY) / SECONDS_PER_DAY
    listed = region + OTHERS_PER_ZONE * ZONES * (1 - 1 / REGIONS)
    table_bytes = SERVICES * row
    edits = EDITS_PER_DAY / SECONDS_PER_DAY
    keys_held = rate * KEYED_SHARE * WINDOW_S
    spread_bytes = changes / REGIONS * LISTED_WIRE_BYTES + edits * delta
    moves = 4 * (RESTARTS_PER_DAY + FAILURES_PER_DAY) / SECONDS_PER_DAY
    return [
        ("entry", "requests", rate, "/s"),
        ("entry", "processor", rate * ENTRY_MS / MS_PER_S, "cores"),
        ("entry", "list of instances", listed * LISTED_BYTES / 1e6, "MB"),
        ("leader", "requests", rate, "/s"),
        ("leader", "processor", rate * LEADER_MS / MS_PER_S, "cores"),
        ("leader", "requests a core", MS_PER_S / LEADER_MS, "/s"),
        ("leader", "control, shard", SHARD_MS_PER_S / 10, "% of a core"),
        (
            "leader",
            "control, servers",
            SERVERS_PER_SHARD * SERVER_MS_PER_S / 10,
            "% of a core",
        ),
        (
            "leader",
            "control, partitions",
            PARTITIONS_PER_SHARD * PARTITION_MS_PER_S / 10,
            "% of a core",
        ),
        (
            "leader",
            "heartbeats out",
            (SERVERS_PER_SHARD * grant + heartbeat) / HEARTBEAT_S / 1024,
            "KB/s",
        ),
        ("leader", "remembered keys", keys_held, "keys"),
        ("leader", "memory of keys", keys_held * KEY_BYTES / 1e6, "MB"),
        ("standby", "memory of keys", keys_held * KEY_BYTES / 1e6, "MB"),
        (
            "standby",
            "heartbeats",
            heartbeat / HEARTBEAT_S / 1024,
            "KB/s",
        ),
        ("candidate", "shards of a region", SERVICES, "shards"),
        (
            "candidate",
            "ranking",
            changes / REGIONS * SERVICES * region * RANK_MS_PER_INSTANCE / 10,
            "% of a core",
        ),
        ("poller", "instances of a zone", zone, "instances"),
        ("poller", "pollers of a zone", pollers, "pollers"),
        ("poller", "reports", zone / pollers / REPORT_S, "/s"),
        (
            "poller",
            "reports, processor",
            zone / pollers / REPORT_S * REPORT_MS / 10,
            "% of a core",
        ),
        (
            "poller",
            "first of a zone, exchanges",
            2 * (ZONES + pollers) / EXCHANGE_S,
            "/s",
        ),
        (
            "poller",
            "first of a zone, exchanges",
            2 * (ZONES + pollers) / EXCHANGE_S * REPORT_MS / 10,
            "% of a core",
        ),
        (
            "poller",
            "list and table sent",
            zone / pollers * spread_bytes / 1024,
            "KB/s",
        ),
        (
            "poller",
            "one edit, to its reporters",
            zone / pollers * delta / 1024,
            "KB",
        ),
        ("every node", "report out", report / REPORT_S / 1024, "KB/s"),
        ("every node", "list and table in", spread_bytes / 1024, "KB/s"),
        (
            "every node",
            "taking an edit",
            edits * TABLE_ROW_MS / 10,
            "% of a core",
        ),
        ("every node", "idle process", IDLE_MS_PER_S / 10, "% of a core"),
        ("store", "reads, pollers", ZONES * pollers / REPORT_S, "/s"),
        ("store", "reads, records", NODES / CONFIRM_S, "/s"),
        ("store", "writes, restarts and losses", moves, "/s"),
        ("store", "writes, edits", 2 * edits, "/s"),
        ("store", "writes, loss of a zone in 2 s", zone / 2, "/s"),
        ("table", "bytes", table_bytes / 1e6, "MB"),
        ("keys", "keys a partition", KEYS / (NODES * 768), "keys"),
    ]


def main() -> None:
    """Print the figures as a Markdown table."""
    print("| role | what | at the target size |")
    print("|---|---|---|")
    for role, what, value, unit in list_figures():
        print(f"| {role} | {what} | {value:,.3g} {unit} |")


if __name__ == "__main__":
    main()
