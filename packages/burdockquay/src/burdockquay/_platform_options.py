"""Command line options for the connection to the platform."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Annotated

import attrs
from cyclopts import Parameter

from burdockquay_transport import Platform, PlatformSettings, open_platform

_DEFAULT_URL = "http://127.0.0.1:8900"


@Parameter(name="*")
@attrs.frozen
class PlatformOptions:
    """Addresses and adapters of the platform.

    Parameters
    ----------
    table_url : str
        URL of the table service.
    vms_url : str
        URL of the VM list; defaults to that of the table service.
    table : str
        Name of the adapter of the table service.
    vms : str
        Name of the adapter of the VM list.
    timeout_s : float
        Timeout of one call, seconds.
    """

    table_url: Annotated[str, Parameter(env_var="BURDOCKQUAY_TABLE_URL")] = _DEFAULT_URL
    vms_url: Annotated[str, Parameter(env_var="BURDOCKQUAY_VMS_URL")] = ""
    table: Annotated[str, Parameter(env_var="BURDOCKQUAY_TABLE")] = "http"
    vms: Annotated[str, Parameter(env_var="BURDOCKQUAY_VMS")] = "http"
    timeout_s: float = 5.0


DEFAULT_PLATFORM = PlatformOptions()


@asynccontextmanager
async def connect_platform(options: PlatformOptions) -> AsyncIterator[Platform]:
    """Open the services of the platform, and close them on exit."""
    platform = open_platform(
        PlatformSettings(
            table_url=options.table_url,
            objects_url=options.table_url,
            vms_url=options.vms_url or options.table_url,
            table=options.table,
            vms=options.vms,
            timeout_s=options.timeout_s,
        )
    )
    try:
        yield platform
    finally:
        await platform.close()
