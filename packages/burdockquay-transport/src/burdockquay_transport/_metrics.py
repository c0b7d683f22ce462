"""Counters, timers and gauges, and the sinks that they are sent to.

Sinks register under a name in :data:`metrics_sinks`. A sink never blocks and never raises, so
that the loss of the collector loses metrics but affects no request.
"""

from __future__ import annotations

import asyncio
import functools
import random
import re
from abc import ABC, abstractmethod
from collections import Counter, defaultdict
from collections.abc import Callable

import attrs
import statsd

from burdockquay_protocol import ErrorKind
from burdockquay_state import Registry

from ._settings import MetricsSettings

FLUSH_INTERVAL_S = 10.0
"""Interval at which :func:`keep_flushing` flushes a sink, seconds; a collector's usual window."""

MAX_SAMPLES = 20
"""Limit on the samples of one timer per flush; with four timers in each of four classes and 60
bytes per sample that is 1.9 kB a second, within the limit on the control traffic of a node."""

MAX_NAMES = 5000
"""Limit on the names in a sink between two flushes; further ones are counted and dropped."""

REQUESTS = "requests"
"""Counter of requests with a valid API key that arrived at an entry."""
REQUESTS_CUT = "requests.cut"

TOKENS = "tokens.generated"
"""Counter of tokens of complete answers."""
TOKENS_WASTED = "tokens.wasted"
"""Counter of tokens of incomplete answers."""
TIMINGS_DROPPED = "metrics.timings_dropped"
"""Counter of timer samples that were not sent, to keep to :data:`MAX_SAMPLES`."""
CALLER_CONNECTIONS = "callers.connections"
"""Gauge of the connections of callers at an entry."""
CALLER_BYTES = "callers.bytes"
"""Gauge of the bytes of requests and answers that connections of callers hold."""
EVACUATED_DOMAINS = "evacuated_domains"
"""Gauge of the failure domains that the records evacuate."""
NAMES_DROPPED = "metrics.names_dropped"
"""Counter of metric updates dropped because there were too many names."""


TASKS_NOT_RUNNING = "tasks.not_running"
"""Gauge of the background tasks that have ended by an exception."""


def task_failure_counter(name: str) -> str:
    """Return the name of the counter for a background task that has ended by an exception.

    Examples
    --------
    >>> task_failure_counter("configuration")
    'tasks.failed.configuration'
    """
    return f"tasks.failed.{name}"


def refusal_counter(kind: ErrorKind) -> str:
    """Return the name of the counter for one kind of refusal.

    Examples
    --------
    >>> refusal_counter(ErrorKind.NO_PLACE)
    'refusals.no_place'
    """
    return f"refusals.{kind.value}"


def retry_counter(reason: ErrorKind) -> str:
    """Return the name of the counter for retries with one reason.

    Examples
    --------
    >>> retry_counter(ErrorKind.PEER_LOST)
    'retries.peer_lost'
    """
    return f"retries.{reason.value}"


def late_counter(decision: str, reason: str) -> str:
    """Return the name of the counter for decisions of a process that shuts down.

    Examples
    --------
    >>> late_counter("refused", "few_runs")
    'requests.late.refused.few_runs'
    """
    return f"requests.late.{decision}.{reason}"


def class_counter(class_name: str, outcome: str) -> str:
    """Return the name of a counter of one class, such as ``classes.hold.in_time``."""
    return f"classes.{_sanitize(class_name)}.{outcome}"


class timers:  # noqa: N801 - a namespace, not a type
    """Names of the timers of a class."""

    @staticmethod
    def first_token(class_name: str) -> str:
        """Return the timer from the arrival at the entry to the first byte of the answer's body."""
        return f"classes.{_sanitize(class_name)}.first_token"

    @staticmethod
    def between_tokens(class_name: str) -> str:
        """Return the timer of the mean time between two tokens of one answer."""
        return f"classes.{_sanitize(class_name)}.between_tokens"

    @staticmethod
    def whole(class_name: str) -> str:
        """Return the timer from the arrival at the entry to the end of the answer."""
        return f"classes.{_sanitize(class_name)}.whole"


@functools.lru_cache(MAX_NAMES)
def _sanitize(name: str) -> str:
    # A dot would add a level to the collector's tree, and ':' or '|' ends the name on the wire.
    return re.sub(r"[^A-Za-z0-9_-]", "_", name)


class MetricsSink(ABC):
    """Destination of metrics. No method blocks or raises."""

    @abstractmethod
    def count(self, name: str, value: int = 1) -> None:
        """Add to a counter."""

    @abstractmethod
    def timing(self, name: str, seconds: float) -> None:
        """Record a duration."""

    @abstractmethod
    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""

    def flush(self) -> None:  # noqa: B027 - most sinks buffer nothing
        """Send buffered metrics."""

    def close(self) -> None:  # noqa: B027 - most sinks have nothing to close
        """Send buffered metrics and close the socket."""


metrics_sinks: Registry[Callable[[MetricsSettings], MetricsSink]] = Registry("metrics sink")


def make_sink(settings: MetricsSettings) -> MetricsSink:
    """Return the sink named in the settings."""
    return metrics_sinks.get(settings.sink)(settings)


async def keep_flushing(sink: MetricsSink) -> None:
    """Flush a sink regularly until cancelled; run as a task."""
    while True:
        await asyncio.sleep(FLUSH_INTERVAL_S)
        sink.flush()


@metrics_sinks.register("none")
class NullSink(MetricsSink):
    """Sink that discards everything."""

    def __init__(self, settings: MetricsSettings | None = None):
        self.settings = settings

    def count(self, name: str, value: int = 1) -> None:
        """Do nothing."""

    def timing(self, name: str, seconds: float) -> None:
        """Do nothing."""

    def gauge(self, name: str, value: float) -> None:
        """Do nothing."""


@metrics_sinks.register("memory")
class MemorySink(MetricsSink):
    """Sink that stores everything in memory, for tests and inspection.

    Examples
    --------
    >>> sink = MemorySink()
    >>> sink.count("requests")
    >>> sink.counts["requests"]
    1
    """

    def __init__(self, settings: MetricsSettings | None = None):
        self.settings = settings
        self.counts: Counter[str] = Counter()
        self.timings: defaultdict[str, list[float]] = defaultdict(list)
        self.gauges: dict[str, float] = {}

    def count(self, name: str, value: int = 1) -> None:
        """Add to a counter."""
        self.counts[name] += value

    def timing(self, name: str, seconds: float) -> None:
        """Store a duration."""
        self.timings[name].append(seconds)

    def gauge(self, name: str, value: float) -> None:
        """Store the latest value."""
        self.gauges[name] = value


class _Client(statsd.StatsClient):
    """Client whose socket drops a packet instead of waiting for space in the send buffer."""

    def __init__(self, settings: MetricsSettings):
        super().__init__(
            settings.host, settings.port, prefix=settings.prefix, ipv6=":" in settings.host
        )
        # The library ignores OSError, of which BlockingIOError is a subclass.
        self._sock.setblocking(False)


@attrs.define
class _Samples:
    """Bounded uniform sample of the durations of one timer since the last flush."""

    seen: int = 0
    kept: list[float] = attrs.field(factory=list)

    def add(self, seconds: float, rng: random.Random) -> None:
        self.seen += 1
        if len(self.kept) < MAX_SAMPLES:
            self.kept.append(seconds)
            return
        position = rng.randrange(self.seen)
        if position < MAX_SAMPLES:
            self.kept[position] = seconds


@metrics_sinks.register("statsd")
class StatsdSink(MetricsSink):
    """Sink that sends to a statsd collector by UDP, with a few packets per flush.

    Parameters
    ----------
    settings : MetricsSettings
    rng : random.Random
        Selects the samples of a busy timer that are sent.

    Notes
    -----
    One packet per token would make up most of an entry's system calls, so counters are added up
    between flushes and a timer sends a sample of its durations. Percentiles stay correct; the
    number of samples is no count of requests, for which there are counters. Client libraries decide
    per call whether to sample it; sampling per flush keeps all durations of rare timers.
    """

    def __init__(self, settings: MetricsSettings, rng: random.Random | None = None):
        self.settings = settings
        self.rng = rng or random.Random(0)
        self._client: _Client | None = _Client(settings)
        self._counts: dict[str, int] = {}
        self._samples: dict[str, _Samples] = {}
        self._gauges: dict[str, float] = {}

    def count(self, name: str, value: int = 1) -> None:
        """Add to a counter."""
        if self._accepts_name(self._counts, name):
            self._counts[name] = self._counts.get(name, 0) + value

    def timing(self, name: str, seconds: float) -> None:
        """Record a duration."""
        if self._accepts_name(self._samples, name):
            self._samples.setdefault(name, _Samples()).add(seconds, self.rng)

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        if self._accepts_name(self._gauges, name):
            self._gauges[name] = value

    def flush(self) -> None:
        """Send buffered metrics, several per packet; does nothing once closed."""
        if self._client is None:
            return
        dropped = sum(samples.seen - len(samples.kept) for samples in self._samples.values())
        if dropped:
            self._counts[TIMINGS_DROPPED] = self._counts.get(TIMINGS_DROPPED, 0) + dropped
        with self._client.pipeline() as pipeline:
            for name, value in self._counts.items():
                pipeline.incr(name, value)
            for name, value in self._gauges.items():
                pipeline.gauge(name, value)
            for name, samples in self._samples.items():
                for seconds in samples.kept:
                    pipeline.timing(name, seconds * 1000)
        self._counts.clear()
        self._gauges.clear()
        self._samples.clear()

    def close(self) -> None:
        """Send buffered metrics and close the socket."""
        self.flush()
        if self._client is not None:
            self._client.close()
            self._client = None

    def _accepts_name(self, metrics: dict, name: str) -> bool:
        if name in metrics or len(metrics) < MAX_NAMES:
            return True
        self._counts[NAMES_DROPPED] = self._counts.get(NAMES_DROPPED, 0) + 1
        return False
