"""Registry of the faults and planned operations of a soak run."""

import abc
import asyncio
import contextlib
import time

from tarragonhinge import base
from tarragonhinge.platform.soak import _crashing_requests
from tarragonhinge.platform.soak import _proxy
from tarragonhinge.platform.soak import _statements
from tarragonhinge.platform.soak import _testbed
from tarragonhinge.platform import standins


class Disturbance(abc.ABC):
    """One kind of fault or planned operation."""

    @abc.abstractmethod
    async def apply(self, testbed: _testbed.Testbed) -> None:
        """Apply the disturbance to a testbed and revert it."""


#: Time after the start of an instance from which planned work of a series
#: concerns it: a stop during the start would find no requests to wait for.
_SETTLED_S = 3.0

#: Fraction of the cuts that concern only some of the servers.
_PARTIAL_CUT_RATIO = 0.4

#: Smallest number of servers of a service that gets a crashing request.
_CRASHING_SERVERS = 5

DISTURBANCES: base.Registry[Disturbance] = base.Registry(kind="disturbance")


@DISTURBANCES.register("kill")
class Kill(Disturbance):
    """Kills an instance and restarts it after a delay."""

    async def apply(self, testbed: _testbed.Testbed) -> None:
        """Apply the disturbance to a testbed and revert it."""
        instance = testbed.rng.choice(testbed.instances)
        await instance.restart_killed(testbed.rng.uniform(0.1, 1.5))


@DISTURBANCES.register("kill_all")
class KillAll(Disturbance):
    """Kills all instances at once and restarts them after a delay."""

    async def apply(self, testbed: _testbed.Testbed) -> None:
        """Apply the disturbance to a testbed and revert it."""
        delay_s = testbed.rng.uniform(0.1, 1.0)
        await asyncio.gather(
            *(i.restart_killed(delay_s) for i in testbed.instances)
        )


@DISTURBANCES.register("pause")
class Pause(Disturbance):
    """Pauses an instance for 0.5 s to 5 s."""

    async def apply(self, testbed: _testbed.Testbed) -> None:
        """Apply the disturbance to a testbed and revert it."""
        instance = testbed.rng.choice(testbed.instances)
        if instance.has_ended or instance.is_paused:
            return
        with instance.disruptions.record():
            instance.pause()
            await asyncio.sleep(testbed.rng.uniform(0.5, 5.0))
            instance.resume()
        testbed.record_resume()


@DISTURBANCES.register("roll")
class RollingRestart(Disturbance):
    """Stops two instances gracefully and restarts them, one at a time."""

    async def apply(self, testbed: _testbed.Testbed) -> None:
        """Apply the disturbance to a testbed and revert it."""
        for instance in testbed.rng.sample(testbed.instances, 2):
            await instance.restart_stopped()


@DISTURBANCES.register("stops")
class OverlappingStops(Disturbance):
    """Stops all instances but one gracefully, at random moments."""

    async def apply(self, testbed: _testbed.Testbed) -> None:
        """Apply the disturbance to a testbed and revert it."""
        count = len(testbed.instances) - 1
        async with asyncio.TaskGroup() as group:
            for instance in testbed.rng.sample(testbed.instances, count):
                group.create_task(instance.restart_stopped())
                await asyncio.sleep(testbed.rng.uniform(0.0, 4.0))


@DISTURBANCES.register("series")
class PlannedSeries(Disturbance):
    """Stops, reloads and changes of the configuration that overlap."""

    async def apply(self, testbed: _testbed.Testbed) -> None:
        """Apply the disturbance to a testbed and revert it."""
        rng = testbed.rng
        async with asyncio.TaskGroup() as group:
            for _ in range(rng.randint(4, 8)):
                running = [
                    i for i in testbed.instances if i.has_run_for(_SETTLED_S)
                ]
                operation = rng.choice(["stop", "reload", "change"])
                if operation == "change" or not running:
                    testbed.change_routes()
                elif operation == "stop":
                    group.create_task(rng.choice(running).restart_stopped())
                else:
                    rng.choice(running).reload()
                await asyncio.sleep(rng.uniform(0.0, 1.0))


@DISTURBANCES.register("reload")
class Reload(Disturbance):
    """Signals all instances to reload their settings."""

    async def apply(self, testbed: _testbed.Testbed) -> None:
        """Apply the disturbance to a testbed and revert it."""
        for instance in testbed.instances:
            instance.reload()


class _StoreFault(Disturbance):
    mode = "ok"

    async def apply(self, testbed: _testbed.Testbed) -> None:
        """Apply the disturbance to a testbed and revert it."""
        with testbed.store_disruptions.record():
            testbed.store.mode = self.mode
            await asyncio.sleep(testbed.rng.uniform(1.0, 6.0))
            testbed.store.mode = "ok"


@DISTURBANCES.register("store_silent")
class StoreSilent(_StoreFault):
    """The store does not respond."""

    mode = "silent"


@DISTURBANCES.register("store_busy")
class StoreBusy(_StoreFault):
    """The store rejects all calls with status 503."""

    mode = "busy"


@DISTURBANCES.register("store_slow")
class StoreSlow(_StoreFault):
    """The store delays each call."""

    mode = "slow"


@DISTURBANCES.register("store_lost")
class StoreLost(_StoreFault):
    """The store applies writes but does not respond to them."""

    mode = "lost"


@DISTURBANCES.register("store_late")
class StoreLate(_StoreFault):
    """The store applies writes late and does not respond to them."""

    mode = "late"


@DISTURBANCES.register("store_restored")
class StoreRestored(Disturbance):
    """The store goes away and comes back from a copy some seconds old.

    What the operator and the servers wrote since is written again, in any
    order, also a route that was acknowledged last.
    """

    async def apply(self, testbed: _testbed.Testbed) -> None:
        """Apply the disturbance to a testbed and revert it."""
        rng = testbed.rng
        copied = testbed.store.rows.copy()
        await asyncio.sleep(rng.uniform(0.5, 5.0))
        testbed.write_other_rows()
        await asyncio.sleep(1.5)
        with testbed.store_disruptions.record():
            testbed.add_route()
            testbed.store.leave()
            await asyncio.sleep(rng.uniform(0.1, 1.5))
            testbed.store.return_from(copied)
        await testbed.write_again()


class _PathFault(Disturbance):
    mode = _proxy.ProxyMode.PASS

    async def apply(self, testbed: _testbed.Testbed) -> None:
        """Apply the disturbance to a testbed and revert it."""
        name = testbed.rng.choice(list(testbed.proxies))
        proxy = testbed.proxies[name]
        with testbed.server_disruptions[name].record():
            proxy.mode = self.mode
            await asyncio.sleep(testbed.rng.uniform(0.5, 5.0))
            proxy.mode = _proxy.ProxyMode.PASS
            proxy.reset_all()


@DISTURBANCES.register("path_delay")
class PathDelay(_PathFault):
    """Delays the traffic to and from a server."""

    mode = _proxy.ProxyMode.DELAY


@DISTURBANCES.register("path_silent")
class PathSilent(_PathFault):
    """Drops all traffic to and from a server without closing connections."""

    mode = _proxy.ProxyMode.SILENT


@DISTURBANCES.register("path_one_way")
class PathOneWay(_PathFault):
    """Drops the traffic from a server, but not the traffic to it."""

    mode = _proxy.ProxyMode.ONE_WAY


@DISTURBANCES.register("path_reset")
class PathReset(Disturbance):
    """Resets all connections to a server."""

    async def apply(self, testbed: _testbed.Testbed) -> None:
        """Apply the disturbance to a testbed and revert it."""
        name = testbed.rng.choice(list(testbed.proxies))
        with testbed.server_disruptions[name].record():
            testbed.proxies[name].reset_all()


@DISTURBANCES.register("cut")
class Cut(Disturbance):
    """Cuts instances off from all servers, or from some of them."""

    async def apply(self, testbed: _testbed.Testbed) -> None:
        """Apply the disturbance to a testbed and revert it."""
        rng = testbed.rng
        free = [i for i in testbed.instances if not i.is_cut]
        if len(free) < 2:
            # The others are compared with one that is not cut off.
            return
        chosen = rng.sample(free, rng.randint(1, len(free) - 1))
        form = rng.choice(list(standins.CutForm))
        addresses = [proxy.address for proxy in testbed.proxies.values()]
        if rng.random() < _PARTIAL_CUT_RATIO:
            addresses = rng.sample(addresses, rng.randint(1, len(addresses)))
        with contextlib.ExitStack() as stack:
            for instance in chosen:
                stack.enter_context(instance.cuts.record())
                instance.cut(addresses, form)
            await asyncio.sleep(rng.uniform(2.0, 9.0))
            for instance in chosen:
                instance.cut([], None)


@DISTURBANCES.register("server_fault")
class ServerFault(Disturbance):
    """A server sheds requests, fails or sends invalid responses."""

    async def apply(self, testbed: _testbed.Testbed) -> None:
        """Apply the disturbance to a testbed and revert it."""
        server = testbed.rng.choice(testbed.servers)
        server.mode = testbed.rng.choice(
            ["shed", "cut", "reset", "stray", "foreign", "unsealed", "error"]
        )
        with testbed.server_disruptions[server.name].record():
            await asyncio.sleep(testbed.rng.uniform(0.5, 3.0))
            server.mode = "ok"


@DISTURBANCES.register("server_limit")
class ServerLimit(Disturbance):
    """A server names a limit for some seconds, which changes meanwhile."""

    async def apply(self, testbed: _testbed.Testbed) -> None:
        """Apply the disturbance to a testbed and revert it."""
        server = testbed.rng.choice(testbed.servers)
        if server.limit is not None:
            return
        for _ in range(testbed.rng.randint(1, 2)):
            rate = round(testbed.rng.uniform(0.5, 8.0), 1)
            with testbed.limits.name(server, rate):
                await asyncio.sleep(testbed.rng.uniform(5.0, 9.0))


@DISTURBANCES.register("server_crash")
class ServerCrash(Disturbance):
    """Starts a server and crashes another one of the service."""

    async def apply(self, testbed: _testbed.Testbed) -> None:
        """Apply the disturbance to a testbed and revert it."""
        service = testbed.rng.choice(["keys", "books", "archive"])
        running = testbed.list_active_servers(service)
        if len(running) > 1:
            await testbed.start_server(service)
            await testbed.crash(testbed.rng.choice(running))


@DISTURBANCES.register("crashing_request")
class CrashingRequest(Disturbance):
    """Callers repeat a request that crashes the servers that run it."""

    async def apply(self, testbed: _testbed.Testbed) -> None:
        """Apply the disturbance to a testbed and revert it."""
        rng = testbed.rng
        prefix = rng.choice(
            [
                _testbed.SAFE_PREFIX,
                _testbed.UNSAFE_PREFIX,
                _testbed.SLOW_PREFIX,
                _testbed.KEYED_PREFIX,
            ]
        )
        request = _crashing_requests.CrashingRequest(
            prefix=prefix,
            target=f"{prefix}crash{len(testbed.crashing_requests)}",
            key=rng.randrange(65_536),
            interval_s=rng.choice([0.1, 0.3, 1.0]),
        )
        service = testbed.find_service(prefix)
        while len(testbed.list_active_servers(service)) < _CRASHING_SERVERS:
            await testbed.start_server(service)
        testbed.add_crashing_request(request)
        await asyncio.sleep(rng.uniform(8.0, 14.0))
        request.is_sent = False


@DISTURBANCES.register("server_leaving")
class ServerLeaving(Disturbance):
    """A server says in its responses only that it leaves, and ends later."""

    async def apply(self, testbed: _testbed.Testbed) -> None:
        """Apply the disturbance to a testbed and revert it."""
        service = testbed.rng.choice(["keys", "books", "archive"])
        server = testbed.rng.choice(testbed.list_active_servers(service))
        if server.leaving is not None:
            return
        await testbed.start_server(service)
        server.leaving = "1"
        testbed.statements.append(
            _statements.Statement(server=server, began_at=time.monotonic())
        )
        await asyncio.sleep(testbed.rng.uniform(4.0, 7.0))
        await testbed.crash(server)


@DISTURBANCES.register("server_wait")
class ServerWait(Disturbance):
    """A server turns work away for some seconds and says for how long."""

    async def apply(self, testbed: _testbed.Testbed) -> None:
        """Apply the disturbance to a testbed and revert it."""
        rng = testbed.rng
        server = rng.choice(testbed.servers)
        if server.wait is not None:
            return
        statement = _statements.Statement(
            server=server,
            began_at=time.monotonic(),
            wait_s=round(rng.uniform(0.8, 4.0), 2),
        )
        testbed.statements.append(statement)
        server.wait = str(statement.wait_s)
        with testbed.server_disruptions[server.name].record():
            await asyncio.sleep(rng.uniform(2.0, 7.0))
            server.wait = None
            statement.ended_at = time.monotonic()


@DISTURBANCES.register("release")
class RollingReplacement(Disturbance):
    """Replaces two servers of a service, one at a time."""

    async def apply(self, testbed: _testbed.Testbed) -> None:
        """Apply the disturbance to a testbed and revert it."""
        service = testbed.rng.choice(["keys", "books", "archive"])
        for server in testbed.list_active_servers(service)[:2]:
            await testbed.start_server(service)
            await asyncio.sleep(0.5)
            testbed.drain(server)


@DISTURBANCES.register("storm")
class ConfigurationBurst(Disturbance):
    """Writes many versions of the configuration in quick succession."""

    async def apply(self, testbed: _testbed.Testbed) -> None:
        """Apply the disturbance to a testbed and revert it."""
        for _ in range(12):
            testbed.change_routes()
            await asyncio.sleep(0.1)
