"""Interface that narrows the servers which a request should use."""

import abc
from collections.abc import Sequence

from tarragonhinge.balancing import _links
from tarragonhinge import jobs


class ServerPreference(abc.ABC):
    """Keeps requests apart that should not share a server."""

    @abc.abstractmethod
    def list_preferred(
        self, job: jobs.Job, links: Sequence[_links.ServerLink]
    ) -> list[_links.ServerLink]:
        """Return the servers to use if one of them has room."""
