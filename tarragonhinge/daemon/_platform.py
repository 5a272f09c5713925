"""The platform's services as one instance reaches them."""

import dataclasses

from tarragonhinge import membership
from tarragonhinge import settings
from tarragonhinge import stores


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Platform:
    """Clients of the platform's services.

    Parameters
    ----------
    table : TableClient
        The transactional table service.
    objects : ObjectClient
        The object store.
    instances : InstanceList
        The list of instances.
    """

    table: stores.TableClient
    objects: stores.ObjectClient
    instances: membership.InstanceList

    async def close(self) -> None:
        """Release all connections."""
        await self.table.close()
        await self.objects.close()
        await self.instances.close()


def connect_platform(options: settings.Settings) -> Platform:
    """Return clients for the addresses in the settings."""
    timeout_ms = options.platform_timeout_ms
    return Platform(
        table=stores.HttpTableClient(
            address=options.table, timeout_ms=timeout_ms
        ),
        objects=stores.HttpObjectClient(
            address=options.table, timeout_ms=timeout_ms
        ),
        instances=membership.HttpInstanceList(
            address=options.instances, timeout_ms=timeout_ms
        ),
    )
