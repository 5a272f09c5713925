"""Faults of backend servers."""

from tarragonhinge.faults import _fault

#: Service times of a cold and of a warm server. A cold server still has
#: enough capacity for the load of its keys.
COLD_SERVICE_MS = 40
WARM_SERVICE_MS = 5

#: Number of requests in flight that a misreporting server reports.
MISREPORTED_IN_FLIGHT = 500


class _ServerFault(_fault.Fault):
    """Fault of the server that the step concerns."""

    def inject(self, trial, target):
        """Apply the fault to the target's server."""
        self.server = trial.find_server(target)
        self.apply_to_server(trial)

    def apply_to_server(self, trial):
        """Apply the fault to the server."""

    def heal(self, trial):
        """End all faults of servers and replace killed instances."""
        trial.driver.apply("thaw-servers", 0, 0)
        trial.driver.apply("restart-servers", 0, 0)
        self.server.shedding = False
        self.server.reported_in_flight = None
        self.server.service_ms = WARM_SERVICE_MS
        _fault.restart_killed(trial)


@_fault.FAULTS.register("server-lost")
class ServerLost(_ServerFault):
    """The server crashes and restarts later without its state."""

    title = "server lost"
    causes_loss = True

    def apply_to_server(self, trial):
        """Crash the server."""
        self.server.up = False


@_fault.FAULTS.register("server-frozen")
class ServerFrozen(_ServerFault):
    """The server is paused and later resumes with its state."""

    title = "server frozen and returned"
    causes_loss = True

    def apply_to_server(self, trial):
        """Freeze the server."""
        self.server.clock.pause()


@_fault.FAULTS.register("server-cold")
class ServerCold(_ServerFault):
    """The server restarts at once and is slow until it is healed."""

    title = "server cold (restart)"
    causes_loss = True

    def apply_to_server(self, trial):
        """Restart the server."""
        self.server.restart()
        self.server.service_ms = COLD_SERVICE_MS


@_fault.FAULTS.register("server-shedding")
class ServerShedding(_ServerFault):
    """The server refuses all requests."""

    title = "server shedding"

    def apply_to_server(self, trial):
        """Let the server refuse requests."""
        self.server.shedding = True


@_fault.FAULTS.register("server-misreporting")
class ServerMisreporting(_ServerFault):
    """The server reports more requests in flight than it has."""

    title = "server misreporting"

    def apply_to_server(self, trial):
        """Let the server report many requests in flight."""
        self.server.reported_in_flight = MISREPORTED_IN_FLIGHT
