"""Metrics sinks, tested with a collector on a loopback socket."""

import socket
from collections import Counter

import pytest

from burdockquay_protocol import ErrorKind
from burdockquay_transport import (
    EntrySettings,
    MetricsSettings,
    PlatformSettings,
    SlotSettings,
    StatsdSink,
    make_sink,
    metrics_sinks,
)
from burdockquay_transport._metrics import (
    MAX_NAMES,
    MAX_SAMPLES,
    NAMES_DROPPED,
    TIMINGS_DROPPED,
    refusal_counter,
    retry_counter,
    timers,
)
from burdockquay_transport.entry import Entry
from burdockquay_transport.slot import Slot


@pytest.fixture
def collector():
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as receiver:
        receiver.bind(("127.0.0.1", 0))
        receiver.setblocking(False)
        yield receiver


@pytest.fixture
def sink(collector):
    settings = MetricsSettings(sink="statsd", port=collector.getsockname()[1])
    sink = make_sink(settings)
    yield sink
    sink.close()


def received(collector):
    lines = []
    while True:
        try:
            lines += collector.recv(65536).decode().split("\n")
        except BlockingIOError:
            return lines


@pytest.mark.parametrize("name", metrics_sinks.names())
def test_every_sink_accepts_every_call_and_may_be_closed_twice(name, collector):
    sink = metrics_sinks.get(name)(MetricsSettings(port=collector.getsockname()[1]))
    for _ in range(2):
        sink.count("a")
        sink.timing("b", 0.1)
        sink.gauge("c", -1.5)
        sink.flush()
        sink.close()


def test_counters_are_added_up_between_flushes(sink, collector):
    for _ in range(1000):
        sink.count("requests")
    sink.count("tokens", 7)
    sink.gauge("queue", 3)
    sink.timing(timers.whole("hold"), 0.25)
    sink.flush()
    assert sorted(received(collector)) == [
        "burdockquay.classes.hold.whole:250.000000|ms",
        "burdockquay.queue:3|g",
        "burdockquay.requests:1000|c",
        "burdockquay.tokens:7|c",
    ]


def test_a_busy_timer_sends_a_bounded_sample_and_counts_the_rest(sink, collector):
    for _ in range(10 * MAX_SAMPLES):
        sink.timing("t", 0.001)
    sink.flush()
    lines = received(collector)
    assert sum(line.startswith("burdockquay.t:") for line in lines) == MAX_SAMPLES
    assert f"burdockquay.{TIMINGS_DROPPED}:{9 * MAX_SAMPLES}|c" in lines


def test_number_of_names_is_bounded(sink, collector):
    """A caller could generate any number of names, each kept in memory until the flush."""
    for index in range(MAX_NAMES + 5):
        sink.gauge(f"g{index}", 1)
    sink.count(refusal_counter(ErrorKind.INTERNAL))
    sink.flush()
    assert f"burdockquay.{NAMES_DROPPED}:5|c" in received(collector)


def test_an_unreachable_collector_raises_nothing():
    """The collector is down, so the system reports its port as unreachable.

    An exception would fail requests because of their metrics.
    """
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as taken:
        taken.bind(("127.0.0.1", 0))
        port = taken.getsockname()[1]
    sink = StatsdSink(MetricsSettings(port=port))
    for _ in range(10):
        sink.count("requests")
        sink.flush()
    sink.close()


def test_every_error_kind_has_its_own_counters():
    names = Counter(namer(kind) for kind in ErrorKind for namer in (refusal_counter, retry_counter))
    assert set(names.values()) == {1} and len(names) == 2 * len(ErrorKind)


@pytest.mark.parametrize("role", ["entry", "slot"])
async def test_a_stopping_process_sends_its_buffered_metrics(role, collector):
    """Otherwise the count of an upstream crash shortly before a shutdown would be lost."""
    url = "http://127.0.0.1:1"
    metrics = MetricsSettings(sink="statsd", port=collector.getsockname()[1])
    common = ("vm", "domain", "0" * 32, PlatformSettings(url, url, url))
    if role == "entry":
        process = Entry(EntrySettings(*common, metrics=metrics))
    else:
        settings = SlotSettings(*common, metrics=metrics, group="g", upstream_url=url)
        process = Slot(settings)
    await process.start()
    process.metrics.count("upstream.crashed")
    await process.stop()
    assert "burdockquay.upstream.crashed:1|c" in received(collector)


def test_a_class_name_adds_no_level():
    assert timers.whole("a.b:c|d") == "classes.a_b_c_d.whole"
