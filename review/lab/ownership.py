"""Finds times at which two backend servers held the same keys."""

import dataclasses

from review.lab import upstream


@dataclasses.dataclass(frozen=True, kw_only=True)
class Overlap:
    """Keys that two servers held at the same time."""

    left: upstream.Hold
    right: upstream.Hold
    first: int
    last: int
    since: float
    until: float
    runs: tuple[int, int]

    @property
    def seconds(self) -> float:
        """Duration."""
        return self.until - self.since


def find_overlaps(servers: list[upstream.Upstream]) -> list[Overlap]:
    """Return all overlaps of two different servers, the longest first."""
    runs = {server.name: server.runs for server in servers}
    holds = [hold for server in servers for hold in server.holds]
    overlaps = []
    for index, left in enumerate(holds):
        for right in holds[index + 1 :]:
            if left.server == right.server:
                continue
            first = max(left.first, right.first)
            last = min(left.last, right.last)
            since = max(left.since, right.since)
            until = min(left.until, right.until)
            if first > last or since >= until:
                continue
            counts = tuple(
                sum(
                    first <= run.key <= last and since <= run.began_at < until
                    for run in runs[hold.server]
                )
                for hold in (left, right)
            )
            overlaps.append(
                Overlap(
                    left=left,
                    right=right,
                    first=first,
                    last=last,
                    since=since,
                    until=until,
                    runs=counts,
                )
            )
    return sorted(overlaps, key=lambda o: o.seconds, reverse=True)
