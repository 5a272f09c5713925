"""Which server should hold which keys.

Answers hot keys: requests concentrate on a few keys that lie close to
one another and change within seconds, on servers that differ in speed.
Small pieces around the hot keys move from the busiest to the idlest
server, as few keys as carry the excess; where no server is busy nothing
moves.
"""

from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses

from tarragonhinge import base
from tarragonhinge import catalog
from tarragonhinge.ranges import _key_load

#: Utilization from which a server gives keys away.
BUSY = 0.55

#: Difference in utilization that is worth a move.
GAP = 0.2

#: Part of the mean load that a server without keys is given.
FILL_PART = 0.7

#: Moves of one plan.
MOVE_LIMIT = 10

#: Factor in speed for which a key that fills its server is moved.
FASTER = 1.25

#: Segments for each server beyond which none is cut in three.
SEGMENTS_PER_SERVER = 5

#: Cost of cutting a segment once more, in parts of the wanted load.
CUT_COST = 0.08

#: Cost of moving all keys, in parts of the wanted load.
WIDTH_COST = 3.0

#: Part of the wanted load that a move may exceed it by.
EXCESS_PART = 1.15

#: Least part of the wanted load that is worth a move.
LEAST_PART = 0.3


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Capacity:
    """What one server can take.

    Parameters
    ----------
    server : ServerId
        Its id.
    requests_per_s : float
        Requests that it can run in a second.
    """

    server: base.ServerId
    requests_per_s: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PlannedMove:
    """Keys that should go to another server."""

    first: int
    last: int
    source: base.ServerId
    target: base.ServerId


def divide_evenly(
    capacities: Sequence[Capacity],
) -> list[tuple[int, int, base.ServerId]]:
    """Divide all keys by capacity; used before any load is known.

    Examples
    --------
    >>> divide_evenly([Capacity(server="a", requests_per_s=1),
    ...                Capacity(server="b", requests_per_s=3)])
    [(0, 16383, 'a'), (16384, 65535, 'b')]
    """
    total = sum(capacity.requests_per_s for capacity in capacities)
    parts, first, used = [], 0, 0.0
    for capacity in capacities:
        used += capacity.requests_per_s
        end = round(catalog.KEY_COUNT * used / total)
        if end > first:
            parts.append((first, end - 1, capacity.server))
            first = end
    return parts


def divide_by_load(
    first: int,
    last: int,
    profile: _key_load.LoadProfile,
    *,
    pieces: int,
) -> list[tuple[int, int]]:
    """Cut a range into pieces of about equal load."""
    total = profile.sum_range(first, last)
    if pieces <= 1 or first == last or total <= 0:
        return [(first, last)]
    parts, begin = [], first
    for index in range(1, pieces):
        goal = total * index / pieces
        low, high = begin, last
        while low < high:
            middle = (low + high) // 2
            if profile.sum_range(first, middle) < goal:
                low = middle + 1
            else:
                high = middle
        if begin <= low < last:
            parts.append((begin, low))
            begin = low + 1
    parts.append((begin, last))
    return parts


class Balance:
    """Loads of servers while moves are tried out.

    Parameters
    ----------
    owners : OwnerMap
        Present holders.
    profile : LoadProfile
        Requests a second by key.
    capacities : sequence of Capacity
        Servers that may hold keys.
    """

    def __init__(
        self,
        *,
        owners: catalog.OwnerMap,
        profile: _key_load.LoadProfile,
        capacities: Sequence[Capacity],
    ) -> None:
        self.profile = profile
        self.capacity = {c.server: c.requests_per_s for c in capacities}
        self.demand = dict.fromkeys(self.capacity, 0.0)
        self.held: dict[base.ServerId, list[tuple[int, int]]] = {
            server: [] for server in self.capacity
        }
        for segment in owners.segments:
            if segment.server in self.demand:
                self.add(segment.server, segment.first, segment.last)

    def add(self, server: base.ServerId, first: int, last: int) -> None:
        """Give a range to a server."""
        self.held[server].append((first, last))
        self.demand[server] += self.profile.sum_range(first, last)

    def get_use(self, server: base.ServerId) -> float:
        """Return the utilization of a server."""
        return self.demand[server] / self.capacity[server]

    def get_mean_use(self) -> float:
        """Return the utilization of all servers together."""
        return sum(self.demand.values()) / sum(self.capacity.values())

    def list_busiest(self) -> list[base.ServerId]:
        """Return the servers that hold keys, the busiest first."""
        servers = [s for s, ranges in self.held.items() if ranges]
        return sorted(servers, key=self.get_use, reverse=True)

    def find_idlest(self, extra: float = 0.0) -> base.ServerId:
        """Return the server that is least used with `extra` more."""
        return min(
            self.capacity,
            key=lambda s: (self.demand[s] + extra) / self.capacity[s],
        )

    def move(self, move: PlannedMove) -> None:
        """Move a piece of a held range."""
        ranges = self.held[move.source]
        whole = next(r for r in ranges if r[0] <= move.first <= r[1])
        ranges.remove(whole)
        if whole[0] < move.first:
            ranges.append((whole[0], move.first - 1))
        if move.last < whole[1]:
            ranges.append((move.last + 1, whole[1]))
        self.demand[move.source] -= self.profile.sum_range(
            move.first, move.last
        )
        self.add(move.target, move.first, move.last)


def plan_moves(
    balance: Balance, *, resting: Mapping[int, bool] | None = None
) -> list[PlannedMove]:
    """Choose moves from busy to idle servers, and to empty ones.

    Parameters
    ----------
    balance : Balance
        Present loads; the moves are applied to it.
    resting : mapping, optional
        First keys of ranges that must stay where they are for now.
    """
    moves: list[PlannedMove] = []
    if len(balance.capacity) < 2:
        return moves
    still = dict(resting or {})
    while len(moves) < MOVE_LIMIT:
        move = _fill_empty(balance, still) or _relieve_busy(balance, still)
        if move is None:
            break
        balance.move(move)
        # What has arrived by this plan must not be moved on by it.
        still[move.first] = True
        moves.append(move)
    return moves


def _fill_empty(
    balance: Balance, resting: Mapping[int, bool]
) -> PlannedMove | None:
    """Give a server without keys its part, from the busiest server."""
    target = next((s for s, held in balance.held.items() if not held), None)
    if target is None:
        return None
    part = balance.capacity[target] / sum(balance.capacity.values())
    want = FILL_PART * part * sum(balance.demand.values())
    for source in balance.list_busiest():
        piece = _find_piece(balance, source, want, resting)
        if piece is None:
            piece = _halve_widest(balance, source, resting)
        if piece is not None:
            return _make_move(piece, source, target)
    return None


def _halve_widest(
    balance: Balance, source: base.ServerId, resting: Mapping[int, bool]
) -> tuple[int, int] | None:
    ranges = [r for r in balance.held[source] if not resting.get(r[0])]
    first, last = max(ranges, key=lambda r: r[1] - r[0], default=(0, 0))
    if first == last:
        return None
    return (first + last) // 2 + 1, last


def _relieve_busy(
    balance: Balance, resting: Mapping[int, bool]
) -> PlannedMove | None:
    """Move what exceeds the mean from a busy server to an idle one."""
    mean = balance.get_mean_use()
    for source in balance.list_busiest():
        use = balance.get_use(source)
        if use < BUSY or use - mean < GAP / 2:
            return None
        target = balance.find_idlest()
        if use - balance.get_use(target) < GAP:
            return None
        want = min(
            (use - mean) * balance.capacity[source],
            (mean - balance.get_use(target)) * balance.capacity[target],
        )
        piece = _find_piece(balance, source, want, resting)
        if piece is not None:
            return _make_move(piece, source, target)
        move = _isolate_key(balance, source, resting)
        if move is not None:
            return move
    return None


def _isolate_key(
    balance: Balance, source: base.ServerId, resting: Mapping[int, bool]
) -> PlannedMove | None:
    """Leave a key that fills a server alone there, or on a faster one.

    One key can't be divided.  What else its server holds goes to others,
    and a key that is alone goes to the fastest server, in turn for what
    that one holds.
    """
    for first, last in balance.held[source]:
        key = balance.profile.find_heaviest(first, last)
        if key is None or resting.get(first):
            continue
        if (
            balance.profile.sum_range(key, key)
            < BUSY * (balance.capacity[source])
        ):
            continue
        sides = [(first, key - 1), (key + 1, last)]
        rests = [side for side in sides if side[0] <= side[1]]
        if rests:
            piece = max(
                rests, key=lambda side: balance.profile.sum_range(*side)
            )
            return _make_move(piece, source, balance.find_idlest())
        target = max(balance.capacity, key=lambda s: balance.capacity[s])
        gain = balance.capacity[target] / balance.capacity[source]
        if gain >= FASTER and balance.get_use(target) < 1:
            return _make_move((first, last), source, target)
    return None


def _make_move(
    piece: tuple[int, int], source: base.ServerId, target: base.ServerId
) -> PlannedMove:
    return PlannedMove(
        first=piece[0], last=piece[1], source=source, target=target
    )


def _find_piece(
    balance: Balance,
    source: base.ServerId,
    want: float,
    resting: Mapping[int, bool],
) -> tuple[int, int] | None:
    """Return adjacent keys that carry about the wanted load."""
    if want <= 0:
        return None
    count = sum(len(ranges) for ranges in balance.held.values())
    may_cut_twice = count < SEGMENTS_PER_SERVER * len(balance.capacity)
    best, best_score = None, 0.0
    for first, last in balance.held[source]:
        if resting.get(first):
            continue
        for piece in _list_pieces(balance.profile, first, last, want):
            cuts = (piece[0] > first) + (piece[1] < last)
            if cuts == 2 and not may_cut_twice:
                continue
            load = balance.profile.sum_range(*piece)
            if not LEAST_PART * want <= load <= EXCESS_PART * want:
                continue
            width = (piece[1] - piece[0] + 1) / catalog.KEY_COUNT
            score = min(load, want) / want
            score -= CUT_COST * cuts + WIDTH_COST * width
            if best is None or score > best_score:
                best, best_score = piece, score
    return best


def _list_pieces(
    profile: _key_load.LoadProfile, first: int, last: int, want: float
) -> list[tuple[int, int]]:
    """Return the narrowest runs of keys from each counted key."""
    pieces = [(first, last)]
    low, high = profile.find_span(first, last)
    end = low
    for begin in range(low, high):
        end = max(end, begin)
        begin_key = profile.keys[begin]
        while (
            end + 1 < high
            and profile.sum_range(begin_key, profile.keys[end]) < 0.9 * want
        ):
            end += 1
        pieces.append((begin_key, profile.keys[end]))
        pieces.append((begin_key, last))
        pieces.append((first, begin_key))
        if begin_key < last:
            pieces.append((begin_key + 1, last))
        if begin_key > first:
            pieces.append((first, begin_key - 1))
    return pieces
