"""Each check of a cell fails without the mechanism that it verifies."""

import msgspec
import pytest

from tarragonhinge import base
from tarragonhinge import daemon
from tarragonhinge import dispatch
from tarragonhinge import faults
from tarragonhinge.faults import _step
from tarragonhinge import shards
from tarragonhinge import standins
from tarragonhinge import stores
from tarragonhinge import testing

Guarantee = faults.Guarantee


def _skip_fences(monkeypatch):
    def ignore(self, fence, *, now):
        return True

    monkeypatch.setattr(standins.GrantTable, "owns", ignore)


def _never_expire(monkeypatch):
    store = standins.GrantTable._store

    def store_without_expiry(self, request, held):
        store(self, request, held)
        held.expires_at = 1 << 60

    monkeypatch.setattr(standins.GrantTable, "_store", store_without_expiry)


def _skip_checks(monkeypatch):
    transact = stores.MemoryTable.transact

    async def skip_checks(self, transaction):
        unchecked = msgspec.structs.replace(transaction, checks=[])
        return await transact(self, unchecked)

    monkeypatch.setattr(stores.MemoryTable, "transact", skip_checks)


def _skip_history(monkeypatch):
    history = dispatch.RequestHistory
    monkeypatch.setattr(history, "find", lambda self, key, fingerprint: None)


def _hide_draining(monkeypatch):
    take_grants = testing.MemoryServer.take_grants

    def hide(self, request):
        reply = take_grants(self, request)
        return msgspec.structs.replace(reply, draining=False)

    monkeypatch.setattr(testing.MemoryServer, "take_grants", hide)


def _stop_at_once(monkeypatch):
    async def stop(self):
        self.state = type(self.state).LEAVING
        in_flight = self.count_requests_in_flight()
        self.clock.pause()
        await self.transport.stop()
        return in_flight

    monkeypatch.setattr(daemon.Instance, "stop", stop)


def _cut_answers(monkeypatch):
    run = testing.MemoryServer.run

    async def cut(self, request):
        outcome = await run(self, request)
        if isinstance(outcome, base.Answered):
            return base.Answered(status=200, body=outcome.body[:-1])
        return outcome

    monkeypatch.setattr(testing.MemoryServer, "run", cut)


def _deny_runs(monkeypatch):
    run = testing.MemoryServer.run

    async def deny(self, request):
        outcome = await run(self, request)
        if request.path.endswith("5"):
            return base.NotRun(reason=base.NotRunReason.FENCED)
        return outcome

    monkeypatch.setattr(testing.MemoryServer, "run", deny)


def _never_take_over(monkeypatch):
    standby = shards.ShardStandby
    monkeypatch.setattr(standby, "is_leader_silent", lambda self: False)


def _never_reach(monkeypatch):
    step = _step.STEPS.find("renew")
    monkeypatch.setattr(step, "find_target", lambda self, trial, event: None)


@pytest.mark.parametrize(
    ("disable_mechanism", "step", "fault", "guarantee"),
    [
        (_skip_fences, "dispatch-sent", "server-frozen", Guarantee.ONE_OWNER),
        (_never_expire, "renew", "server-frozen", Guarantee.ONE_OWNER),
        (_skip_checks, "move-record", "lease-lapsed", Guarantee.ASSIGNMENT),
        (_skip_checks, "renew", "racing-edits", Guarantee.CONFIGURATION),
        (_skip_history, "dispatch-answered", "process-lost", Guarantee.ONCE),
        (_hide_draining, "renew", "process-paused", Guarantee.LEAVING),
        (_stop_at_once, "renew", "process-paused", Guarantee.PLANNED_STOP),
        (_cut_answers, "renew", "process-paused", Guarantee.WHOLE_ANSWER),
        (_deny_runs, "renew", "process-paused", Guarantee.TRUE_REFUSAL),
        (_never_take_over, "renew", "process-lost", Guarantee.SERVED),
        (_never_reach, "renew", "process-paused", Guarantee.REACHED),
    ],
)
def test_check_fails_without_mechanism(
    disable_mechanism, step, fault, guarantee, monkeypatch
):
    cell = faults.Cell(step=step, faults=(fault,))
    assert faults.run_cell(cell) == []
    disable_mechanism(monkeypatch)
    violated = {violation.guarantee for violation in faults.run_cell(cell)}
    assert guarantee in violated
