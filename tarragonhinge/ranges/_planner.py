"""Plans which server should hold which key ranges.

The planner is designed for hot keys: requests concentrate on a few keys
that lie close together and change within seconds, and servers differ in
speed. Small pieces around the hot keys move from the server with the
highest utilization to the one with the lowest. A piece carries about the
excess load and contains as few other keys as possible. Nothing moves while
no server is busy: the requests for keys that move wait until the running ones
have ended, which costs them more than a short wait for a slot.
"""

from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import functools

from tarragonhinge import base
from tarragonhinge import catalog
from tarragonhinge.ranges import _key_load

#: Mean wait for a slot, as a multiple of the service time, from which keys are
#: moved away from a server. While they move, they are unserved for about one
#: service time.
BUSY_WAIT_RATIO = 0.43

#: Utilization of a server, relative to the mean, up to which it gets keys from
#: a server at `SPARE_SOURCE_UTILIZATION`: it has returned, or has become warm.
UNDERUSED_RATIO = 1 / 3
SPARE_SOURCE_UTILIZATION = 0.55

#: Precision of the utilization that corresponds to this wait.
UTILIZATION_STEP = 0.01

#: Smallest difference in utilization between source and target for which
#: keys are moved.
MIN_UTILIZATION_GAP = 0.2

#: Load that is moved to a server without keys, as a fraction of the share of
#: the total load that corresponds to its capacity.
EMPTY_SERVER_LOAD_RATIO = 0.7

#: Largest number of moves in one plan.
MAX_MOVES_PER_PLAN = 10

#: Ratio of the target's to the source's capacity from which a key that
#: saturates its server is moved to a faster one.
MIN_KEY_MOVE_SPEEDUP = 1.25

#: Mean number of segments per server from which no move may split a segment
#: in three.
MAX_SEGMENTS_PER_SERVER = 5

#: Cost of each cut of a segment, as a fraction of the wanted load.
SEGMENT_CUT_COST = 0.08

#: Cost of moving the whole key space, as a multiple of the wanted load; the
#: cost of a piece is proportional to its width.
KEY_SPACE_MOVE_COST = 3.0

#: Largest load of a moved piece, as a ratio to the wanted load.
MAX_PIECE_LOAD_RATIO = 1.15

#: Smallest load of a moved piece, as a ratio to the wanted load.
MIN_PIECE_LOAD_RATIO = 0.3


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Capacity:
    """Capacity of one server.

    Parameters
    ----------
    server : ServerId
        Id of the server.
    requests_per_s : float
        Highest request rate that the server can process.
    slots : int
        Number of requests that it processes concurrently.
    """

    server: base.ServerId
    requests_per_s: float
    slots: int = 2


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PlannedMove:
    """Planned move of a key range to another server.

    Parameters
    ----------
    first, last : int
        Bounds of the key range, both inclusive.
    source : ServerId
        Present holder of the keys.
    target : ServerId
        Planned holder of the keys.
    """

    first: int
    last: int
    source: base.ServerId
    target: base.ServerId


@functools.cache
def compute_busy_utilization(slots: int) -> float:
    """Return the utilization at which requests wait for `BUSY_WAIT_RATIO`.

    The more slots a server has, the later its requests begin to wait
    (Erlang C).

    Examples
    --------
    >>> [round(compute_busy_utilization(slots), 2) for slots in (1, 2, 4, 6)]
    [0.31, 0.55, 0.73, 0.8]
    """
    utilization = UTILIZATION_STEP
    while utilization < 1.0 - UTILIZATION_STEP:
        load = slots * utilization
        # Erlang B by its recursion, from which Erlang C follows.
        blocking = 1.0
        for count in range(1, slots + 1):
            blocking = load * blocking / (count + load * blocking)
        waiting = blocking / (1 - utilization * (1 - blocking))
        if waiting / (slots * (1 - utilization)) >= BUSY_WAIT_RATIO:
            break
        utilization += UTILIZATION_STEP
    return utilization


def divide_evenly(
    capacities: Sequence[Capacity],
) -> list[tuple[int, int, base.ServerId]]:
    """Divide the key space in proportion to the servers' capacities.

    Used before any load is known.

    Examples
    --------
    >>> divide_evenly([Capacity(server="a", requests_per_s=1),
    ...                Capacity(server="b", requests_per_s=3)])
    [(0, 16383, 'a'), (16384, 65535, 'b')]
    """
    total = sum(capacity.requests_per_s for capacity in capacities)
    parts, first, assigned = [], 0, 0.0
    for capacity in capacities:
        assigned += capacity.requests_per_s
        end = round(catalog.KEY_COUNT * assigned / total)
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
    """Divide a key range into at most `pieces` parts of about equal load."""
    total = profile.sum_range(first, last)
    if pieces <= 1 or first == last or total <= 0:
        return [(first, last)]
    parts, begin = [], first
    for index in range(1, pieces):
        target_load = total * index / pieces
        low, high = begin, last
        while low < high:
            middle = (low + high) // 2
            if profile.sum_range(first, middle) < target_load:
                low = middle + 1
            else:
                high = middle
        if begin <= low < last:
            parts.append((begin, low))
            begin = low + 1
    parts.append((begin, last))
    return parts


class Balance:
    """Key ranges and load of each server, updated as moves are planned.

    Parameters
    ----------
    owners : OwnerMap
        Present lease holders.
    profile : LoadProfile
        Requests per second by key.
    capacities : sequence of Capacity
        Servers that may hold keys.

    Attributes
    ----------
    capacity : dict
        Requests per second that each server can process.
    busy_utilization : dict
        Utilization of each server from which its requests wait for long.
    demand : dict
        Requests per second for the keys of each server.
    ranges_by_server : dict
        Key ranges of each server, as first and last key.
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
        self.busy_utilization = {
            c.server: compute_busy_utilization(c.slots) for c in capacities
        }
        self.demand = dict.fromkeys(self.capacity, 0.0)
        self.ranges_by_server: dict[base.ServerId, list[tuple[int, int]]] = {
            server: [] for server in self.capacity
        }
        for segment in owners.segments:
            if segment.server in self.demand:
                self.add(segment.server, segment.first, segment.last)

    def add(self, server: base.ServerId, first: int, last: int) -> None:
        """Assign a key range to a server."""
        self.ranges_by_server[server].append((first, last))
        self.demand[server] += self.profile.sum_range(first, last)

    def get_utilization(self, server: base.ServerId) -> float:
        """Return the utilization of a server."""
        return self.demand[server] / self.capacity[server]

    def get_mean_utilization(self) -> float:
        """Return the total demand divided by the total capacity."""
        return sum(self.demand.values()) / sum(self.capacity.values())

    def list_busiest(self) -> list[base.ServerId]:
        """Return the servers that hold keys, by descending utilization."""
        servers = [s for s, ranges in self.ranges_by_server.items() if ranges]
        return sorted(servers, key=self.get_utilization, reverse=True)

    def find_least_utilized(self, extra_load: float = 0.0) -> base.ServerId:
        """Return the server with the lowest utilization.

        Parameters
        ----------
        extra_load : float
            Requests per second that would be added to the server.
        """
        return min(
            self.capacity,
            key=lambda s: (self.demand[s] + extra_load) / self.capacity[s],
        )

    def move(self, move: PlannedMove) -> None:
        """Apply a planned move."""
        ranges = self.ranges_by_server[move.source]
        split = next(r for r in ranges if r[0] <= move.first <= r[1])
        ranges.remove(split)
        if split[0] < move.first:
            ranges.append((split[0], move.first - 1))
        if move.last < split[1]:
            ranges.append((move.last + 1, split[1]))
        self.demand[move.source] -= self.profile.sum_range(
            move.first, move.last
        )
        self.add(move.target, move.first, move.last)


def plan_moves(
    balance: Balance, *, pinned: Mapping[int, bool] | None = None
) -> list[PlannedMove]:
    """Plan moves from busy servers to less utilized ones or ones without keys.

    Parameters
    ----------
    balance : Balance
        Present loads; the moves are applied to it.
    pinned : mapping, optional
        Key ranges that must not be moved, by first key.

    Returns
    -------
    list of PlannedMove
        Moves in the order of planning; empty if the load is balanced.
    """
    moves: list[PlannedMove] = []
    if len(balance.capacity) < 2:
        return moves
    all_pinned = dict(pinned or {})
    while len(moves) < MAX_MOVES_PER_PLAN:
        move = _fill_empty(balance, all_pinned) or _offload_busy(
            balance, all_pinned
        )
        if move is None:
            break
        balance.move(move)
        # Keys must not move twice within one plan.
        all_pinned[move.first] = True
        moves.append(move)
    return moves


def _fill_empty(
    balance: Balance, pinned: Mapping[int, bool]
) -> PlannedMove | None:
    """Plan a move from a busy server to a server without keys, if any."""
    target = next(
        (s for s, held in balance.ranges_by_server.items() if not held), None
    )
    if target is None:
        return None
    share = balance.capacity[target] / sum(balance.capacity.values())
    wanted_load = (
        EMPTY_SERVER_LOAD_RATIO * share * sum(balance.demand.values())
    )
    for source in balance.list_busiest():
        piece = _find_piece(balance, source, wanted_load, pinned)
        if piece is None:
            piece = _halve_widest(balance, source, pinned)
        if piece is not None:
            return _make_move(piece, source, target)
    return None


def _halve_widest(
    balance: Balance, source: base.ServerId, pinned: Mapping[int, bool]
) -> tuple[int, int] | None:
    ranges = [
        r for r in balance.ranges_by_server[source] if not pinned.get(r[0])
    ]
    first, last = max(ranges, key=lambda r: r[1] - r[0], default=(0, 0))
    if first == last:
        return None
    return (first + last) // 2 + 1, last


def _offload_busy(
    balance: Balance, pinned: Mapping[int, bool]
) -> PlannedMove | None:
    """Plan a move of load above the mean to the least utilized server."""
    mean = balance.get_mean_utilization()
    for source in balance.list_busiest():
        utilization = balance.get_utilization(source)
        target = balance.find_least_utilized()
        busy_utilization = balance.busy_utilization[source]
        if balance.get_utilization(target) < UNDERUSED_RATIO * mean:
            busy_utilization = min(busy_utilization, SPARE_SOURCE_UTILIZATION)
        if (
            utilization < busy_utilization
            or utilization - mean < MIN_UTILIZATION_GAP / 2
        ):
            return None
        if utilization - balance.get_utilization(target) < MIN_UTILIZATION_GAP:
            return None
        wanted_load = min(
            (utilization - mean) * balance.capacity[source],
            (mean - balance.get_utilization(target))
            * balance.capacity[target],
        )
        piece = _find_piece(balance, source, wanted_load, pinned)
        if piece is not None:
            return _make_move(piece, source, target)
        move = _isolate_key(balance, source, pinned)
        if move is not None:
            return move
    return None


def _isolate_key(
    balance: Balance, source: base.ServerId, pinned: Mapping[int, bool]
) -> PlannedMove | None:
    """Plan a move that isolates a key that saturates its server.

    A single key can't be divided. The other keys of its server are moved
    away first; once the key is alone, it is moved to the fastest server
    if that is sufficiently faster.
    """
    for first, last in balance.ranges_by_server[source]:
        key = balance.profile.find_hottest_key(first, last)
        if key is None or pinned.get(first):
            continue
        if (
            balance.profile.sum_range(key, key)
            < balance.busy_utilization[source] * balance.capacity[source]
        ):
            continue
        sides = [(first, key - 1), (key + 1, last)]
        remainders = [side for side in sides if side[0] <= side[1]]
        if remainders:
            piece = max(
                remainders, key=lambda side: balance.profile.sum_range(*side)
            )
            return _make_move(piece, source, balance.find_least_utilized())
        target = max(balance.capacity, key=lambda s: balance.capacity[s])
        speedup = balance.capacity[target] / balance.capacity[source]
        if (
            speedup >= MIN_KEY_MOVE_SPEEDUP
            and balance.get_utilization(target) < 1
        ):
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
    wanted_load: float,
    pinned: Mapping[int, bool],
) -> tuple[int, int] | None:
    """Return the best range of adjacent keys with about the wanted load.

    A higher load raises the score of a range; cuts and width lower it.
    """
    if wanted_load <= 0:
        return None
    count = sum(len(ranges) for ranges in balance.ranges_by_server.values())
    may_cut_twice = count < MAX_SEGMENTS_PER_SERVER * len(balance.capacity)
    best, best_score = None, 0.0
    for first, last in balance.ranges_by_server[source]:
        if pinned.get(first):
            continue
        for piece in _list_pieces(balance.profile, first, last, wanted_load):
            cuts = (piece[0] > first) + (piece[1] < last)
            if cuts == 2 and not may_cut_twice:
                continue
            load = balance.profile.sum_range(*piece)
            if (
                not MIN_PIECE_LOAD_RATIO * wanted_load
                <= load
                <= MAX_PIECE_LOAD_RATIO * wanted_load
            ):
                continue
            width = (piece[1] - piece[0] + 1) / catalog.KEY_COUNT
            score = min(load, wanted_load) / wanted_load
            score -= SEGMENT_CUT_COST * cuts + KEY_SPACE_MOVE_COST * width
            if best is None or score > best_score:
                best, best_score = piece, score
    return best


def _list_pieces(
    profile: _key_load.LoadProfile, first: int, last: int, wanted_load: float
) -> list[tuple[int, int]]:
    """Return candidate pieces of a range, cut at counted keys.

    From each counted key on, one piece ends at the first counted key with
    which it carries 90 % of the wanted load.
    """
    pieces = [(first, last)]
    low, high = profile.find_key_indices(first, last)
    end_index = low
    for begin_index in range(low, high):
        end_index = max(end_index, begin_index)
        begin_key = profile.keys[begin_index]
        while (
            end_index + 1 < high
            and profile.sum_range(begin_key, profile.keys[end_index])
            < 0.9 * wanted_load
        ):
            end_index += 1
        pieces.append((begin_key, profile.keys[end_index]))
        pieces.append((begin_key, last))
        pieces.append((first, begin_key))
        if begin_key < last:
            pieces.append((begin_key + 1, last))
        if begin_key > first:
            pieces.append((first, begin_key - 1))
    return pieces
