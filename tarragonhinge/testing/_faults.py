"""Registry of faults that a test injects into a deployment."""

import asyncio
from collections.abc import Callable

import uuid6

from tarragonhinge import base
from tarragonhinge.testing import _clock
from tarragonhinge.testing import _deployment

#: Number of distinct keys in requests.
KEY_COUNT = 6

#: Registered names that undo other faults.
RECOVERIES = (
    "resume",
    "thaw-servers",
    "restart-servers",
    "heal",
    "store-up",
    "restart",
)

#: Registered names that send a request and inject no fault.
REQUESTS = ("get", "post", "post-again")

#: Maximum jitter of late messages, which reorders them, and one-way delay of
#: a slow store.
FAULT_DELAY_MS = 600

Fault = Callable[["FaultDriver", int, int], None]

#: Faults by name. Each is called with two numbers that select its targets.
FAULTS: base.Registry[Fault] = base.Registry(kind="fault")


class FaultDriver:
    """Injects faults into a deployment and sends requests to it.

    Parameters
    ----------
    deployment : Deployment
        The deployment.

    Attributes
    ----------
    killed : set of int
        Indices of the instances that are killed and not yet restarted.
    keys : list of str
        Idempotency keys of the POST requests sent so far.
    """

    def __init__(self, *, deployment: _deployment.Deployment) -> None:
        self.deployment = deployment
        self.killed: set[int] = set()
        self.keys: list[str] = []
        self._tasks: list[asyncio.Task] = []

    def apply(self, name: str, one: int, other: int) -> None:
        """Inject a registered fault.

        Parameters
        ----------
        name : str
            Name of the fault.
        one, other : int
            Numbers that select the targets.
        """
        FAULTS.find(name)(self, one, other)

    def find_node(self, number: int) -> _deployment.Node:
        """Return the instance that a number selects."""
        return self.deployment.nodes[number % len(self.deployment.nodes)]

    def find_server(self, number: int):
        """Return the server that a number selects."""
        servers = list(self.deployment.servers.values())
        return servers[number % len(servers)]

    def find_address(self, number: int) -> str:
        """Return the address of the instance or server selected."""
        addresses = [node.address for node in self.deployment.nodes]
        addresses += self.deployment.servers
        return addresses[number % len(addresses)]

    def spawn(self, coroutine) -> None:
        """Run a coroutine in the background."""
        self._tasks.append(asyncio.create_task(coroutine))

    def send(self, node_number: int, key_number: int, **options) -> None:
        """Send a request in the background and ignore its outcome."""
        key = f"k{key_number % KEY_COUNT}"
        node = self.find_node(node_number)
        self.spawn(self.deployment.send(node, key, **options))


def make_idempotency_key(number: int) -> str:
    """Return a UUIDv7 made of the manual time and a number."""
    now = _clock.ManualClock().read_wall_time()
    text = uuid6.UUID(int=(now << 80) | (7 << 76) | (2 << 62) | number)
    return str(text)


@FAULTS.register("get")
def _get(driver: FaultDriver, one: int, other: int) -> None:
    driver.send(one, other)


@FAULTS.register("post")
def _post(driver: FaultDriver, one: int, other: int) -> None:
    driver.keys.append(make_idempotency_key(len(driver.keys)))
    _repeat_post(driver, one, other)


@FAULTS.register("post-again")
def _repeat_post(driver: FaultDriver, one: int, other: int) -> None:
    if driver.keys:
        key = driver.keys[-1 - other % min(3, len(driver.keys))]
        number = driver.keys.index(key)
        driver.send(one, number, method="POST", idempotency_key=key)


@FAULTS.register("pause")
def _pause(driver: FaultDriver, one: int, other: int) -> None:
    driver.find_node(one).clock.pause()


@FAULTS.register("resume")
def _resume(driver: FaultDriver, one: int, other: int) -> None:
    for number, node in enumerate(driver.deployment.nodes):
        if number not in driver.killed:
            node.clock.resume()


@FAULTS.register("freeze-server")
def _freeze(driver: FaultDriver, one: int, other: int) -> None:
    driver.find_server(one).clock.pause()


@FAULTS.register("thaw-servers")
def _thaw(driver: FaultDriver, one: int, other: int) -> None:
    for server in driver.deployment.servers.values():
        server.clock.resume()


@FAULTS.register("lose-server")
def _lose_server(driver: FaultDriver, one: int, other: int) -> None:
    driver.find_server(one).up = False


@FAULTS.register("restart-servers")
def _restart_servers(driver: FaultDriver, one: int, other: int) -> None:
    for server in driver.deployment.servers.values():
        if not server.up:
            server.restart()


@FAULTS.register("bounce-server")
def _bounce_server(driver: FaultDriver, one: int, other: int) -> None:
    driver.find_server(one).restart()


@FAULTS.register("drain-server")
def _drain(driver: FaultDriver, one: int, other: int) -> None:
    server = driver.find_server(one)
    server.draining = not server.draining


@FAULTS.register("cut")
def _cut(driver: FaultDriver, one: int, other: int) -> None:
    network = driver.deployment.network
    network.cut(driver.find_address(one), driver.find_address(other))


@FAULTS.register("cut-both")
def _cut_both(driver: FaultDriver, one: int, other: int) -> None:
    network = driver.deployment.network
    network.cut_both(driver.find_address(one), driver.find_address(other))


@FAULTS.register("heal")
def _heal(driver: FaultDriver, one: int, other: int) -> None:
    network = driver.deployment.network
    network.heal()
    network.jitter_ms = 0
    network.loss = 0.0
    network.duplication = 0.0


@FAULTS.register("late")
def _delay(driver: FaultDriver, one: int, other: int) -> None:
    driver.deployment.network.jitter_ms = FAULT_DELAY_MS


@FAULTS.register("lossy")
def _lose(driver: FaultDriver, one: int, other: int) -> None:
    driver.deployment.network.loss = 0.3


@FAULTS.register("duplicate")
def _duplicate(driver: FaultDriver, one: int, other: int) -> None:
    driver.deployment.network.duplication = 0.5


@FAULTS.register("store-down")
def _lose_store(driver: FaultDriver, one: int, other: int) -> None:
    for node in driver.deployment.nodes:
        node.table.down = True


@FAULTS.register("store-cut")
def _cut_store(driver: FaultDriver, one: int, other: int) -> None:
    driver.find_node(one).table.down = True


@FAULTS.register("store-slow")
def _slow_store(driver: FaultDriver, one: int, other: int) -> None:
    driver.find_node(one).table.delay_ms = FAULT_DELAY_MS


@FAULTS.register("store-answers-lost")
def _lose_answers(driver: FaultDriver, one: int, other: int) -> None:
    driver.find_node(one).table.lose_answers = 1 + other % 2


@FAULTS.register("store-up")
def _heal_store(driver: FaultDriver, one: int, other: int) -> None:
    for node in driver.deployment.nodes:
        node.table.down = False
        node.table.delay_ms = 5


@FAULTS.register("kill")
def _kill(driver: FaultDriver, one: int, other: int) -> None:
    number = one % len(driver.deployment.nodes)
    if number not in driver.killed:
        driver.killed.add(number)
        driver.deployment.nodes[number].halt()


@FAULTS.register("restart")
def _restart(driver: FaultDriver, one: int, other: int) -> None:
    for number in sorted(driver.killed):
        driver.killed.discard(number)
        driver.spawn(driver.deployment.restart(number))


@FAULTS.register("hand-over")
def _hand_over(driver: FaultDriver, one: int, other: int) -> None:
    number = one % len(driver.deployment.nodes)
    if number not in driver.killed:
        driver.killed.add(number)
        driver.spawn(driver.deployment.nodes[number].instance.stop())


@FAULTS.register("recover")
def _recover(driver: FaultDriver, one: int, other: int) -> None:
    for name in RECOVERIES:
        driver.apply(name, one, other)
