"""Sockets: callers, upstreams, peers and the platform.

The two roles are in :mod:`burdockquay_transport.entry` and :mod:`burdockquay_transport.slot`, so
that a process loads only what its role needs.
"""

from ._clock import Clock, SystemClock
from ._events import Event, log_event, setup_json_logging, setup_logging
from ._metrics import MemorySink, MetricsSink, NullSink, StatsdSink, make_sink, metrics_sinks
from ._platform import Platform, open_platform
from ._platform_http import HttpObjectStore, HttpTable, HttpVmList
from ._settings import EntrySettings, MetricsSettings, PlatformSettings, SlotSettings

__all__ = [
    "Clock",
    "EntrySettings",
    "Event",
    "HttpObjectStore",
    "HttpTable",
    "HttpVmList",
    "MemorySink",
    "MetricsSettings",
    "MetricsSink",
    "NullSink",
    "Platform",
    "PlatformSettings",
    "SlotSettings",
    "StatsdSink",
    "SystemClock",
    "log_event",
    "make_sink",
    "metrics_sinks",
    "open_platform",
    "setup_json_logging",
    "setup_logging",
]
