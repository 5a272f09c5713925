"""Open-loop load with seeded arrivals."""

import asyncio
import dataclasses
import random

from tarragonhinge import base
from tarragonhinge.testing import _deployment


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Sample:
    """One request of a load.

    Parameters
    ----------
    priority : int
        Urgency that it stated.
    sent_at : int
        When it was sent.
    latency_ms : int
        Time until its outcome.
    outcome : Outcome
        How it ended.
    """

    priority: int
    sent_at: int
    latency_ms: int
    outcome: base.Outcome


class OpenLoad:
    """Requests that arrive at random, however slow the answers are.

    Parameters
    ----------
    deployment : Deployment
        Receives the requests, through its nodes in turn.
    rate : float
        Mean arrivals a second.
    deadline_ms : int
        Deadline of each request.
    high_priority_fraction : float
        Part of the requests with high priority; the others state a low
        one.
    keys : int
        Number of different keys.
    skew : float
        Exponent of a Zipf distribution over the keys; 0 for none.
    seed : int
        Seed of the random number generator.
    """

    def __init__(
        self,
        *,
        deployment: _deployment.Deployment,
        rate: float,
        deadline_ms: int = 500,
        high_priority_fraction: float = 1.0,
        keys: int = 10_000,
        skew: float = 0.0,
        seed: int = 0,
    ) -> None:
        self.samples: list[Sample] = []
        self._deployment = deployment
        self._rate = rate
        self._deadline_ms = deadline_ms
        self._high_priority_fraction = high_priority_fraction
        self._keys = range(keys)
        self._weights = [(key + 1) ** -skew for key in self._keys]
        self._rng = random.Random(seed)

    async def run(self, duration_ms: int) -> list[Sample]:
        """Send for a time and return all outcomes."""
        nodes = self._deployment.nodes
        count = int(self._rate * duration_ms / base.MS_PER_S)
        keys = self._rng.choices(self._keys, self._weights, k=count)
        sends = []
        for sequence, key in enumerate(keys):
            await asyncio.sleep(self._rng.expovariate(self._rate))
            node = nodes[sequence % len(nodes)]
            sends.append(asyncio.create_task(self._send(node, key)))
        await asyncio.gather(*sends)
        return self.samples

    async def _send(self, node: _deployment.Node, key: int) -> None:
        priority = (
            1 if self._rng.random() < self._high_priority_fraction else 5
        )
        sent_at = node.clock.now()
        outcome = await self._deployment.send(
            node,
            f"k{key}",
            deadline_ms=self._deadline_ms,
            headers=[("Priority", f"u={priority}")],
        )
        self.samples.append(
            Sample(
                priority=priority,
                sent_at=sent_at,
                latency_ms=node.clock.now() - sent_at,
                outcome=outcome,
            )
        )

    def count_good(self, priority: int | None = None) -> int:
        """Return the requests answered within their deadline."""
        return sum(
            isinstance(sample.outcome, base.Answered)
            and sample.latency_ms <= self._deadline_ms
            for sample in self.samples
            if priority in (None, sample.priority)
        )
