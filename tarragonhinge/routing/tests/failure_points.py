"""Table of the points where a request can fail, and the outcomes.

The tests run each point, and docs/OUTCOMES.md shows the table.
"""

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses

from tarragonhinge import base
from tarragonhinge import shards
from tarragonhinge import testing

SHARD = base.ShardId("balances/centro")
KEY = "019b76da-b388-7000-8000-000000000001"
OLD_KEY = "017f22e2-79b0-7cc3-98c4-dc0c0c07398f"
DEADLINE_MS = 900

Provoke = Callable[[testing.Deployment], Awaitable[base.Outcome]]
Reason = base.NotRunReason | base.UnknownReason | None

NotRun = base.NotRunReason
Unknown = base.UnknownReason


@dataclasses.dataclass(frozen=True, kw_only=True)
class FailurePoint:
    """One way in which a request can fail.

    Parameters
    ----------
    step : str
        Processing step of the request.
    failure : str
        Description of the failure.
    request : str
        ``read`` (idempotent), ``order`` (not idempotent, with an
        idempotency key) or ``plain`` (not idempotent, without one).
    reason : NotRunReason, UnknownReason or None
        Reason of the outcome; None if the request is answered.
    provoke : callable
        Causes the failure, sends the request and returns its outcome.
    row : dict
        Changed columns of the service's row.
    """

    step: str
    failure: str
    request: str
    reason: Reason
    provoke: Provoke
    row: dict = dataclasses.field(default_factory=dict)


FAILURE_POINTS: list[FailurePoint] = []


def add_failure_point(step, failure, request, reason, **row):
    """Return a decorator that adds a failure point to the table."""

    def register(provoke):
        FAILURE_POINTS.append(
            FailurePoint(
                step=step,
                failure=failure,
                request=request,
                reason=reason,
                provoke=lambda deployment: provoke(deployment, request),
                row=row,
            )
        )
        return provoke

    return register


def find_leader(deployment):
    return deployment.find_leaders()[0]


def find_entry(deployment):
    """Return an entry that is neither leader nor standby."""
    leader = find_leader(deployment)
    standby = leader.instance.coordinator.leaders[SHARD].record.standby
    return next(
        node
        for node in deployment.nodes
        if node.address not in (leader.address, standby.address)
    )


def send(deployment, request, *, entry=None, key=KEY, **options):
    """Send the request of a failure point."""
    return deployment.send(
        entry or find_entry(deployment),
        "k1",
        method="GET" if request == "read" else "POST",
        idempotency_key=key if request == "order" else "",
        **{"deadline_ms": DEADLINE_MS, **options},
    )


def set_server_outcome(deployment, outcome):
    """Make every server return one outcome."""

    async def run(request):
        return outcome

    for server in deployment.servers.values():
        server.run = run


@add_failure_point(
    "forwarded", "no instance is listed", "plain", NotRun.NO_LEADER
)
async def _(deployment, request):
    entry = find_entry(deployment)
    entry.instance.instances.replace([])
    entry.instance.entry._directory.forget_leader(SHARD)
    return await send(deployment, request, entry=entry, deadline_ms=100)


@add_failure_point("forwarded", "the leader is lost with it", "read", None)
@add_failure_point(
    "forwarded", "the leader is lost with it", "plain", Unknown.LEADER_LOST
)
@add_failure_point(
    "forwarded", "the leader is lost before it came", "order", None
)
async def _(deployment, request):
    entry = find_entry(deployment)
    await find_leader(deployment).kill()
    return await send(deployment, request, entry=entry, deadline_ms=3000)


@add_failure_point(
    "redirected", "the entry knows a former leader", "plain", None
)
async def _(deployment, request):
    entry = find_entry(deployment)
    leader = find_leader(deployment)
    follower = next(n for n in deployment.nodes if n not in (entry, leader))
    entry.instance.entry._directory.record_leader(SHARD, follower.address)
    return await send(deployment, request, entry=entry)


async def _send_under_load(deployment, request, deadline_ms):
    for server in deployment.servers.values():
        server.service_ms = 400
    load_tasks = [
        testing.spawn(send(deployment, "read", deadline_ms=5000))
        for _ in range(4)
    ]
    await deployment.wait(50)
    outcome = await send(deployment, request, deadline_ms=deadline_ms)
    for task in load_tasks:
        await task
    return outcome


@add_failure_point("forwarded", "no time is left", "order", NotRun.DEADLINE)
async def _(deployment, request):
    return await send(deployment, request, deadline_ms=0)


@add_failure_point(
    "queued", "the queue is full", "order", NotRun.OVERLOADED, queue=2
)
async def _(deployment, request):
    return await _send_under_load(deployment, request, 5000)


@add_failure_point(
    "queued", "the deadline would pass", "order", NotRun.OVERLOADED
)
async def _(deployment, request):
    return await _send_under_load(deployment, request, 60)


@add_failure_point("held", "standby and table are out of reach", "order", None)
async def _(deployment, request):
    leader = find_leader(deployment)
    entry = find_entry(deployment)
    standby = leader.instance.coordinator.leaders[SHARD].record.standby
    deployment.network.cut_both(leader.address, standby.address)
    # While the table is down, the leader cannot store in the record that
    # the copy is incomplete.
    leader.table.down = True
    call = testing.spawn(
        send(deployment, request, entry=entry, deadline_ms=3000)
    )
    await deployment.wait(400)
    leader.table.down = False
    return await call


@add_failure_point(
    "held", "no server may own the key yet", "order", NotRun.NO_OWNER
)
async def _(deployment, request):
    entry = find_entry(deployment)
    for server in deployment.servers.values():
        server.up = False
    await deployment.wait(3000)
    return await send(deployment, request, entry=entry)


@add_failure_point(
    "authorised", "the leader has lost its authority", "plain", None
)
async def _(deployment, request):
    leader = find_leader(deployment)
    entry = find_entry(deployment)
    leader.clock.pause()
    await deployment.wait(2 * shards.Timing().lease_ms)
    leader.clock.resume()
    return await send(deployment, request, entry=entry)


for _request in ("read", "plain", "order"):
    for _reason, _text in (
        (NotRun.FENCED, "the server refuses the fencing token"),
        (NotRun.SERVER_SHED, "the server sheds it"),
        (NotRun.SERVER_UNREACHABLE, "no connection to the server"),
        (NotRun.MOVING, "the partition moves"),
        (NotRun.NO_AUTHORITY, "the leader's authority lapses"),
    ):

        @add_failure_point("sent", _text, _request, _reason)
        async def _(deployment, request, reason=_reason):
            set_server_outcome(deployment, base.NotRun(reason=reason))
            return await send(deployment, request)

    for _reason, _text in (
        (Unknown.ANSWER_LOST, "the connection is lost"),
        (Unknown.ANSWER_CUT, "the answer is cut short"),
        (Unknown.TIMEOUT, "the answer is late"),
    ):

        @add_failure_point("answered", _text, _request, _reason)
        async def _(deployment, request, reason=_reason):
            set_server_outcome(deployment, base.Unknown(reason=reason))
            return await send(deployment, request)


@add_failure_point(
    "remembered", "another body under the key", "order", NotRun.KEY_REUSED
)
async def _(deployment, request):
    entry = find_entry(deployment)
    await send(deployment, request, entry=entry)
    return await send(deployment, request, entry=entry, body=b"other")


@add_failure_point(
    "remembered", "the key is no UUIDv7", "order", NotRun.BAD_REQUEST
)
async def _(deployment, request):
    return await send(deployment, request, key="order-12")


@add_failure_point(
    "remembered", "the key is too old", "order", Unknown.HISTORY_LOST
)
async def _(deployment, request):
    return await send(deployment, request, key=OLD_KEY)


@add_failure_point(
    "replayed",
    "its answer was too large",
    "order",
    Unknown.EARLIER_UNKNOWN,
)
async def _(deployment, request):
    entry = find_entry(deployment)
    set_server_outcome(
        deployment, base.Answered(status=200, body=b"x" * 20_000)
    )
    await send(deployment, request, entry=entry)
    return await send(deployment, request, entry=entry)


@add_failure_point(
    "replayed", "its first run is unknown", "order", Unknown.TIMEOUT
)
async def _(deployment, request):
    entry = find_entry(deployment)
    set_server_outcome(deployment, base.Unknown(reason=Unknown.TIMEOUT))
    await send(deployment, request, entry=entry)
    return await send(deployment, request, entry=entry)


@add_failure_point(
    "replayed", "leader and first run are lost", "order", Unknown.LEADER_LOST
)
async def _(deployment, request):
    entry = find_entry(deployment)
    for server in deployment.servers.values():
        server.service_ms = 60_000
    first = testing.spawn(send(deployment, request, entry=entry))
    await deployment.wait(200)
    await find_leader(deployment).kill()
    await first
    return await send(deployment, request, entry=entry, deadline_ms=3000)


@add_failure_point(
    "replayed",
    "leader and copy are lost",
    "order",
    Unknown.HISTORY_LOST,
    history="forget",
)
async def _(deployment, request):
    entry = find_entry(deployment)
    await send(deployment, request, entry=entry)
    await find_leader(deployment).kill()
    return await send(deployment, request, entry=entry, deadline_ms=3000)
