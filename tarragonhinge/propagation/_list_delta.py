"""What changed between two lists of instances."""

import collections

import msgspec

from tarragonhinge import base
from tarragonhinge import membership

#: Former lists to which a delta can be given.
FORMER_LISTS = 16


class ListDelta(msgspec.Struct, frozen=True, kw_only=True):
    """A list of instances as a change of an earlier one.

    Parameters
    ----------
    base_digest : int
        Digest of the list that the delta applies to; 0 for the empty.
    digest : int
        Digest of the list that it gives.
    entries : list of InstanceEntry
        Instances that are new or differ.
    removed : list of InstanceId
        Instances that have gone.
    """

    base_digest: int
    digest: int
    entries: list[membership.InstanceEntry] = []
    removed: list[base.InstanceId] = []

    def apply(
        self, entries: list[membership.InstanceEntry]
    ) -> list[membership.InstanceEntry]:
        """Return the list that the delta gives, in order of names."""
        known = {}
        if self.base_digest:
            known = {entry.instance: entry for entry in entries}
        known.update((entry.instance, entry) for entry in self.entries)
        for name in self.removed:
            known.pop(name, None)
        return [known[name] for name in sorted(known)]


class ListHistory:
    """Former lists of one region, so that changes can be sent.

    Parameters
    ----------
    digest : int
        Digest of the present list.
    entries : list of InstanceEntry
        The present list.
    """

    def __init__(
        self, *, digest: int, entries: list[membership.InstanceEntry]
    ) -> None:
        self.digest = digest
        self._entries = entries
        self._former: collections.OrderedDict[
            int, list[membership.InstanceEntry]
        ] = collections.OrderedDict()

    def advance(
        self, digest: int, entries: list[membership.InstanceEntry]
    ) -> None:
        """Take a new list."""
        if digest == self.digest:
            return
        self._former[self.digest] = self._entries
        while len(self._former) > FORMER_LISTS:
            self._former.popitem(last=False)
        self._former.pop(digest, None)
        self.digest = digest
        self._entries = entries

    def compute_delta(self, digest: int) -> ListDelta | None:
        """Return the change from a list; None if it is the present one."""
        if digest == self.digest:
            return None
        old = self._former.get(digest)
        known = {entry.instance: entry for entry in old or []}
        names = {entry.instance for entry in self._entries}
        return ListDelta(
            base_digest=0 if old is None else digest,
            digest=self.digest,
            entries=[e for e in self._entries if known.get(e.instance) != e],
            removed=sorted(name for name in known if name not in names),
        )
