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
MOVE_LIMIT = 6

#: Segments for each server beyond which none is cut in three.
SEGMENTS_PER_SERVER = 5

#: Cost of cutting a segment once more, in parts of the wanted load.
CUT_COST = 0.08

#: Cost of moving all keys, in parts of the wanted load.
WIDTH_COST = 3.0

#: Part of the wanted load that a move may exceed it by.
EXCESS_PART = 1.15

#: Least and greatest part of a piece that is worth a move.
LEAST_PART = 0.3


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Capacity:
    """What one server can take.

    Parameters
    ----------
    server : ServerId
        Its id.
    per_s : float
        Requests that it can run in a second.
    """

    server: base.ServerId
    per_s: float


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
    >>> divide_evenly([Capacity(server="a", per_s=1),
    ...                Capacity(server="b", per_s=3)])
    [(0, 16383, 'a'), (16384, 65535, 'b')]
    """
    total = sum(capacity.per_s for capacity in capacities)
    parts, first, used = [], 0, 0.0
    for capacity in capacities:
        used += capacity.per_s
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
        self.capacity = {c.server: c.per_s for c in capacities}
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
        First keys of segments that must stay where they are for now.
    """
    moves: list[PlannedMove] = []
    if len(balance.capacity) < 2:
        return moves
    while len(moves) < MOVE_LIMIT:
        move = _plan_one(balance, resting or {})
        if move is None:
            break
        balance.move(move)
        moves.append(move)
    return moves


def _plan_one(
    balance: Balance, resting: Mapping[int, bool]
) -> PlannedMove | None:
    empty = [s for s, ranges in balance.held.items() if not ranges]
    source = max(balance.capacity, key=balance.get_use)
    if empty:
        target = empty[0]
        total = sum(balance.capacity.values())
        part = balance.capacity[target] / total
        want = FILL_PART * part * sum(balance.demand.values())
    else:
        target = balance.find_idlest()
        use, least = balance.get_use(source), balance.get_use(target)
        if use < BUSY or use - least < GAP:
            return None
        has, gets = balance.capacity[source], balance.capacity[target]
        want = (use - least) * has * gets / (has + gets)
    piece = _find_piece(balance, source, want, resting)
    if piece is None and empty:
        widest = max(balance.held[source], key=lambda r: r[1] - r[0])
        middle = (widest[0] + widest[1]) // 2
        if widest[0] == widest[1]:
            return None
        piece = (middle + 1, widest[1])
    if piece is None:
        return None
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
    count = sum(len(ranges) for ranges in balance.held.values())
    may_cut_twice = count < SEGMENTS_PER_SERVER * len(balance.capacity)
    best, best_score = None, 0.0
    if want <= 0:
        return None
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
            if score > best_score or best is None:
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
        pieces.append((first, profile.keys[begin]))
    return pieces
