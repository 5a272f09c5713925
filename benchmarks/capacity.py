"""Estimates the cost of each role at the target size.

The estimate multiplies marginal costs by the sizes of the target system.  The
marginal costs were measured by ``benchmarks/marginal_costs.py`` (loopback, one
core); they are copied here so that the table can be computed again without
measuring::

    python benchmarks/capacity.py

Message lengths come from the project's own encoders.
"""

import msgspec

from tarragonhinge import base
from tarragonhinge import configuration
from tarragonhinge import membership
from tarragonhinge import peers
from tarragonhinge.propagation import _messages
from tarragonhinge import servers
from tarragonhinge import shards

# Sizes and rates of the target system.
INSTANCES = 14_000
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

# Marginal costs, measured by benchmarks/marginal_costs.py.
ENTRY_CPU_MS_PER_REQUEST = 0.693
LEADER_CPU_MS_PER_REQUEST = 0.830
CPU_MS_PER_S_PER_SHARD = 2.31
CPU_MS_PER_S_PER_SERVER = 1.72
CPU_MS_PER_S_PER_PARTITION = 0.0037
CPU_MS_PER_REPORT = 0.4098
CPU_MS_PER_TABLE_ROW = 0.0126
BYTES_PER_RECORDED_KEY = 254
BYTES_PER_LISTED_INSTANCE = 232
WIRE_BYTES_PER_LISTED_INSTANCE = 84
CPU_MS_PER_SELECTED_INSTANCE = 0.00051
CPU_MS_PER_RANKED_INSTANCE = 0.000325
IDLE_CPU_MS_PER_S = 10.9

# Intervals and limits of the router.
HEARTBEAT_INTERVAL_S = 0.25
REPORT_INTERVAL_S = 1.0
REPORTS_PER_POLLER = 32
EXCHANGE_INTERVAL_S = 4.0
LISTED_INSTANCES_PER_REMOTE_ZONE = 3
CONFIRMATION_INTERVAL_S = 9.8
SERVERS_PER_SHARD = 6
PARTITIONS_PER_SHARD = 768
KEYED_REQUEST_FRACTION = 0.05
HISTORY_WINDOW_S = 600

#: Length of the request line and header fields of a grant request.
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


def _measure_message_lengths() -> tuple[int, int, int, int, int]:
    """Return the encoded lengths of messages, in bytes.

    Returns
    -------
    tuple of int
        Lengths of a grant request, a heartbeat to the standby, a version
        report, a table delta with one row, and a row of the table.
    """
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


def estimate_costs() -> list[tuple[str, str, float, str]]:
    """Return (role, quantity, value, unit) for all roles.

    Processor time in milliseconds per second, divided by 10, is a percentage
    of one core.
    """
    grant_bytes, heartbeat_bytes, report_bytes, delta_bytes, row_bytes = (
        _measure_message_lengths()
    )
    instances_per_zone = INSTANCES / ZONES
    instances_per_region = INSTANCES / REGIONS
    pollers = max(3, instances_per_zone / REPORTS_PER_POLLER)
    instance_request_rate = REQUESTS_PER_S / INSTANCES
    list_changes_per_s = (
        2 * (RESTARTS_PER_DAY + FAILURES_PER_DAY) / SECONDS_PER_DAY
    )
    listed_instances = (
        instances_per_region
        + LISTED_INSTANCES_PER_REMOTE_ZONE * ZONES * (1 - 1 / REGIONS)
    )
    table_bytes = SERVICES * row_bytes
    edits_per_s = EDITS_PER_DAY / SECONDS_PER_DAY
    recorded_keys = (
        instance_request_rate * KEYED_REQUEST_FRACTION * HISTORY_WINDOW_S
    )
    propagated_bytes_per_s = (
        list_changes_per_s / REGIONS * WIRE_BYTES_PER_LISTED_INSTANCE
        + edits_per_s * delta_bytes
    )
    record_writes_per_s = (
        4 * (RESTARTS_PER_DAY + FAILURES_PER_DAY) / SECONDS_PER_DAY
    )
    return [
        ("entry", "requests", instance_request_rate, "/s"),
        (
            "entry",
            "processor",
            instance_request_rate * ENTRY_CPU_MS_PER_REQUEST / MS_PER_S,
            "cores",
        ),
        (
            "entry",
            "list of instances",
            listed_instances * BYTES_PER_LISTED_INSTANCE / 1e6,
            "MB",
        ),
        ("leader", "requests", instance_request_rate, "/s"),
        (
            "leader",
            "processor",
            instance_request_rate * LEADER_CPU_MS_PER_REQUEST / MS_PER_S,
            "cores",
        ),
        (
            "leader",
            "requests a core",
            MS_PER_S / LEADER_CPU_MS_PER_REQUEST,
            "/s",
        ),
        (
            "leader",
            "control, shard",
            CPU_MS_PER_S_PER_SHARD / 10,
            "% of a core",
        ),
        (
            "leader",
            "control, servers",
            SERVERS_PER_SHARD * CPU_MS_PER_S_PER_SERVER / 10,
            "% of a core",
        ),
        (
            "leader",
            "control, partitions",
            PARTITIONS_PER_SHARD * CPU_MS_PER_S_PER_PARTITION / 10,
            "% of a core",
        ),
        (
            "leader",
            "heartbeats out",
            (SERVERS_PER_SHARD * grant_bytes + heartbeat_bytes)
            / HEARTBEAT_INTERVAL_S
            / 1024,
            "KB/s",
        ),
        ("leader", "remembered keys", recorded_keys, "keys"),
        (
            "leader",
            "memory of keys",
            recorded_keys * BYTES_PER_RECORDED_KEY / 1e6,
            "MB",
        ),
        (
            "standby",
            "memory of keys",
            recorded_keys * BYTES_PER_RECORDED_KEY / 1e6,
            "MB",
        ),
        (
            "standby",
            "heartbeats",
            heartbeat_bytes / HEARTBEAT_INTERVAL_S / 1024,
            "KB/s",
        ),
        ("candidate", "shards of a region", SERVICES, "shards"),
        (
            "candidate",
            "ranking",
            list_changes_per_s
            / REGIONS
            * SERVICES
            * instances_per_region
            * CPU_MS_PER_RANKED_INSTANCE
            / 10,
            "% of a core",
        ),
        ("poller", "instances of a zone", instances_per_zone, "instances"),
        ("poller", "pollers of a zone", pollers, "pollers"),
        (
            "poller",
            "reports",
            instances_per_zone / pollers / REPORT_INTERVAL_S,
            "/s",
        ),
        (
            "poller",
            "reports, processor",
            instances_per_zone
            / pollers
            / REPORT_INTERVAL_S
            * CPU_MS_PER_REPORT
            / 10,
            "% of a core",
        ),
        (
            "poller",
            "first of a zone, exchanges",
            2 * (ZONES + pollers) / EXCHANGE_INTERVAL_S,
            "/s",
        ),
        (
            "poller",
            "first of a zone, exchanges",
            2
            * (ZONES + pollers)
            / EXCHANGE_INTERVAL_S
            * CPU_MS_PER_REPORT
            / 10,
            "% of a core",
        ),
        (
            "poller",
            "list and table sent",
            instances_per_zone / pollers * propagated_bytes_per_s / 1024,
            "KB/s",
        ),
        (
            "poller",
            "one edit, to its reporters",
            instances_per_zone / pollers * delta_bytes / 1024,
            "KB",
        ),
        (
            "every node",
            "report out",
            report_bytes / REPORT_INTERVAL_S / 1024,
            "KB/s",
        ),
        (
            "every node",
            "list and table in",
            propagated_bytes_per_s / 1024,
            "KB/s",
        ),
        (
            "every node",
            "taking an edit",
            edits_per_s * CPU_MS_PER_TABLE_ROW / 10,
            "% of a core",
        ),
        ("every node", "idle process", IDLE_CPU_MS_PER_S / 10, "% of a core"),
        ("store", "reads, pollers", ZONES * pollers / REPORT_INTERVAL_S, "/s"),
        ("store", "reads, records", INSTANCES / CONFIRMATION_INTERVAL_S, "/s"),
        ("store", "writes, restarts and losses", record_writes_per_s, "/s"),
        ("store", "writes, edits", 2 * edits_per_s, "/s"),
        (
            "store",
            "writes, loss of a zone in 2 s",
            instances_per_zone / 2,
            "/s",
        ),
        ("table", "bytes", table_bytes / 1e6, "MB"),
        ("keys", "keys a partition", KEYS / (INSTANCES * 768), "keys"),
    ]


def main() -> None:
    """Print the estimates as a Markdown table."""
    print("| role | what | at the target size |")
    print("|---|---|---|")
    for role, quantity, value, unit in estimate_costs():
        print(f"| {role} | {quantity} | {value:,.3g} {unit} |")


if __name__ == "__main__":
    main()
