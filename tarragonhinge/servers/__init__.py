"""Connections to backend servers: grants, dialects and requests."""

from tarragonhinge.servers._client import ServerClient
from tarragonhinge.servers._dialect import DIALECTS
from tarragonhinge.servers._dialect import GrantDialect
from tarragonhinge.servers._dialect import LapsingDialect
from tarragonhinge.servers._dialect import UncheckedDialect
from tarragonhinge.servers._dialect import UntilTokenDialect
from tarragonhinge.servers._hop_by_hop import drop_hop_by_hop_fields
from tarragonhinge.servers._hop_by_hop import HOP_BY_HOP_HEADERS
from tarragonhinge.servers._http import HttpServerClient
from tarragonhinge.servers._messages import Fence
from tarragonhinge.servers._messages import GRANT_PATH
from tarragonhinge.servers._messages import GrantReply
from tarragonhinge.servers._messages import GrantRequest
from tarragonhinge.servers._messages import HEADER_DEADLINE_MS
from tarragonhinge.servers._messages import HEADER_EPOCH
from tarragonhinge.servers._messages import HEADER_IDEMPOTENCY_KEY
from tarragonhinge.servers._messages import HEADER_NOT_RUN
from tarragonhinge.servers._messages import HEADER_PARTITION
from tarragonhinge.servers._messages import HEADER_SHARD
from tarragonhinge.servers._messages import HEADER_TERM
from tarragonhinge.servers._messages import PartitionGrant
from tarragonhinge.servers._messages import ServerRequest

__all__ = [
    "DIALECTS",
    "GRANT_PATH",
    "HEADER_DEADLINE_MS",
    "HEADER_EPOCH",
    "HEADER_IDEMPOTENCY_KEY",
    "HEADER_NOT_RUN",
    "HEADER_PARTITION",
    "HEADER_SHARD",
    "HEADER_TERM",
    "HOP_BY_HOP_HEADERS",
    "Fence",
    "GrantDialect",
    "GrantReply",
    "GrantRequest",
    "HttpServerClient",
    "LapsingDialect",
    "PartitionGrant",
    "ServerClient",
    "ServerRequest",
    "UncheckedDialect",
    "UntilTokenDialect",
    "drop_hop_by_hop_fields",
]
