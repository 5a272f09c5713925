"""A move of keys that a restore of the store interrupts."""

import asyncio
import copy
import itertools
import json
import pathlib
import random
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "stands"))

import lab  # noqa: E402

HOST = "keys.example"

#: Time for which the store is away, and for which it then turns one machine
#: away, in seconds.
AWAY_S, TURNED_AWAY_S = 1.0, 7.0

#: Longest time for which two upstreams may hold the same keys.
BOUND_S = 0.5

#: Interval at which the holders are compared.
CHECK_S = 0.02

#: Requests a second, before some keys are busy and from then on; part of the
#: requests for the busy keys, and number of these.
CALM_PER_S, BUSY_PER_S, BUSY_SHARE, BUSY_KEYS = 10, 35, 0.85, 600


class DrillStore(lab.Store):
    """Store that can come back from a copy, and turn machines away."""

    def __init__(self, record: lab.Record) -> None:
        super().__init__(record)
        self._record = record
        self.era = 1
        self.is_away = False
        self.turned_away: set[str] = set()
        self.addresses: dict[str, str] = {}

    async def listen(self, host: str, name: str) -> None:
        """Listen for one machine."""

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            try:
                await self._serve_machine(reader, writer, name)
            except (OSError, EOFError, ValueError):
                pass
            finally:
                writer.transport.abort()

        server = await asyncio.start_server(serve, host, 0)
        port = server.sockets[0].getsockname()[1]
        self.addresses[name] = f"{host}:{port}"

    async def _serve_machine(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        name: str,
    ) -> None:
        while True:
            call = await lab.read_message(reader)
            if self.is_away:
                return
            if name in self.turned_away:
                await asyncio.sleep(30)
                return
            status, body = await self._answer(call)
            if self.is_away:
                return
            if name in self.turned_away:
                await asyncio.sleep(30)
                return
            await asyncio.sleep(self.answer_s)
            fields = {
                "Content-Type": "application/json",
                "Store-Era": str(self.era),
            }
            writer.write(lab.encode(status, fields, json.dumps(body).encode()))
            await writer.drain()

    def make_copy(self) -> tuple:
        """Return a copy of the rows."""
        return copy.deepcopy((self.rows, self._keys, self._log, self.version))

    def leave(self) -> None:
        """Go away."""
        self.is_away = True
        self._wake()

    def return_from(self, copied: tuple) -> None:
        """Come back from a copy."""
        self.rows, self._keys, self._log, self.version = copied
        self.era += 1
        self.is_away = False
        self._wake()


class Owner(lab.Upstream):
    """Upstream that takes one grant without an answer, if it is told so."""

    loses_answer = False
    lost: asyncio.Event

    async def _respond(self, request: lab.Message) -> bytes:
        target = request.parts[1]
        if target == "/tarragonhinge/grant" and Owner.loses_answer:
            body = json.loads(request.body)
            # The first grant of keys that have just moved.
            if body.get("handoff"):
                Owner.loses_answer = False
                status = self._grant(body)
                self._record.write(
                    f"{self.name}: grant {body} -> {status}, answer lost"
                )
                Owner.lost.set()
                await asyncio.sleep(30)
        response = await super()._respond(request)
        if target.startswith("/tarragonhinge/"):
            text = request.body.decode()
            status = response.split(b" ", 2)[1].decode()
            self._record.write(f"{self.name}: {target} {text} -> {status}")
        return response

    def list_held(self) -> list[tuple[int, int]]:
        """Return the ranges that it holds."""
        now = time.monotonic()
        return [(a, b) for a, b, until, _ in self._held if until > now]


class HolderCheck:
    """Finds keys that two upstreams hold at the same time."""

    def __init__(self, record: lab.Record, owners: list[Owner]) -> None:
        self._record = record
        self._owners = owners
        self._since: dict[tuple[str, str], float] = {}
        self.longest: dict[tuple[str, str], float] = {}

    async def run(self) -> None:
        """Compare the holders until cancelled."""
        while True:
            now = time.monotonic()
            for left, right in itertools.combinations(self._owners, 2):
                pair = left.name, right.name
                shared = self._find_shared(left, right)
                if shared is None:
                    self._since.pop(pair, None)
                    continue
                if pair not in self._since:
                    self._record.write(
                        f"keys {shared[0]} to {shared[1]} are held by"
                        f" {pair[0]} and {pair[1]}"
                    )
                since = self._since.setdefault(pair, now)
                self.longest[pair] = max(
                    self.longest.get(pair, 0.0), now - since
                )
            await asyncio.sleep(CHECK_S)

    @staticmethod
    def _find_shared(left: Owner, right: Owner) -> tuple[int, int] | None:
        for first, last in left.list_held():
            for low, high in right.list_held():
                if first <= high and low <= last:
                    return max(first, low), min(last, high)
        return None


class Traffic:
    """Requests with keys, some of which become busy."""

    def __init__(self, bed: lab.Lab, clients: lab.Clients) -> None:
        self._bed = bed
        self._clients = clients
        self.busy: tuple[int, int] | None = None

    async def run(self) -> None:
        """Send requests until cancelled."""
        while True:
            key = random.randrange(65_536)
            if self.busy and random.random() < BUSY_SHARE:
                key = random.randrange(*self.busy)
            self._clients.start(
                random.choice(self._bed.instances),
                "GET",
                "/keys/1",
                key=key,
                deadline_ms=4_000,
                is_quiet=True,
            )
            per_s = BUSY_PER_S if self.busy else CALM_PER_S
            await asyncio.sleep(1 / per_s)


async def play(bed: lab.Lab) -> list[str]:
    """Interrupt a move, and return what was broken."""
    store = bed.store = DrillStore(bed.record)
    names = ("e1", "e2")
    for name in names:
        await store.listen(f"{bed.subnet}.1", name)
    route = lab.make_route("keys", HOST, "/keys/", "safe", "keys")
    bed.write_manifest([route], [lab.make_service("keys", sharded=True)])
    manifest = json.loads(store.rows["op"]["config"][0])
    owners = []
    for number in range(2):
        owner = Owner(
            f"i-{number}",
            record=bed.record,
            service="keys",
            sharded=True,
            work_s=0.12,
            is_quiet=True,
        )
        await bed.add_upstream(owner)
        owners.append(owner)
    for number, name in enumerate(names):
        instance = lab.Instance(
            name,
            ip=f"{bed.subnet}.{10 + number}",
            zone="za",
            store=store.addresses[name],
            folder=bed.path,
            record=bed.record,
        )
        bed.instances.append(instance)
        await instance.start()
    await bed.wait_ready(bed.instances, timeout_s=20)
    clients = lab.Clients(bed.record, HOST)
    traffic = Traffic(bed, clients)
    check = HolderCheck(bed.record, owners)
    tasks = [asyncio.create_task(t.run()) for t in (traffic, check)]
    await asyncio.sleep(3)
    copied = store.make_copy()
    coordinator = bed.find_coordinator()
    bed.record.write(f"coordinator: {coordinator.name}; the copy is made")
    first, _ = owners[1].list_held()[0]
    traffic.busy = first + 2_000, first + 2_000 + BUSY_KEYS
    Owner.lost = asyncio.Event()
    if bed.has_trouble:
        Owner.loses_answer = True
        async with asyncio.timeout(25):
            await Owner.lost.wait()
        await asyncio.sleep(0.05)
        store.leave()
        bed.record.write("the store is away; no keys are busy any more")
        traffic.busy = None
        await asyncio.sleep(AWAY_S)
        store.turned_away = {coordinator.name}
        store.return_from(copied)
        store.put("op", "config", manifest)
        for owner in owners:
            store.put("servers", owner.name, owner.make_entry())
        bed.record.write(f"the store is back; not for {coordinator.name}")
        await asyncio.sleep(TURNED_AWAY_S)
        store.turned_away = set()
    await asyncio.sleep(3 if bed.has_trouble else 12)
    for task in tasks:
        task.cancel()
    await clients.finish()
    bed.record.write(f"longest times with two holders: {check.longest}")
    return [
        f"OWNER: {left} and {right} hold the same keys for {length:.2f} s"
        for (left, right), length in check.longest.items()
        if length > BOUND_S
    ]


if __name__ == "__main__":
    sys.exit(lab.run_case(FOLDER, play))
