"""Faults of the system's own processes."""

from tarragonhinge.faults import _fault
from tarragonhinge import testing


class _ProcessFault(_fault.Fault):
    """A fault of the process that takes the step."""

    loses = True

    def strike(self, trial, place):
        """Apply the fault to the process."""
        self.hit_node(place.node)
        self.strike_node(trial, trial.find_node(place.node))

    def strike_node(self, trial, node):
        """Apply the fault to an instance."""


@_fault.FAULTS.register("process-lost")
class ProcessLost(_ProcessFault):
    """The process is lost and replaced later."""

    title = "process lost"

    def strike_node(self, trial, node):
        """Lose the process."""
        trial.lose_node(node.address)

    def heal(self, trial):
        """Start a new process in its place."""
        _fault.replace_lost(trial)


@_fault.FAULTS.register("process-paused")
class ProcessPaused(_ProcessFault):
    """The process stands still for less than its lease."""

    title = "process paused and resumed"
    hold_ms = 500
    loses = False

    def strike_node(self, trial, node):
        """Pause the process."""
        node.clock.pause()

    def heal(self, trial):
        """Resume all processes."""
        trial.driver.apply("resume", 0, 0)
        _fault.replace_lost(trial)


@_fault.FAULTS.register("lease-lapsed")
class LeaseLapsed(_ProcessFault):
    """The leader stands still until its lease and grants have lapsed."""

    title = "lease lapsed while paused"
    hold_ms = 3000

    def explain_missing(self, step):
        """Return why a lease can't lapse yet."""
        if step == "claim":
            return "no instance holds a lease before the first claim"
        return ""

    def strike(self, trial, place):
        """Pause the leader, whoever takes the step."""
        holder = trial.find_holder(place)
        self.hit_node(holder.address)
        holder.clock.pause()

    def heal(self, trial):
        """Resume all processes."""
        trial.driver.apply("resume", 0, 0)
        _fault.replace_lost(trial)


class _Partition(_ProcessFault):
    """The process is cut off from all others and from the store."""

    def heal(self, trial):
        """Remove all cuts."""
        trial.driver.apply("heal", 0, 0)
        for node in trial.deployment.nodes:
            node.table.down = False
            node.table.mute = False
        _fault.replace_lost(trial)


@_fault.FAULTS.register("cut-out")
class CutOut(_Partition):
    """Nothing that the process sends arrives."""

    title = "partitioned one way: out"

    def strike_node(self, trial, node):
        """Cut what leaves the process."""
        for end in _fault.list_others(trial, node):
            trial.deployment.network.cut(node.address, end)
        node.table.down = True


@_fault.FAULTS.register("cut-in")
class CutIn(_Partition):
    """Nothing arrives at the process, answers neither."""

    title = "partitioned one way: in"

    def strike_node(self, trial, node):
        """Cut what goes to the process."""
        for end in _fault.list_others(trial, node):
            trial.deployment.network.cut(end, node.address)
        node.table.mute = True


@_fault.FAULTS.register("cut-both")
class CutBoth(_Partition):
    """The process is cut off both ways."""

    title = "partitioned both ways"

    def strike_node(self, trial, node):
        """Cut the process off."""
        trial.deployment.isolate(node)


@_fault.FAULTS.register("region-cut")
class RegionCut(_Partition):
    """The region loses the store and the other region."""

    title = "region cut"
    loses = False
    two_regions = True

    def strike(self, trial, place):
        """Cut the first region off."""
        deployment = trial.deployment
        near = deployment.list_nodes(testing.REGION)
        far = deployment.list_nodes(testing.OTHER_REGION)
        inside = [node.address for node in near]
        outside = [node.address for node in far]
        for entry in deployment.row.servers:
            within = entry.region == testing.REGION
            (inside if within else outside).append(entry.server)
        for node in near:
            node.table.down = True
        for one in inside:
            for other in outside:
                deployment.network.cut_both(one, other)
