"""Faults of the instances."""

from tarragonhinge.faults import _fault
from tarragonhinge import testing


class _ProcessFault(_fault.Fault):
    """Fault of the instance that takes the step."""

    causes_loss = True

    def inject(self, trial, target):
        """Apply the fault to the target's instance."""
        self.mark_affected(target.node)
        self.apply_to_node(trial, trial.find_node(target.node))

    def apply_to_node(self, trial, node):
        """Apply the fault to an instance."""


@_fault.FAULTS.register("process-lost")
class ProcessLost(_ProcessFault):
    """The instance is killed and replaced later."""

    title = "process lost"

    def apply_to_node(self, trial, node):
        """Kill the instance."""
        trial.kill_node(node.address)

    def heal(self, trial):
        """Replace the killed instance."""
        _fault.restart_killed(trial)


@_fault.FAULTS.register("process-paused")
class ProcessPaused(_ProcessFault):
    """The instance is paused for less than the duration of its lease."""

    title = "process paused and resumed"
    duration_ms = 500
    causes_loss = False

    def apply_to_node(self, trial, node):
        """Pause the instance."""
        node.clock.pause()

    def heal(self, trial):
        """Resume all processes."""
        trial.driver.apply("resume", 0, 0)
        _fault.restart_killed(trial)


@_fault.FAULTS.register("lease-lapsed")
class LeaseLapsed(_ProcessFault):
    """The leader is paused until its lease and grants have expired."""

    title = "lease lapsed while paused"
    duration_ms = 3000

    def explain_impossible(self, step):
        """Return why no lease can expire at a step, or an empty string."""
        if step == "claim":
            return "no instance holds a lease before the first claim"
        return ""

    def inject(self, trial, target):
        """Pause the leader, even if another instance takes the step."""
        leaseholder = trial.find_lease_holder(target)
        self.mark_affected(leaseholder.address)
        leaseholder.clock.pause()

    def heal(self, trial):
        """Resume all processes."""
        trial.driver.apply("resume", 0, 0)
        _fault.restart_killed(trial)


class _Partition(_ProcessFault):
    """Partition of the instance from all others and from the store."""

    def heal(self, trial):
        """End all partitions and replace killed instances."""
        trial.driver.apply("heal", 0, 0)
        for node in trial.deployment.nodes:
            node.table.down = False
            node.table.mute = False
        _fault.restart_killed(trial)


@_fault.FAULTS.register("cut-out")
class CutOut(_Partition):
    """All messages from the instance are lost."""

    title = "partitioned one way: out"

    def apply_to_node(self, trial, node):
        """Drop the messages that the instance sends."""
        for address in _fault.list_other_addresses(trial, node):
            trial.deployment.network.cut(node.address, address)
        node.table.down = True


@_fault.FAULTS.register("cut-in")
class CutIn(_Partition):
    """All messages to the instance are lost, including answers."""

    title = "partitioned one way: in"

    def apply_to_node(self, trial, node):
        """Drop the messages that are sent to the instance."""
        for address in _fault.list_other_addresses(trial, node):
            trial.deployment.network.cut(address, node.address)
        node.table.mute = True


@_fault.FAULTS.register("cut-both")
class CutBoth(_Partition):
    """All messages from and to the instance are lost."""

    title = "partitioned both ways"

    def apply_to_node(self, trial, node):
        """Drop messages in both directions."""
        trial.deployment.isolate(node)


@_fault.FAULTS.register("region-cut")
class RegionCut(_Partition):
    """The first region reaches neither the store nor the other region."""

    title = "region cut"
    causes_loss = False
    two_regions = True

    def inject(self, trial, target):
        """Partition the first region."""
        deployment = trial.deployment
        inside_nodes = deployment.list_nodes(testing.REGION)
        outside_nodes = deployment.list_nodes(testing.OTHER_REGION)
        inside = [node.address for node in inside_nodes]
        outside = [node.address for node in outside_nodes]
        for entry in deployment.row.servers:
            is_inside = entry.region == testing.REGION
            (inside if is_inside else outside).append(entry.server)
        for node in inside_nodes:
            node.table.down = True
        for one in inside:
            for other in outside:
                deployment.network.cut_both(one, other)
