"""Opens the platform's services with the adapters named in the settings."""

from __future__ import annotations

import aiohttp
import attrs

from burdockquay_state import (
    ObjectStore,
    TableService,
    VmList,
    object_stores,
    table_services,
    vm_lists,
)

from . import _platform_http  # noqa: F401 (it registers the adapters named "http")
from ._bounded_answers import BoundedConnector
from ._settings import PlatformSettings

_CONNECTIONS = 16
"""Limit on the connections of one process to the platform."""


@attrs.frozen
class Platform:
    """Adapters of the platform's services.

    Parameters
    ----------
    table : TableService
    objects : ObjectStore
    vms : VmList
    session : aiohttp.ClientSession
        Shared by the adapters.
    """

    table: TableService
    objects: ObjectStore
    vms: VmList
    session: aiohttp.ClientSession

    async def close(self) -> None:
        """Close the connections."""
        await self.session.close()


def open_platform(settings: PlatformSettings) -> Platform:
    """Return adapters for the platform; call it inside a running event loop.

    Raises
    ------
    UnknownNameError
        If an adapter named in the settings is not registered.
    """
    table = table_services.get(settings.table)
    objects = object_stores.get(settings.objects)
    vms = vm_lists.get(settings.vms)
    session = aiohttp.ClientSession(connector=BoundedConnector(limit=_CONNECTIONS))
    timeout_s = settings.timeout_s
    return Platform(
        table(settings.table_url, timeout_s, session),
        objects(settings.objects_url, timeout_s, session),
        vms(settings.vms_url, timeout_s, session),
        session,
    )
