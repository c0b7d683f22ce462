"""Network connections to callers, upstreams, peers and the platform.

The two roles are in :mod:`burdockquay_transport.entry` and :mod:`burdockquay_transport.slot`, so
that a process loads only what its role needs.
"""

from burdockquay_state._lazy import lazy_exports

_EXPORTS = {
    "._bounded_answers": (
        "MAX_STORE_ANSWER_BYTES",
        "BoundedConnector",
        "read_whole",
    ),
    "._call_limit": ("CallLimit",),
    "._clock": (
        "Clock",
        "SystemClock",
    ),
    "._events": (
        "Event",
        "log_event",
        "setup_json_logging",
        "setup_logging",
    ),
    "._metrics": (
        "MemorySink",
        "MetricsSink",
        "NullSink",
        "StatsdSink",
        "make_sink",
        "metrics_sinks",
    ),
    "._platform": (
        "Platform",
        "open_platform",
    ),
    "._platform_http": (
        "HttpObjectStore",
        "HttpTable",
        "HttpVmList",
    ),
    "._settings": (
        "ColdStartSettings",
        "EntrySettings",
        "MetricsSettings",
        "PlatformSettings",
        "SlotSettings",
    ),
}

__getattr__, __dir__, __all__ = lazy_exports(__name__, _EXPORTS)
