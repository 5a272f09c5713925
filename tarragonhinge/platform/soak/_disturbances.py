"""What a run does to the site; each kind in one registry."""

import abc
import asyncio

from tarragonhinge import base
from tarragonhinge.platform.soak import _proxy
from tarragonhinge.platform.soak import _site


class Disturbance(abc.ABC):
    """One kind of trouble or of planned work."""

    @abc.abstractmethod
    async def strike(self, site: _site.Site) -> None:
        """Begin, and end again."""


DISTURBANCES: base.Registry[Disturbance] = base.Registry(kind="disturbance")


@DISTURBANCES.register("kill")
class Kill(Disturbance):
    """An instance is killed and started again."""

    async def strike(self, site: _site.Site) -> None:
        """Begin, and end again."""
        instance = site.rng.choice(site.instances)
        await instance.restart_killed(site.rng.uniform(0.1, 1.5))


@DISTURBANCES.register("pause")
class Pause(Disturbance):
    """An instance is stopped in its tracks for some seconds."""

    async def strike(self, site: _site.Site) -> None:
        """Begin, and end again."""
        instance = site.rng.choice(site.instances)
        if instance.has_ended or instance.is_paused:
            return
        instance.pause()
        await asyncio.sleep(site.rng.uniform(0.5, 5.0))
        instance.resume()
        site.note_thaw()


@DISTURBANCES.register("roll")
class Roll(Disturbance):
    """Instances are stopped gracefully and started in turn."""

    async def strike(self, site: _site.Site) -> None:
        """Begin, and end again."""
        for instance in site.rng.sample(site.instances, 2):
            await instance.restart_stopped()


@DISTURBANCES.register("reload")
class Reload(Disturbance):
    """Settings are announced to have changed."""

    async def strike(self, site: _site.Site) -> None:
        """Begin, and end again."""
        for instance in site.instances:
            instance.reload()


class _StoreTrouble(Disturbance):
    mode = "ok"

    async def strike(self, site: _site.Site) -> None:
        """Begin, and end again."""
        site.store.mode = self.mode
        await asyncio.sleep(site.rng.uniform(1.0, 6.0))
        site.store.mode = "ok"


@DISTURBANCES.register("store_silent")
class StoreSilent(_StoreTrouble):
    """The store answers nothing."""

    mode = "silent"


@DISTURBANCES.register("store_busy")
class StoreBusy(_StoreTrouble):
    """The store turns all calls away."""

    mode = "busy"


@DISTURBANCES.register("store_slow")
class StoreSlow(_StoreTrouble):
    """The store is slow."""

    mode = "slow"


@DISTURBANCES.register("store_lost")
class StoreLost(_StoreTrouble):
    """Writes are done and not answered."""

    mode = "lost"


@DISTURBANCES.register("store_late")
class StoreLate(_StoreTrouble):
    """Writes are done late and not answered."""

    mode = "late"


class _PathTrouble(Disturbance):
    mode = _proxy.ProxyMode.PASS

    async def strike(self, site: _site.Site) -> None:
        """Begin, and end again."""
        proxy = site.rng.choice(list(site.proxies.values()))
        proxy.mode = self.mode
        await asyncio.sleep(site.rng.uniform(0.5, 5.0))
        proxy.mode = _proxy.ProxyMode.PASS
        proxy.reset_all()


@DISTURBANCES.register("path_delay")
class PathDelay(_PathTrouble):
    """The way to a server is slow."""

    mode = _proxy.ProxyMode.DELAY


@DISTURBANCES.register("path_silent")
class PathSilent(_PathTrouble):
    """The way to a server is cut without a word."""

    mode = _proxy.ProxyMode.SILENT


@DISTURBANCES.register("path_one_way")
class PathOneWay(_PathTrouble):
    """A server hears and is not heard."""

    mode = _proxy.ProxyMode.ONE_WAY


@DISTURBANCES.register("path_reset")
class PathReset(Disturbance):
    """Connections to a server are reset."""

    async def strike(self, site: _site.Site) -> None:
        """Begin, and end again."""
        site.rng.choice(list(site.proxies.values())).reset_all()


@DISTURBANCES.register("server_fault")
class ServerFault(Disturbance):
    """A server sheds, fails, or spoils its answers for a while."""

    async def strike(self, site: _site.Site) -> None:
        """Begin, and end again."""
        server = site.rng.choice(site.servers)
        server.mode = site.rng.choice(
            ["shed", "cut", "reset", "stray", "foreign", "unsealed", "error"]
        )
        await asyncio.sleep(site.rng.uniform(0.5, 3.0))
        server.mode = "ok"


@DISTURBANCES.register("server_crash")
class ServerCrash(Disturbance):
    """A server ends, and another starts."""

    async def strike(self, site: _site.Site) -> None:
        """Begin, and end again."""
        service = site.rng.choice(["keys", "books"])
        running = site.list_running(service)
        if len(running) > 1:
            await site.start_server(service)
            await site.crash(site.rng.choice(running))


@DISTURBANCES.register("release")
class Release(Disturbance):
    """Servers of a service are replaced one after the other."""

    async def strike(self, site: _site.Site) -> None:
        """Begin, and end again."""
        service = site.rng.choice(["keys", "books"])
        for server in site.list_running(service)[:2]:
            await site.start_server(service)
            await asyncio.sleep(0.5)
            site.drain(server)


@DISTURBANCES.register("storm")
class Storm(Disturbance):
    """Versions of the configuration come in quick succession."""

    async def strike(self, site: _site.Site) -> None:
        """Begin, and end again."""
        for _ in range(12):
            site.change_routes()
            await asyncio.sleep(0.1)
