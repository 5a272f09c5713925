"""Each caller gets its own complete answer, or a typed outcome."""

import hypothesis
from hypothesis import strategies

from tarragonhinge import base
from tarragonhinge import testing

FAULTS = ("none", "none", "late", "cut", "lost", "shed")
METHODS = ("GET", "POST")


class _FaultyRuns:
    """Wraps the runs of a server, with a fault for each path."""

    def __init__(self, server, faults):
        self._server = server
        self._run = server.run
        self._faults = faults

    async def run(self, request):
        fault = self._faults[request.path]
        if fault == "shed":
            return base.NotRun(reason=base.NotRunReason.SERVER_SHED)
        outcome = await self._run(request)
        if fault == "late":
            await self._server.clock.sleep(700)
        elif fault == "cut":
            return base.Unknown(reason=base.UnknownReason.ANSWER_CUT)
        elif fault == "lost":
            return base.Unknown(reason=base.UnknownReason.ANSWER_LOST)
        return outcome


@hypothesis.settings(derandomize=True, max_examples=25, deadline=None)
@hypothesis.given(
    requests=strategies.lists(
        strategies.tuples(
            strategies.sampled_from(METHODS),
            strategies.sampled_from(FAULTS),
            strategies.integers(0, 2),
        ),
        min_size=5,
        max_size=40,
    ),
    jitter_ms=strategies.integers(0, 60),
    duplication=strategies.sampled_from([0.0, 0.3]),
    loss=strategies.sampled_from([0.0, 0.05]),
    seed=strategies.integers(0, 1000),
)
def test_answers_never_reach_another_caller(
    requests, jitter_ms, duplication, loss, seed
):
    async def scenario():
        deployment = testing.Deployment(row=testing.make_row(slots=40))
        await deployment.start()
        network = deployment.network
        network.jitter_ms = jitter_ms
        network.duplication = duplication
        network.loss = loss
        network.rng.seed(seed)
        faults = {}
        for server in deployment.servers.values():
            server.run = _FaultyRuns(server, faults).run
        calls = {}
        for number, (method, fault, entry) in enumerate(requests):
            path = f"/balances/k{number}"
            faults[path] = fault
            calls[path] = testing.spawn(
                deployment.send(
                    deployment.nodes[entry],
                    f"k{number}",
                    method=method,
                    deadline_ms=600,
                )
            )
            await deployment.wait(5)
        runs = {}
        for path, call in calls.items():
            outcome = await call
            runs[path] = sum(
                run.path == path
                for server in deployment.servers.values()
                for run in server.runs
            )
            if isinstance(outcome, base.Answered):
                own = outcome.body.decode().split()[1:]
                assert own == [own[0], path]
                assert own[0] in METHODS
                assert runs[path] >= 1
            elif isinstance(outcome, base.NotRun):
                assert runs[path] == 0
            else:
                assert isinstance(outcome, base.Unknown)
        for number, (method, _, _) in enumerate(requests):
            if method == "POST":
                assert runs[f"/balances/k{number}"] <= 1

    testing.run_manual(scenario())
