"""What every cell does and checks once its faults are healed."""

import asyncio
import uuid

from tarragonhinge import base
from tarragonhinge import configuration
from tarragonhinge.faults import _load
from tarragonhinge.faults import _promise
from tarragonhinge.faults import _trial
from tarragonhinge import testing

#: Time after which a leaving server gets no new work.
LEAVING_MS = 5000

#: Target of the users: an accepted edit is in force everywhere.
IN_FORCE_MS = 12_000

#: How long the load goes on after the leaving server's time.
LATE_MS = 300

#: How long servers work on a request, so that some are in flight.
SERVICE_MS = 15

#: Time before a planned stop, so that none of the requests in flight
#: has spent its deadline on an earlier fault.
CALM_MS = _load.DEADLINE_MS + _load.PATIENCE_MS

#: How long callers send more, from before to after a handover.
BURST_MS = 600

#: Bound on a planned stop.
STOP_LIMIT_MS = 6000

#: Fewest answered reads and orders run that make a cell count.
FEWEST = 8


async def end_trial(trial: _trial.Trial) -> None:
    """Drain, edit and stop under load, then check all promises."""
    if not trial.drained:
        trial.drain(trial.find_server(_trial.Place(node="")))
    drained_at = max(trial.drained.values())
    edit = asyncio.create_task(trial.edit(trial.load.list_entries()[-1]))
    await trial.deployment.wait(CALM_MS)
    await _stop_leader(trial)
    left_ms = drained_at + LEAVING_MS + LATE_MS - base.Clock().now()
    await trial.deployment.wait(max(LATE_MS, left_ms))
    await _wait_edits(trial, edit)
    await trial.load.stop()
    await trial.deployment.wait(_load.DEADLINE_MS)
    await _check_history(trial)
    _check_answers(trial)
    _check_runs(trial)
    _check_leaving(trial)
    _check_ownership(trial)


async def _stop_leader(trial: _trial.Trial) -> None:
    """Stop the leader as planned, and see whether it cuts off requests."""
    for server in trial.deployment.servers.values():
        server.service_ms = SERVICE_MS
    promise = _promise.Promise.PLANNED_STOP
    if not trial.deployment.find_leaders():
        trial.note(promise, "no instance leads that could be stopped")
        return
    started_at = base.Clock().now()
    leader = trial.find_leader()
    horizon = _read_horizon(trial, leader)
    trial.load.start_burst(BURST_MS)
    await trial.deployment.wait(BURST_MS // 4)
    stopping = asyncio.create_task(trial.stop_node(leader))
    done, _ = await asyncio.wait(
        {stopping}, timeout=STOP_LIMIT_MS / base.MS_PER_S
    )
    ended_at = base.Clock().now()
    if not done:
        trial.note(promise, f"the stop took {STOP_LIMIT_MS} ms")
        return
    if stopping.result():
        trial.note(promise, f"{stopping.result()} requests were cut off")
    await trial.deployment.wait(_load.DEADLINE_MS + _load.PATIENCE_MS)
    old = trial.load.list_doubtful(started_at)
    for attempt in trial.load.attempts:
        inside = started_at < attempt.ended_at
        inside = inside and attempt.started_at < ended_at
        known = attempt.request.number not in old
        if not inside or not known:
            continue
        if _load.is_doubtful(attempt.outcome) and not _is_too_old(
            attempt, horizon
        ):
            trial.note(promise, f"cut off: {attempt}")


def _read_horizon(trial: _trial.Trial, leader: testing.Node) -> int:
    """Return the time before which a leader knows of no orders."""
    histories = leader.instance.dispatcher.dump()["histories"]
    return histories.get(trial.deployment.shard, {}).get("horizon", 0)


def _is_too_old(attempt: _load.Attempt, horizon: int) -> bool:
    """Return whether an order was refused for an earlier loss.

    A leader that lacks its predecessor's history refuses orders that
    might have run under it, whether or not an instance stops.
    """
    lost = base.Unknown(reason=base.UnknownReason.HISTORY_LOST)
    if attempt.outcome != lost:
        return False
    minted_ms = uuid.UUID(attempt.request.idempotency_key).int >> 80
    return minted_ms < horizon


# Configuration -----------------------------------------------------------


async def _wait_edits(trial: _trial.Trial, edit: asyncio.Task) -> None:
    """Check that each accepted edit is in force everywhere in time."""
    promise = _promise.Promise.CONFIGURATION
    await asyncio.wait({edit}, timeout=IN_FORCE_MS / base.MS_PER_S)
    if not edit.done():
        trial.note(promise, "no instance accepts an edit")
        edit.cancel()
    if trial.editing is not None and not trial.editing.done():
        trial.note(promise, "the first edit was never accepted")
    if not trial.accepted:
        return
    wanted = max(trial.accepted, key=lambda accepted: accepted.version)
    limit_at = wanted.at_ms + IN_FORCE_MS
    while base.Clock().now() < limit_at and _list_behind(trial, wanted):
        await trial.deployment.wait(_trial.CHECK_PERIOD_MS)
    behind = _list_behind(trial, wanted)
    if behind:
        trial.note(promise, f"{wanted.version} not in force at {behind}")


def _list_behind(
    trial: _trial.Trial, wanted: _trial.AcceptedEdit
) -> list[str]:
    """Return the instances that don't have an edit or a later one."""
    return [
        node.address
        for node in trial.deployment.nodes
        if node.instance.view.current.version < wanted.version
        or (
            node.instance.view.current.version == wanted.version
            and node.instance.view.current.rows != wanted.rows
        )
    ]


async def _check_history(trial: _trial.Trial) -> None:
    """Check that every accepted edit is what its version holds."""
    promise = _promise.Promise.CONFIGURATION
    store = trial.deployment.nodes[0].instance.store
    for edit in trial.accepted:
        record = await store.load_version(edit.version)
        stored = getattr(record, "rows", None)
        if stored != edit.rows:
            trial.note(promise, f"version {edit.version} was lost")
    table = await store.load()
    if not isinstance(table, configuration.OperatorsTable):
        trial.note(promise, "the stored table can't be read")


# Requests ----------------------------------------------------------------


def _list_runs(
    trial: _trial.Trial,
) -> list[tuple[base.ServerId, testing.Run]]:
    servers = trial.deployment.servers.items()
    return [(name, run) for name, server in servers for run in server.runs]


def _check_answers(trial: _trial.Trial) -> None:
    """Check what callers were told against what servers ran."""
    runs = _list_runs(trial)
    ran = {run.attempt for _, run in runs}
    bodies = {f"{name} {run.path}" for name, run in runs}
    for attempt in trial.load.attempts:
        outcome = attempt.outcome
        if isinstance(outcome, base.NotRun) and attempt.name in ran:
            trial.note(_promise.Promise.TRUE_REFUSAL, f"ran: {attempt}")
        if isinstance(outcome, base.Answered):
            _check_body(trial, attempt, bodies)


def _check_body(
    trial: _trial.Trial, attempt: _load.Attempt, bodies: set[str]
) -> None:
    """Check that an answer is the whole one of a server that ran it."""
    request = attempt.request
    server, method, path = attempt.outcome.body.decode().split(" ")
    own = f"/{trial.deployment.row.service}/{request.key}{request.query}"
    expected = (request.method, own)
    if (method, path) != expected or f"{server} {path}" not in bodies:
        promise = _promise.Promise.WHOLE_ANSWER
        trial.note(promise, f"{attempt} was answered {server} {path}")


def _check_runs(trial: _trial.Trial) -> None:
    """Check that orders ran once, and that there were enough of them."""
    counts: dict[str, int] = {}
    for _, run in _list_runs(trial):
        if run.idempotency_key:
            key = run.idempotency_key
            counts[key] = counts.get(key, 0) + 1
    for key, count in counts.items():
        if count > 1:
            trial.note(_promise.Promise.ONCE, f"{key} ran {count} times")
    orders = 0
    for request in trial.load.requests:
        if not request.idempotency_key or (
            request.number not in trial.load.answered
        ):
            continue
        orders += 1
        if request.idempotency_key not in counts:
            trial.note(_promise.Promise.ONCE, f"{request} never ran")
    if min(len(counts), len(trial.load.answered) - orders) < FEWEST:
        trial.note(_promise.Promise.REACHED, "the load was too small")


def _check_leaving(trial: _trial.Trial) -> None:
    """Check that servers that leave got no work after their time."""
    for name, drained_at in trial.drained.items():
        for run in trial.deployment.servers[name].runs:
            if run.at_ms > drained_at + LEAVING_MS:
                late_ms = run.at_ms - drained_at
                trial.note(
                    _promise.Promise.LEAVING,
                    f"{name} ran {run} {late_ms} ms after it drained",
                )


def _check_ownership(trial: _trial.Trial) -> None:
    """Take over what the monitors saw."""
    for monitor in trial.monitors:
        monitor.check_grants()
        for text in monitor.failures:
            kind = _promise.Promise.ONE_OWNER
            if text in monitor.record_failures:
                kind = _promise.Promise.ASSIGNMENT
            trial.breaches.append(_promise.Breach(promise=kind, text=text))
