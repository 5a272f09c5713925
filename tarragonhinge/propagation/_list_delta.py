"""Differences between two instance lists."""

import collections

import msgspec

from tarragonhinge import base
from tarragonhinge import membership

#: Maximum number of previous lists kept as bases of deltas.
MAX_PREVIOUS_LISTS = 16


class ListDelta(msgspec.Struct, frozen=True, kw_only=True):
    """Instance list encoded as its difference from a base list.

    Parameters
    ----------
    base_digest : int
        Digest of the list that the delta applies to; 0 for an empty list.
    digest : int
        Digest of the resulting list.
    entries : list of InstanceEntry
        Added and changed instances.
    removed : list of InstanceId
        Removed instances.
    """

    base_digest: int
    digest: int
    entries: list[membership.InstanceEntry] = []
    removed: list[base.InstanceId] = []

    def apply(
        self, entries: list[membership.InstanceEntry]
    ) -> list[membership.InstanceEntry]:
        """Return the resulting list, sorted by instance name."""
        by_name = {}
        if self.base_digest:
            by_name = {entry.instance: entry for entry in entries}
        by_name.update((entry.instance, entry) for entry in self.entries)
        for name in self.removed:
            by_name.pop(name, None)
        return [by_name[name] for name in sorted(by_name)]


class ListHistory:
    """Current and previous instance lists of one region.

    Previous lists serve as bases, so that only changes are sent.

    Parameters
    ----------
    digest : int
        Digest of the current list.
    entries : list of InstanceEntry
        Current list.
    """

    def __init__(
        self, *, digest: int, entries: list[membership.InstanceEntry]
    ) -> None:
        self.digest = digest
        self._entries = entries
        self._previous: collections.OrderedDict[
            int, list[membership.InstanceEntry]
        ] = collections.OrderedDict()

    def advance(
        self, digest: int, entries: list[membership.InstanceEntry]
    ) -> None:
        """Make a new list the current one."""
        if digest == self.digest:
            return
        self._previous[self.digest] = self._entries
        while len(self._previous) > MAX_PREVIOUS_LISTS:
            self._previous.popitem(last=False)
        self._previous.pop(digest, None)
        self.digest = digest
        self._entries = entries

    def compute_delta(self, digest: int) -> ListDelta | None:
        """Return the delta from a list to the current one.

        Returns
        -------
        ListDelta or None
            None if `digest` is that of the current list; a delta from
            the empty list if the list is not in the history.
        """
        if digest == self.digest:
            return None
        base_list = self._previous.get(digest)
        base_entries = {entry.instance: entry for entry in base_list or []}
        names = {entry.instance for entry in self._entries}
        return ListDelta(
            base_digest=0 if base_list is None else digest,
            digest=self.digest,
            entries=[
                e for e in self._entries if base_entries.get(e.instance) != e
            ],
            removed=sorted(name for name in base_entries if name not in names),
        )
