"""Open-loop load generator with seeded arrivals."""

import asyncio
import dataclasses
import random

from tarragonhinge import base
from tarragonhinge.testing import _deployment


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Sample:
    """Measurement of one request.

    Parameters
    ----------
    priority : int
        Urgency in the request's Priority header field.
    sent_at : int
        Time of sending on the entry instance's clock, in milliseconds.
    latency_ms : int
        Time from sending to the outcome.
    outcome : Outcome
        Outcome that the caller received.
    """

    priority: int
    sent_at: int
    latency_ms: int
    outcome: base.Outcome


class OpenLoad:
    """Poisson arrivals whose rate does not depend on response times.

    Parameters
    ----------
    deployment : Deployment
        Deployment under load; its instances are used in rotation.
    rate : float
        Mean arrival rate in requests per second.
    deadline_ms : int
        Deadline of each request.
    high_priority_fraction : float
        Fraction of the requests with high priority (``u=1``); the others
        have a low one (``u=5``).
    keys : int
        Number of distinct keys.
    skew : float
        Exponent of the Zipf distribution of the keys; 0 for a uniform
        distribution.
    seed : int
        Seed of the random number generator.

    Attributes
    ----------
    samples : list of Sample
        Completed requests, in order of completion.
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
        """Send requests for a duration and return a sample of each."""
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
        """Return how many requests were answered within their deadline.

        Parameters
        ----------
        priority : int or None
            Priority of the counted requests; all if None.
        """
        return sum(
            isinstance(sample.outcome, base.Answered)
            and sample.latency_ms <= self._deadline_ms
            for sample in self.samples
            if priority in (None, sample.priority)
        )
