"""Sockets: callers, upstreams, peers and the platform."""

from ._settings import EntrySettings, MetricsSettings, PlatformSettings, SlotSettings

__all__ = [
    "EntrySettings",
    "MetricsSettings",
    "PlatformSettings",
    "SlotSettings",
]
