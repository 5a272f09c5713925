"""The part of the list of instances that one instance needs."""

from tarragonhinge import base
from tarragonhinge import membership
import xxhash

#: Instances of each availability zone of another region that are kept.
OTHERS_PER_ZONE = 3


def select_entries(
    entries: list[membership.InstanceEntry], region: base.RegionName
) -> list[membership.InstanceEntry]:
    """Return all of a region, and a few of each zone elsewhere.

    What an instance keeps, and hears when the list changes, so depends
    on the size of its region and on the number of zones, not on the
    fleet.  The few are the pollers of their zones.
    """
    selected = []
    elsewhere: dict[base.ZoneName, dict] = {}
    for entry in entries:
        if entry.region == region:
            selected.append(entry)
        else:
            zone = elsewhere.setdefault(entry.zone, {})
            zone[entry.instance] = entry
    for zone, named in elsewhere.items():
        names = membership.rank_names(f"poller/{zone}", named)
        selected += [named[name] for name in names[:OTHERS_PER_ZONE]]
    return sorted(selected, key=lambda entry: entry.instance)


def compute_digest(entries: list[membership.InstanceEntry]) -> int:
    """Return a digest that tells two lists apart; 0 if empty."""
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
