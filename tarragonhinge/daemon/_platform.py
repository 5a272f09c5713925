"""Clients of the platform's services."""

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
        Client of the transactional table service.
    objects : ObjectClient
        Client of the object store.
    instances : InstanceList
        Client of the list of instances.
    """

    table: stores.TableClient
    objects: stores.ObjectClient
    instances: membership.InstanceList

    async def close(self) -> None:
        """Close all connections."""
        await self.table.close()
        await self.objects.close()
        await self.instances.close()


def connect_platform(options: settings.Settings) -> Platform:
    """Return clients of the services that the settings name."""
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
