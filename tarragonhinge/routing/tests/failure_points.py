"""Every point where a request can fail, and the outcome it gives.

The tests walk this table, and docs/OUTCOMES.md shows it.
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

Arrange = Callable[[testing.Deployment], Awaitable[base.Outcome]]
Reason = base.NotRunReason | base.UnknownReason | None

NotRun = base.NotRunReason
Unknown = base.UnknownReason


@dataclasses.dataclass(frozen=True, kw_only=True)
class FailurePoint:
    """One way in which a request can fail.

    Parameters
    ----------
    step : str
        Where the request is.
    failure : str
        What goes wrong.
    request : str
        ``read`` (idempotent), ``order`` (with a key) or ``plain``.
    reason : NotRunReason, UnknownReason or None
        The outcome; None if it is answered all the same.
    arrange : callable
        Causes the failure and returns the outcome.
    row : dict
        Changes of the service's row.
    """

    step: str
    failure: str
    request: str
    reason: Reason
    arrange: Arrange
    row: dict = dataclasses.field(default_factory=dict)


POINTS: list[FailurePoint] = []


def add(step, failure, request, reason, **row):
    """Return a decorator that adds a point to the table."""

    def register(arrange):
        POINTS.append(
            FailurePoint(
                step=step,
                failure=failure,
                request=request,
                reason=reason,
                arrange=lambda deployment: arrange(deployment, request),
                row=row,
            )
        )
        return arrange

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
    """Send the request of a point."""
    return deployment.send(
        entry or find_entry(deployment),
        "k1",
        method="GET" if request == "read" else "POST",
        idempotency_key=key if request == "order" else "",
        **{"deadline_ms": DEADLINE_MS, **options},
    )


def answer_all(deployment, outcome):
    """Let every server give one outcome."""

    async def run(request):
        return outcome

    for server in deployment.servers.values():
        server.run = run


@add("forwarded", "no instance is listed", "plain", NotRun.NO_LEADER)
async def _(deployment, request):
    entry = find_entry(deployment)
    entry.instance.instances.replace([])
    entry.instance.entry._directory.forget(SHARD)
    return await send(deployment, request, entry=entry, deadline_ms=100)


@add("forwarded", "the leader is lost with it", "read", None)
@add("forwarded", "the leader is lost with it", "plain", Unknown.LEADER_LOST)
@add("forwarded", "the leader is lost before it came", "order", None)
async def _(deployment, request):
    entry = find_entry(deployment)
    await find_leader(deployment).kill()
    return await send(deployment, request, entry=entry, deadline_ms=3000)


@add("redirected", "the entry knows a former leader", "plain", None)
async def _(deployment, request):
    entry = find_entry(deployment)
    leader = find_leader(deployment)
    wrong = next(n for n in deployment.nodes if n not in (entry, leader))
    entry.instance.entry._directory.learn(SHARD, wrong.address)
    return await send(deployment, request, entry=entry)


async def _crowd(deployment, request, deadline_ms):
    for server in deployment.servers.values():
        server.service_ms = 400
    crowd = [
        testing.spawn(send(deployment, "read", deadline_ms=5000))
        for _ in range(4)
    ]
    await deployment.wait(50)
    outcome = await send(deployment, request, deadline_ms=deadline_ms)
    for task in crowd:
        await task
    return outcome


@add("forwarded", "no time is left", "order", NotRun.DEADLINE)
async def _(deployment, request):
    return await send(deployment, request, deadline_ms=0)


@add("queued", "the queue is full", "order", NotRun.OVERLOADED, queue=2)
async def _(deployment, request):
    return await _crowd(deployment, request, 5000)


@add("queued", "the deadline would pass", "order", NotRun.OVERLOADED)
async def _(deployment, request):
    return await _crowd(deployment, request, 60)


@add("held", "standby and table are out of reach", "order", None)
async def _(deployment, request):
    leader = find_leader(deployment)
    entry = find_entry(deployment)
    standby = leader.instance.coordinator.leaders[SHARD].record.standby
    deployment.network.cut_both(leader.address, standby.address)
    # The copy cannot be given up in the record while the table is down.
    leader.table.down = True
    call = testing.spawn(
        send(deployment, request, entry=entry, deadline_ms=3000)
    )
    await deployment.wait(400)
    leader.table.down = False
    return await call


@add("held", "no server may own the key yet", "order", NotRun.NO_OWNER)
async def _(deployment, request):
    entry = find_entry(deployment)
    for server in deployment.servers.values():
        server.up = False
    await deployment.wait(3000)
    return await send(deployment, request, entry=entry)


@add("authorised", "the leader has lost its authority", "plain", None)
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

        @add("sent", _text, _request, _reason)
        async def _(deployment, request, reason=_reason):
            answer_all(deployment, base.NotRun(reason=reason))
            return await send(deployment, request)

    for _reason, _text in (
        (Unknown.ANSWER_LOST, "the connection is lost"),
        (Unknown.ANSWER_CUT, "the answer is cut short"),
        (Unknown.TIMEOUT, "the answer is late"),
    ):

        @add("answered", _text, _request, _reason)
        async def _(deployment, request, reason=_reason):
            answer_all(deployment, base.Unknown(reason=reason))
            return await send(deployment, request)


@add("remembered", "another body under the key", "order", NotRun.KEY_REUSED)
async def _(deployment, request):
    entry = find_entry(deployment)
    await send(deployment, request, entry=entry)
    return await send(deployment, request, entry=entry, body=b"other")


@add("remembered", "the key is no UUIDv7", "order", NotRun.BAD_REQUEST)
async def _(deployment, request):
    return await send(deployment, request, key="order-12")


@add("remembered", "the key is too old", "order", Unknown.HISTORY_LOST)
async def _(deployment, request):
    return await send(deployment, request, key=OLD_KEY)


@add(
    "replayed",
    "its answer was too large",
    "order",
    Unknown.EARLIER_UNKNOWN,
)
async def _(deployment, request):
    entry = find_entry(deployment)
    answer_all(deployment, base.Answered(status=200, body=b"x" * 20_000))
    await send(deployment, request, entry=entry)
    return await send(deployment, request, entry=entry)


@add("replayed", "its first run is unknown", "order", Unknown.TIMEOUT)
async def _(deployment, request):
    entry = find_entry(deployment)
    answer_all(deployment, base.Unknown(reason=Unknown.TIMEOUT))
    await send(deployment, request, entry=entry)
    return await send(deployment, request, entry=entry)


@add("replayed", "leader and first run are lost", "order", Unknown.LEADER_LOST)
async def _(deployment, request):
    entry = find_entry(deployment)
    for server in deployment.servers.values():
        server.service_ms = 60_000
    first = testing.spawn(send(deployment, request, entry=entry))
    await deployment.wait(200)
    await find_leader(deployment).kill()
    await first
    return await send(deployment, request, entry=entry, deadline_ms=3000)


@add(
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
