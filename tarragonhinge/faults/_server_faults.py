"""Faults of backend servers."""

from tarragonhinge.faults import _fault

#: How long a cold server works on a request, and a warm one; a cold one
#: can still carry the load of its keys.
COLD_SERVICE_MS = 40
WARM_SERVICE_MS = 5

#: What a misreporting server says of its load.
MISREPORTED = 500


class _ServerFault(_fault.Fault):
    """A fault of the server that the step concerns."""

    def strike(self, trial, place):
        """Apply the fault to the server."""
        self.server = trial.find_server(place)
        self.strike_server(trial)

    def strike_server(self, trial):
        """Apply the fault."""

    def heal(self, trial):
        """End all faults of servers, and replace lost processes."""
        trial.driver.apply("thaw-servers", 0, 0)
        trial.driver.apply("restart-servers", 0, 0)
        self.server.shedding = False
        self.server.reported_in_flight = None
        self.server.service_ms = WARM_SERVICE_MS
        _fault.replace_lost(trial)


@_fault.FAULTS.register("server-lost")
class ServerLost(_ServerFault):
    """The server is lost and comes back with nothing remembered."""

    title = "server lost"
    loses = True

    def strike_server(self, trial):
        """Lose the server."""
        self.server.up = False


@_fault.FAULTS.register("server-frozen")
class ServerFrozen(_ServerFault):
    """The server stands still, and goes on where it stood."""

    title = "server frozen and returned"
    loses = True

    def strike_server(self, trial):
        """Freeze the server."""
        self.server.clock.pause()


@_fault.FAULTS.register("server-cold")
class ServerCold(_ServerFault):
    """The server restarts at once and is slow at first."""

    title = "server cold (restart)"
    loses = True

    def strike_server(self, trial):
        """Restart the server."""
        self.server.restart()
        self.server.service_ms = COLD_SERVICE_MS


@_fault.FAULTS.register("server-shedding")
class ServerShedding(_ServerFault):
    """The server refuses all requests."""

    title = "server shedding"

    def strike_server(self, trial):
        """Let the server refuse."""
        self.server.shedding = True


@_fault.FAULTS.register("server-misreporting")
class ServerMisreporting(_ServerFault):
    """The server reports a load that it does not have."""

    title = "server misreporting"

    def strike_server(self, trial):
        """Let the server report many requests in flight."""
        self.server.reported_in_flight = MISREPORTED
