"""Actions and checks of every cell after its faults are healed."""

import asyncio
import uuid

from tarragonhinge import base
from tarragonhinge import configuration
from tarragonhinge.faults import _guarantee
from tarragonhinge.faults import _load
from tarragonhinge.faults import _trial
from tarragonhinge import testing

#: Time for which a draining server may still get requests.
DRAIN_LIMIT_MS = 5000

#: Target time within which an accepted edit is in force at all instances.
IN_FORCE_LIMIT_MS = 12_000

#: Time for which the load continues after the drain limit.
EXTRA_LOAD_MS = 300

#: Service time of requests, such that some are in flight at a stop.
SERVICE_MS = 15

#: Delay before the planned stop, so that no request in flight has used up
#: its deadline because of an earlier fault.
STOP_DELAY_MS = _load.DEADLINE_MS + _load.CALLER_GRACE_MS

#: Duration of the burst of requests, which spans the handover.
BURST_MS = 600

#: Maximum duration of a planned stop.
STOP_LIMIT_MS = 6000

#: Minimum number of answered GET requests and of POST requests that ran.
MIN_REQUESTS = 8


async def run_final_checks(trial: _trial.Trial) -> None:
    """Check all guarantees after a drain, an edit and a planned stop.

    The server drains, the table is edited and the leader stops under load,
    so that every cell exercises each guarantee.
    """
    if not trial.drained:
        trial.drain(trial.find_server(_trial.FaultTarget(node="")))
    drained_at = max(trial.drained.values())
    edit = asyncio.create_task(trial.edit(trial.load.list_entries()[-1]))
    await trial.deployment.wait(STOP_DELAY_MS)
    await _stop_leader(trial)
    remaining_ms = (
        drained_at + DRAIN_LIMIT_MS + EXTRA_LOAD_MS - base.Clock().now()
    )
    await trial.deployment.wait(max(EXTRA_LOAD_MS, remaining_ms))
    await _wait_edits(trial, edit)
    await trial.load.stop()
    await trial.deployment.wait(_load.DEADLINE_MS)
    await _check_history(trial)
    _check_answers(trial)
    _check_runs(trial)
    _check_draining(trial)
    _check_ownership(trial)


async def _stop_leader(trial: _trial.Trial) -> None:
    """Stop the leader as planned and check that no request is cut off."""
    for server in trial.deployment.servers.values():
        server.service_ms = SERVICE_MS
    guarantee = _guarantee.Guarantee.PLANNED_STOP
    if not trial.deployment.find_leaders():
        trial.record_violation(
            guarantee, "no instance leads that could be stopped"
        )
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
        trial.record_violation(guarantee, f"the stop took {STOP_LIMIT_MS} ms")
        return
    if stopping.result():
        trial.record_violation(
            guarantee, f"{stopping.result()} requests were cut off"
        )
    await trial.deployment.wait(_load.DEADLINE_MS + _load.CALLER_GRACE_MS)
    unknown_before = trial.load.list_unknown(started_at)
    for attempt in trial.load.attempts:
        overlaps = started_at < attempt.ended_at
        overlaps = overlaps and attempt.started_at < ended_at
        was_known = attempt.request.number not in unknown_before
        if not overlaps or not was_known:
            continue
        if _load.is_unknown(attempt.outcome) and not _predates_history(
            attempt, horizon
        ):
            trial.record_violation(guarantee, f"cut off: {attempt}")


def _read_horizon(trial: _trial.Trial, leader: testing.Node) -> int:
    """Return the time at which a leader's request history begins."""
    histories = leader.instance.dispatcher.dump()["histories"]
    return histories.get(trial.deployment.shard, {}).get("horizon", 0)


def _predates_history(attempt: _load.Attempt, horizon: int) -> bool:
    """Return whether a lost request history explains an unknown outcome.

    A leader without its predecessor's request history refuses POST
    requests that might have run under the predecessor, with or without a
    planned stop.
    """
    lost = base.Unknown(reason=base.UnknownReason.HISTORY_LOST)
    if attempt.outcome != lost:
        return False
    key_created_at = uuid.UUID(attempt.request.idempotency_key).int >> 80
    return key_created_at < horizon


# Configuration -----------------------------------------------------------


async def _wait_edits(trial: _trial.Trial, edit: asyncio.Task) -> None:
    """Check that the latest accepted edit is in force everywhere in time."""
    guarantee = _guarantee.Guarantee.CONFIGURATION
    await asyncio.wait({edit}, timeout=IN_FORCE_LIMIT_MS / base.MS_PER_S)
    if not edit.done():
        trial.record_violation(guarantee, "no instance accepts an edit")
        edit.cancel()
    if trial.editing is not None and not trial.editing.done():
        trial.record_violation(guarantee, "the first edit was never accepted")
    if not trial.accepted:
        return
    latest_edit = max(trial.accepted, key=lambda accepted: accepted.version)
    limit_at = latest_edit.at_ms + IN_FORCE_LIMIT_MS
    while base.Clock().now() < limit_at and _list_lagging(trial, latest_edit):
        await trial.deployment.wait(_trial.CHECK_PERIOD_MS)
    lagging = _list_lagging(trial, latest_edit)
    if lagging:
        trial.record_violation(
            guarantee, f"{latest_edit.version} not in force at {lagging}"
        )


def _list_lagging(
    trial: _trial.Trial, latest_edit: _trial.AcceptedEdit
) -> list[str]:
    """Return the instances where neither an edit nor a later one applies."""
    return [
        node.address
        for node in trial.deployment.nodes
        if node.instance.view.current.version < latest_edit.version
        or (
            node.instance.view.current.version == latest_edit.version
            and node.instance.view.current.rows != latest_edit.rows
        )
    ]


async def _check_history(trial: _trial.Trial) -> None:
    """Check that each accepted edit is stored under its version."""
    guarantee = _guarantee.Guarantee.CONFIGURATION
    store = trial.deployment.nodes[0].instance.store
    for edit in trial.accepted:
        record = await store.load_version(edit.version)
        stored = getattr(record, "rows", None)
        if stored != edit.rows:
            trial.record_violation(
                guarantee, f"version {edit.version} was lost"
            )
    table = await store.load()
    if not isinstance(table, configuration.OperatorsTable):
        trial.record_violation(guarantee, "the stored table can't be read")


# Requests ----------------------------------------------------------------


def _list_runs(
    trial: _trial.Trial,
) -> list[tuple[base.ServerId, testing.Run]]:
    servers = trial.deployment.servers.items()
    return [(name, run) for name, server in servers for run in server.runs]


def _check_answers(trial: _trial.Trial) -> None:
    """Check the outcomes of attempts against the servers' executions."""
    runs = _list_runs(trial)
    ran = {run.attempt for _, run in runs}
    bodies = {f"{name} {run.path}" for name, run in runs}
    for attempt in trial.load.attempts:
        outcome = attempt.outcome
        if isinstance(outcome, base.NotRun) and attempt.name in ran:
            trial.record_violation(
                _guarantee.Guarantee.TRUE_REFUSAL,
                f"ran: {attempt}",
            )
        if isinstance(outcome, base.Answered):
            _check_body(trial, attempt, bodies)


def _check_body(
    trial: _trial.Trial, attempt: _load.Attempt, bodies: set[str]
) -> None:
    """Check that an answer is complete and belongs to its request."""
    request = attempt.request
    server, method, path = attempt.outcome.body.decode().split(" ")
    sent_path = f"/{trial.deployment.row.service}/{request.key}{request.query}"
    expected = (request.method, sent_path)
    if (method, path) != expected or f"{server} {path}" not in bodies:
        guarantee = _guarantee.Guarantee.WHOLE_ANSWER
        trial.record_violation(
            guarantee, f"{attempt} was answered {server} {path}"
        )


def _check_runs(trial: _trial.Trial) -> None:
    """Check that each POST ran once and that enough requests ran."""
    counts: dict[str, int] = {}
    for _, run in _list_runs(trial):
        if run.idempotency_key:
            key = run.idempotency_key
            counts[key] = counts.get(key, 0) + 1
    for key, count in counts.items():
        if count > 1:
            trial.record_violation(
                _guarantee.Guarantee.ONCE, f"{key} ran {count} times"
            )
    answered_posts = 0
    for request in trial.load.requests:
        if not request.idempotency_key or (
            request.number not in trial.load.answered
        ):
            continue
        answered_posts += 1
        if request.idempotency_key not in counts:
            trial.record_violation(
                _guarantee.Guarantee.ONCE, f"{request} never ran"
            )
    if (
        min(len(counts), len(trial.load.answered) - answered_posts)
        < MIN_REQUESTS
    ):
        trial.record_violation(
            _guarantee.Guarantee.REACHED, "the load was too small"
        )


def _check_draining(trial: _trial.Trial) -> None:
    """Check that draining servers got no work after the drain limit."""
    for name, drained_at in trial.drained.items():
        for run in trial.deployment.servers[name].runs:
            if run.at_ms > drained_at + DRAIN_LIMIT_MS:
                late_ms = run.at_ms - drained_at
                trial.record_violation(
                    _guarantee.Guarantee.LEAVING,
                    f"{name} ran {run} {late_ms} ms after it drained",
                )


def _check_ownership(trial: _trial.Trial) -> None:
    """Add the violations that the monitors have recorded."""
    for monitor in trial.monitors:
        monitor.check_grants()
        for text in monitor.failures:
            guarantee = _guarantee.Guarantee.ONE_OWNER
            if text in monitor.record_failures:
                guarantee = _guarantee.Guarantee.ASSIGNMENT
            trial.violations.append(
                _guarantee.Violation(guarantee=guarantee, text=text)
            )
