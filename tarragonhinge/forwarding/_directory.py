"""Other instances, as the coordinator lists them."""

from collections.abc import Iterable

import msgspec

from tarragonhinge import base

#: Time for which an instance stays listed after the coordinator's list has
#: lost it. A new coordinator lists only those that have subscribed already.
ABSENCE_LIMIT_MS = 10_000


class PeerInstance(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Another instance.

    Parameters
    ----------
    instance : InstanceId
        Its id.
    address : Address
        Address on which it accepts requests of other instances.
    zone : ZoneName
        Its availability zone.
    heeds_regions : bool
        Whether its build heeds the allowed regions of a route, and
        evacuations; older builds do not send the field.
    """

    instance: base.InstanceId
    address: base.Address
    zone: base.ZoneName
    heeds_regions: bool = False


class PeerDirectory:
    """Keeps the other instances.

    Parameters
    ----------
    own : PeerInstance
        This instance, which is not listed.
    clock : Clock
        This process's clock.
    """

    def __init__(self, *, own: PeerInstance, clock: base.Clock) -> None:
        self.own = own
        self._clock = clock
        self._peers: dict[base.InstanceId, PeerInstance] = {}
        self._absent_since: dict[base.InstanceId, int] = {}

    def record(self, peers: Iterable[PeerInstance]) -> None:
        """Record a coordinator's list."""
        listed = {
            peer.instance: peer
            for peer in peers
            if peer.instance != self.own.instance
        }
        now = self._clock.now()
        for name in self._peers.keys() - listed.keys():
            self._absent_since.setdefault(name, now)
        for name in listed:
            self._absent_since.pop(name, None)
        self._peers.update(listed)

    def get_rank(self) -> int:
        """Return the position of this instance in the order of all ids.

        Instances that follow no coordinator agree on it without a message.
        """
        return sum(name < self.own.instance for name in self._peers)

    def list_all(self) -> list[PeerInstance]:
        """Return the other instances."""
        now = self._clock.now()
        for name, since in list(self._absent_since.items()):
            if now - since >= ABSENCE_LIMIT_MS:
                del self._absent_since[name]
                del self._peers[name]
        return list(self._peers.values())
