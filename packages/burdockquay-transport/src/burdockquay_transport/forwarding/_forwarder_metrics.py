"""Counters, gauges and histograms of a forwarder, in the Prometheus text format."""

from __future__ import annotations

from collections.abc import Iterable

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

from .._background import NamedTask

FIRST_OUTPUT_BUCKETS_S = (0.025, 0.05, 0.1, 0.15, 0.2, 0.25, 0.35, 0.5, 0.75, 1.0, 1.5, 2.5, 5.0)
"""Buckets for the time to the first token or to a plain answer, seconds; narrow around the usual
targets of a tenth to half a second."""

TOTAL_BUCKETS_S = (0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 4.0, 8.0, 15.0, 30.0)
"""Buckets for the time to the end of an answer, seconds."""

UNREAD_BUCKETS_S = (0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5)
"""Buckets for the time from the arrival of a request to its reading, seconds: from a process with
spare processor time to one that reads requests after their callers have disconnected."""

PREDICTION_RATIO_BUCKETS = (0.25, 0.5, 0.7, 0.85, 1.0, 1.2, 1.5, 2.0, 4.0)
"""Buckets for the ratio of the time to first token to its prediction; 1 is an exact prediction."""


class ForwarderMetrics:
    """All metrics of one process."""

    def __init__(self):
        self.registry = CollectorRegistry()
        self.calls = self._counter("calls", "Requests that ended.", "kind", "priority", "status")
        self.refusals = self._counter("refusals", "Answers of the forwarder's own.", "kind")
        self.late_requests = self._counter(
            "late_requests",
            "Requests that a process that shuts down passed on or refused.",
            "decision",
            "reason",
        )
        self.requests_cut = self._counter(
            "requests_cut", "Requests that were unfinished at the end of a shutdown."
        )
        self.sends = self._counter("sends", "Sends to upstreams.", "service", "outcome")
        self.repeats_granted = self._counter(
            "repeats_granted", "Repeats withdrawn from the retry budget.", "service"
        )
        self.repeats_denied = self._counter(
            "repeats_denied", "Repeats that the retry budget did not allow.", "service"
        )
        self.closed_unread = self._counter(
            "closed_unread", "New connections that were closed, so that callers go to others."
        )
        self.callers_given_up = self._counter(
            "callers_given_up", "Connections of callers that were given up.", "reason"
        )
        self.caller_connections = self._gauge("caller_connections", "Connections of callers.")
        self.caller_bytes = self._gauge(
            "caller_bytes", "Bytes of requests and answers that connections of callers hold."
        )
        self.crash_parts = Gauge(
            "forwarder_crash_parts",
            "Prompt parts that may crash upstreams, by whether requests with them are refused.",
            ["state"],
            registry=self.registry,
        )
        self.crashes = self._counter(
            "upstream_crashes", "Upstreams that went down while requests of this process ran there."
        )
        self.resumed = self._counter(
            "resumed_streams",
            "Streams that callers resume, by how the version that began them was found.",
            "service",
            "source",
        )
        self.first = self._histogram(
            "first_seconds", "Arrival to the first event or plain answer.", FIRST_OUTPUT_BUCKETS_S
        )
        self.whole = self._histogram("whole_seconds", "Arrival to the end.", TOTAL_BUCKETS_S)
        self.waited = self._histogram(
            "waited_seconds", "Wait before the first send.", FIRST_OUTPUT_BUCKETS_S
        )
        self.passed_over = self._counter(
            "passed_over", "Prompts that started while more urgent ones waited.", "service"
        )
        self.unread = Histogram(
            "forwarder_unread_seconds",
            "Arrival of a request to its reading.",
            buckets=UNREAD_BUCKETS_S,
            registry=self.registry,
        )
        self.prediction = Histogram(
            "forwarder_first_token_ratio",
            "First tokens against their prediction.",
            ["service"],
            buckets=PREDICTION_RATIO_BUCKETS,
            registry=self.registry,
        )
        self.odd_entries = self._counter(
            "odd_entries", "Entries in tables of the platform that cannot be used.", "table"
        )
        self.task_running = Gauge(
            "forwarder_task_running",
            "1 while a task of the process runs, 0 until it is begun again after an exception.",
            ["task"],
            registry=self.registry,
        )
        self.task_failures = Counter(
            "forwarder_task_failures",
            "Tasks of the process that have ended by an exception.",
            ["task"],
            registry=self.registry,
        )
        self.list_age = self._gauge(
            "upstream_list_age_seconds", "Age of the last confirmation of the list of upstreams."
        )
        self.config_age = self._gauge("config_age_seconds", "Age of the last confirmation.")
        self.revision = self._gauge("config_revision", "Version of the configuration.")
        self.origins_known = self._gauge(
            "stream_origins_known",
            "Whether all versions are known at which streams have begun that can be resumed.",
        )
        self.store_era = self._gauge("store_era", "Newest era of the store that was heard of.")
        self.config_kept = self._gauge(
            "config_kept_seconds",
            "Time for which the platform has shown an older configuration than the newest one.",
        )
        self.keys_trusted = self._gauge("keys_trusted", "1 while API keys are honoured.")
        self.held = self._gauge("held_calls", "Requests that are not answered yet.")
        self.peers = self._gauge("peers", "Other forwarders that are connected.")
        self.members = self._gauge("members", "Forwarders in the list, this one included.")
        self.retry_burst = Gauge(
            "forwarder_retry_burst",
            "Retries beyond the ratio that the budget allows this process in a window.",
            ["service"],
            registry=self.registry,
        )
        self.loads_age = self._gauge(
            "loads_age_seconds", "Time since it heard of the requests of other forwarders."
        )
        self.duty_held = self._gauge("duty_held", "1 while this process reports usage.")
        self.usage_delivered_window = self._gauge(
            "usage_delivered_window", "Window up to which all known usage reports are delivered."
        )
        self.clock_deviation = self._gauge(
            "clock_deviation_seconds", "Local time of day minus the median of the peers."
        )
        self.waiting = Gauge(
            "forwarder_waiting_calls",
            "Requests that wait for an upstream.",
            ["service"],
            registry=self.registry,
        )

        self.region_ways = Gauge(
            "forwarder_region_way_seconds",
            "Measured round trip to another region, beyond that within the own one.",
            ["region"],
            registry=self.registry,
        )
        self.rate_limit = Gauge(
            "forwarder_upstream_rate_limit",
            "Requests per second that an upstream takes from all processes, if limited.",
            ["upstream"],
            registry=self.registry,
        )
        self.cold_rate = Gauge(
            "forwarder_upstream_cold_rate",
            "Requests per second that a cold upstream gets from all processes.",
            ["upstream"],
            registry=self.registry,
        )
        self.rate_part = Gauge(
            "forwarder_upstream_rate_part",
            "Part of the limit of an upstream that this process grants.",
            ["upstream"],
            registry=self.registry,
        )
        self.leaving = Gauge(
            "forwarder_upstream_leaving",
            "1 for an upstream that has stated that it leaves.",
            ["upstream"],
            registry=self.registry,
        )
        self.rest = Gauge(
            "forwarder_upstream_rest_seconds",
            "Time for which an upstream still rests, as it asked.",
            ["upstream"],
            registry=self.registry,
        )
        self.evacuated = Gauge(
            "forwarder_evacuated_seconds",
            "Time since this process learnt that a failure domain is evacuated.",
            ["domain"],
            registry=self.registry,
        )
        self.statements = self._counter(
            "statements", "Changes of what upstreams state.", "statement", "change"
        )
        self.turned_away = self._counter(
            "turned_away", "Sends that an upstream refused without running them.", "upstream"
        )
        self.starts_granted = self._counter(
            "starts_granted", "Starts at limited upstreams granted to this process.", "upstream"
        )
        self.limited_sends = self._counter(
            "limited_sends", "Sends to an upstream while it is limited.", "upstream"
        )

    def expose(self) -> bytes:
        """Return all metrics as text."""
        return generate_latest(self.registry)

    def _counter(self, name: str, text: str, *labels: str) -> Counter:
        return Counter(f"forwarder_{name}", text, labels, registry=self.registry)

    def record_task(self, task: NamedTask) -> None:
        """Count a task that has ended by an exception."""
        if not task.is_running:
            self.task_failures.labels(task.name).inc()

    def record_odd_entry(self, table: str) -> None:
        """Count an entry of a table that cannot be used."""
        self.odd_entries.labels(table).inc()

    def refresh_tasks(self, tasks: Iterable[NamedTask]) -> None:
        """Set for each task whether it runs."""
        for task in tasks:
            self.task_running.labels(task.name).set(task.is_running)

    def _gauge(self, name: str, text: str) -> Gauge:
        return Gauge(f"forwarder_{name}", text, registry=self.registry)

    def _histogram(self, name: str, text: str, buckets: tuple[float, ...]) -> Histogram:
        labels = ["kind", "priority"]
        return Histogram(f"forwarder_{name}", text, labels, buckets=buckets, registry=self.registry)
