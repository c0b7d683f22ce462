"""Settings class of each role, and the checks across several of its settings.

The modules of a role are imported on first use: a restarting forwarder would otherwise spend 35 of
about 430 ms on the settings of the other roles.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import TYPE_CHECKING, Any

from burdockquay_state import Registry, describe_unknown

if TYPE_CHECKING:
    from burdockquay_transport import EntrySettings, SlotSettings
    from burdockquay_transport.forwarding import ForwarderSettings

Fault = tuple[str, str]
"""Key path and message."""

role_settings: Registry[Callable[[], type]] = Registry("role")
"""Maps a role to a function that returns its settings class."""


@role_settings.register("entry")
def _entry_settings() -> type[EntrySettings]:
    from burdockquay_transport import EntrySettings

    return EntrySettings


@role_settings.register("slot")
def _slot_settings() -> type[SlotSettings]:
    from burdockquay_transport import SlotSettings

    return SlotSettings


@role_settings.register("forwarder")
def _forwarder_settings() -> type[ForwarderSettings]:
    from burdockquay_transport.forwarding import ForwarderSettings

    return ForwarderSettings


def find_combination_faults(settings: Any, role: str) -> Iterator[Fault]:
    """Yield the faults between settings that are each valid on their own."""
    for check in _COMBINATION_CHECKS[role]:
        yield from check(settings)


def _find_adapter_faults(settings: EntrySettings | SlotSettings) -> Iterator[Fault]:
    # The import registers the adapters of the package.
    import burdockquay_transport._platform_http  # noqa: F401
    from burdockquay_state import object_stores, table_services, vm_lists

    registries = {"table": table_services, "objects": object_stores, "vms": vm_lists}
    for name, registry in registries.items():
        chosen = getattr(settings.platform, name)
        if chosen not in registry:
            yield f"platform.{name}", describe_unknown(registry.what, chosen, registry)


def _find_deadline_faults(settings: EntrySettings) -> Iterator[Fault]:
    if settings.default_deadline_s > settings.max_deadline_s:
        yield (
            "default_deadline_s",
            f"expected at most max_deadline_s, {settings.max_deadline_s}, "
            f"got {settings.default_deadline_s}",
        )


def _find_flush_faults(settings: SlotSettings) -> Iterator[Fault]:
    if settings.flush_interval_s > settings.status_interval_s:
        yield (
            "flush_interval_s",
            f"expected at most status_interval_s, {settings.status_interval_s}, "
            f"got {settings.flush_interval_s}",
        )


def _find_forwarding_faults(settings: ForwarderSettings) -> Iterator[Fault]:
    from burdockquay_transport.forwarding import forwarding_platforms, load_adapters

    for position, package in enumerate(settings.adapters):
        try:
            load_adapters([package])
        except ImportError as error:
            yield f"adapters[{position}]", f"cannot be imported: {error}"
            return
    chosen = settings.platform.adapter
    if chosen not in forwarding_platforms:
        message = describe_unknown(forwarding_platforms.what, chosen, forwarding_platforms)
        yield "platform.adapter", message


_COMBINATION_CHECKS: dict[str, list[Callable[[Any], Iterator[Fault]]]] = {
    "entry": [_find_adapter_faults, _find_deadline_faults],
    "slot": [_find_adapter_faults, _find_flush_faults],
    "forwarder": [_find_forwarding_faults],
}
