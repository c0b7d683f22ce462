"""Counters, timers and gauges, and where they go.

Sinks register under a name in :data:`metrics_sinks`. A sink never blocks and never raises, so
that a lost collector costs figures and no request.
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
"""How often :func:`keep_flushing` sends what a sink holds, seconds; a collector's usual window."""

MAX_SAMPLES = 20
"""Samples of one timer that are sent at each flush; with four timers in each of four classes and
60 bytes a sample that is 1.9 kB a second, inside what a node may spend on control."""

MAX_NAMES = 5000
"""Names that a sink holds between two flushes; more are counted and dropped."""

REQUESTS = "requests"
"""Counter of requests with a valid API key that arrived at an entry."""
TOKENS = "tokens.generated"
"""Counter of tokens of answers that ended whole."""
TOKENS_WASTED = "tokens.wasted"
"""Counter of tokens of answers that did not."""
TIMINGS_DROPPED = "metrics.timings_dropped"
"""Counter of timer samples that were not sent, to keep to :data:`MAX_SAMPLES`."""
NAMES_DROPPED = "metrics.names_dropped"
"""Counter of figures dropped because there were too many names."""


def refusal_counter(kind: ErrorKind) -> str:
    """Return the name of the counter of one kind of refusal.

    Examples
    --------
    >>> refusal_counter(ErrorKind.NO_PLACE)
    'refusals.no_place'
    """
    return f"refusals.{kind.value}"


def retry_counter(reason: ErrorKind) -> str:
    """Return the name of the counter of retries made for one reason.

    Examples
    --------
    >>> retry_counter(ErrorKind.PEER_LOST)
    'retries.peer_lost'
    """
    return f"retries.{reason.value}"


def class_counter(class_name: str, outcome: str) -> str:
    """Return the name of a counter of one class, such as ``classes.hold.in_time``."""
    return f"classes.{_plain(class_name)}.{outcome}"


class timers:  # noqa: N801 - a namespace of names, as constants are
    """Names of the timers of a class."""

    @staticmethod
    def first_token(class_name: str) -> str:
        """Arrival at the entry to the first byte of the answer's body."""
        return f"classes.{_plain(class_name)}.first_token"

    @staticmethod
    def between_tokens(class_name: str) -> str:
        """Mean time between two tokens of one answer."""
        return f"classes.{_plain(class_name)}.between_tokens"

    @staticmethod
    def whole(class_name: str) -> str:
        """Arrival at the entry to the end of the answer."""
        return f"classes.{_plain(class_name)}.whole"


@functools.lru_cache(MAX_NAMES)
def _plain(name: str) -> str:
    # A dot would open a new level in the collector's tree, and ':' or '|' end the name on the wire.
    return re.sub(r"[^A-Za-z0-9_-]", "_", name)


class MetricsSink(ABC):
    """Where figures go. No method blocks or raises."""

    @abstractmethod
    def count(self, name: str, value: int = 1) -> None:
        """Add to a counter."""

    @abstractmethod
    def timing(self, name: str, seconds: float) -> None:
        """Record a duration."""

    @abstractmethod
    def gauge(self, name: str, value: float) -> None:
        """Set a figure that goes up and down."""

    def flush(self) -> None:  # noqa: B027 - most sinks hold nothing back
        """Send what was held back."""

    def close(self) -> None:  # noqa: B027 - most sinks hold nothing open
        """Send what was held back and free the socket."""


metrics_sinks: Registry[Callable[[MetricsSettings], MetricsSink]] = Registry("metrics sink")


def make_sink(settings: MetricsSettings) -> MetricsSink:
    """Return the sink that the settings name."""
    return metrics_sinks.get(settings.sink)(settings)


async def keep_flushing(sink: MetricsSink) -> None:
    """Flush a sink regularly until cancelled; run as a task."""
    while True:
        await asyncio.sleep(FLUSH_INTERVAL_S)
        sink.flush()


@metrics_sinks.register("none")
class NullSink(MetricsSink):
    """Sink that keeps nothing."""

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
    """Sink that keeps everything, for tests and read-outs.

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
        """Keep a duration."""
        self.timings[name].append(seconds)

    def gauge(self, name: str, value: float) -> None:
        """Keep the latest figure."""
        self.gauges[name] = value


class _Client(statsd.StatsClient):
    """Client whose socket drops a packet rather than wait for room in the send buffer."""

    def __init__(self, settings: MetricsSettings):
        super().__init__(
            settings.host, settings.port, prefix=settings.prefix, ipv6=":" in settings.host
        )
        # The library swallows OSError, which BlockingIOError is.
        self._sock.setblocking(False)


@attrs.define
class _Samples:
    """A bounded, fair sample of the durations of one timer since the last flush."""

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
    """Sink that sends to a statsd collector by UDP, a few packets at each flush.

    Parameters
    ----------
    settings : MetricsSettings
    rng : random.Random
        Chooses which samples of a busy timer are sent.

    Notes
    -----
    A packet for each token would be most of an entry's system calls, so counters are added up
    between flushes and a timer sends a sample of its durations. Percentiles hold; the number of
    samples is no count of requests, for which there are counters. Client libraries sample by
    drawing for each call; sampling per flush keeps rare timers whole.
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
        if self._has_room(self._counts, name):
            self._counts[name] = self._counts.get(name, 0) + value

    def timing(self, name: str, seconds: float) -> None:
        """Record a duration."""
        if self._has_room(self._samples, name):
            self._samples.setdefault(name, _Samples()).add(seconds, self.rng)

    def gauge(self, name: str, value: float) -> None:
        """Set a figure that goes up and down."""
        if self._has_room(self._gauges, name):
            self._gauges[name] = value

    def flush(self) -> None:
        """Send what was held back, several figures to a packet; does nothing once closed."""
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
        """Send what was held back and close the socket."""
        self.flush()
        if self._client is not None:
            self._client.close()
            self._client = None

    def _has_room(self, figures: dict, name: str) -> bool:
        if name in figures or len(figures) < MAX_NAMES:
            return True
        self._counts[NAMES_DROPPED] = self._counts.get(NAMES_DROPPED, 0) + 1
        return False
