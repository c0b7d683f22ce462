"""Sockets: callers, upstreams, peers and the platform."""

from ._events import Event, log_event, setup_logging
from ._metrics import MemorySink, MetricsSink, NullSink, StatsdSink, make_sink, metrics_sinks
from ._platform_http import HttpObjectStore, HttpTable, HttpVmList
from ._settings import EntrySettings, MetricsSettings, PlatformSettings, SlotSettings

__all__ = [
    "EntrySettings",
    "Event",
    "HttpObjectStore",
    "HttpTable",
    "HttpVmList",
    "MemorySink",
    "MetricsSettings",
    "MetricsSink",
    "NullSink",
    "PlatformSettings",
    "SlotSettings",
    "StatsdSink",
    "log_event",
    "make_sink",
    "metrics_sinks",
    "setup_logging",
]
