"""Selection of the entries of the instance list that a region needs."""

from tarragonhinge import base
from tarragonhinge import membership
import xxhash

#: Number of instances selected from each availability zone of another
#: region.
REMOTE_INSTANCES_PER_ZONE = 3


def select_entries(
    entries: list[membership.InstanceEntry], region: base.RegionName
) -> list[membership.InstanceEntry]:
    """Return the instances of a region and a few of each remote zone.

    The size of an instance's list, and of the updates that it receives,
    thus grows with the size of its region and the number of zones, not
    with the fleet.  The instances selected from a remote zone are its
    most preferred pollers.
    """
    selected = []
    remote_entries: dict[base.ZoneName, dict] = {}
    for entry in entries:
        if entry.region == region:
            selected.append(entry)
        else:
            zone_entries = remote_entries.setdefault(entry.zone, {})
            zone_entries[entry.instance] = entry
    for zone, entries_by_name in remote_entries.items():
        names = membership.rank_names(f"poller/{zone}", entries_by_name)
        selected += [
            entries_by_name[name] for name in names[:REMOTE_INSTANCES_PER_ZONE]
        ]
    return sorted(selected, key=lambda entry: entry.instance)


def compute_digest(entries: list[membership.InstanceEntry]) -> int:
    """Return a digest of a list; 0 if the list is empty."""
    if not entries:
        return 0
    digest = xxhash.xxh3_64()
    for entry in entries:
        fields = (
            entry.instance,
            entry.address,
            entry.zone,
            entry.state.value,
        )
        digest.update("\0".join(fields).encode() + b"\n")
    return digest.intdigest()
