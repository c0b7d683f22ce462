"""Classification of the requests in logs by why they were late or failed."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from datetime import datetime

import attrs

from ._explain import LogLine

FORWARDER_WAIT_SHARE = 0.5
"""Share of the time to the first event spent waiting in the forwarder above which this wait is the
cause of a late request; otherwise the upstream is."""

EXAMPLE_LIMIT = 3
"""Number of request ids shown for each cause, as input for ``burdockquay explain``."""

FIRST_ERROR_STATUS = 400


@attrs.frozen
class EndedRequest:
    """One finished request, as recorded in the logs.

    Parameters
    ----------
    id, route : str
    time : datetime
        Time of its end.
    status : int
        HTTP status; 0 if the caller disconnected.
    reason : str
    seconds : float
        Total duration, seconds.
    first_s : float or None
        Time to the first event of the answer, seconds; None for an answer without events.
    waited_s : float
        Time before the first send to an upstream, seconds.
    target_s : float
        Target for ``latency_s``, seconds.
    pause_s, pause_target_s : float or None
        Longest pause between events and its target, seconds.
    sends : int
        Number of sends to upstreams.
    """

    id: str
    route: str
    time: datetime
    status: int
    reason: str
    seconds: float
    first_s: float | None
    waited_s: float
    target_s: float
    pause_s: float | None
    pause_target_s: float | None
    sends: int

    @property
    def latency_s(self) -> float:
        """Time compared with the target: to the first event, or to the complete answer."""
        return self.seconds if self.first_s is None else self.first_s


@attrs.frozen
class Cause:
    """A cause of late and failed requests.

    Parameters
    ----------
    name : str
    matches : callable
        Returns whether this is the cause of a request, given that no earlier cause in ``CAUSES``
        matches it.
    """

    name: str
    matches: Callable[[EndedRequest], bool]


def _is_late(item: EndedRequest) -> bool:
    return item.latency_s > item.target_s


def _is_slow(item: EndedRequest) -> bool:
    limit_s = item.pause_target_s
    return limit_s is not None and item.pause_s is not None and item.pause_s > limit_s


IN_TIME = "in time"

CAUSES: tuple[Cause, ...] = (
    Cause("caller left", lambda item: item.status == 0),
    Cause("cut midway", lambda item: item.reason.startswith("cut")),
    Cause("refused, evacuated", lambda item: item.reason == "upstream_evacuated"),
    Cause("refused", lambda item: item.status in (429, 503)),
    Cause("failed at upstreams", lambda item: item.status >= FIRST_ERROR_STATUS and item.sends > 0),
    Cause("refused for good", lambda item: item.status >= FIRST_ERROR_STATUS),
    Cause(
        "late, waited here",
        lambda item: _is_late(item) and item.waited_s > FORWARDER_WAIT_SHARE * item.latency_s,
    ),
    Cause("late at its upstream", _is_late),
    Cause("written too slowly", _is_slow),
    Cause(IN_TIME, lambda item: True),
)
"""Causes in the order in which they are checked."""


def find_cause(item: EndedRequest) -> str:
    """Return the name of the first cause that matches a request."""
    return next(cause.name for cause in CAUSES if cause.matches(item))


def read_ended_requests(lines: Iterable[LogLine]) -> list[EndedRequest]:
    """Return the finished requests, ordered by the time of their end."""
    waited: dict[str, float] = {}
    found = []
    for line in lines:
        if line.request is None:
            continue
        if line.name == "call_sent":
            waited.setdefault(line.request, float(line.fields.get("waited_s") or 0.0))
        elif line.name == "call_ended" and "target_s" in line.fields:
            found.append(_read(line, waited.get(line.request, 0.0)))
    return sorted(found, key=lambda item: item.time)


def _read(line: LogLine, waited_s: float) -> EndedRequest:
    fields = line.fields
    return EndedRequest(
        id=str(line.request),
        route=str(fields.get("route", "")),
        time=line.time,
        status=int(fields["status"]),
        reason=str(fields.get("reason", "")),
        seconds=float(fields["seconds"]),
        first_s=fields.get("first_s"),
        waited_s=waited_s,
        target_s=float(fields["target_s"]),
        pause_s=fields.get("longest_pause_s"),
        pause_target_s=fields.get("pause_target_s"),
        sends=int(fields.get("sends", 0)),
    )


@attrs.frozen
class LossRow:
    """Count of the requests of one route with one cause.

    Parameters
    ----------
    route, cause : str
    count : int
    share : float
        Share of the requests of the route.
    examples : tuple of str
        Ids of the first requests.
    """

    route: str
    cause: str
    count: int
    share: float
    examples: tuple[str, ...]


def count_losses(ended: Iterable[EndedRequest]) -> list[LossRow]:
    """Return one row for each route and cause, routes with the most requests first."""
    by_route: dict[str, dict[str, list[str]]] = {}
    for item in ended:
        by_route.setdefault(item.route, {}).setdefault(find_cause(item), []).append(item.id)
    rows = []
    for route, causes in sorted(by_route.items(), key=lambda pair: -_total(pair[1])):
        total = _total(causes)
        for cause, ids in sorted(causes.items(), key=lambda pair: -len(pair[1])):
            examples = () if cause == IN_TIME else tuple(ids[:EXAMPLE_LIMIT])
            rows.append(LossRow(route, cause, len(ids), len(ids) / total, examples))
    return rows


def _total(causes: dict[str, list[str]]) -> int:
    return sum(map(len, causes.values()))


@attrs.frozen
class SpanSummary:
    """Summary of the requests that ended in one span of time.

    Parameters
    ----------
    start_s : float
        Start of the span, seconds after the end of the first request.
    count : int
        Number of requests.
    in_time : float
        Share of the requests that were in time.
    worst : str
        Most frequent cause of the other requests; empty if there are none.
    """

    start_s: float
    count: int
    in_time: float
    worst: str


def summarize_spans(ended: list[EndedRequest], span_s: float) -> list[SpanSummary]:
    """Return a summary for each span of time in which requests ended.

    Parameters
    ----------
    ended : list of EndedRequest
        Ordered by the time of their end.
    span_s : float
        Length of a span, seconds.
    """
    spans: dict[int, list[str]] = {}
    for item in ended:
        age_s = (item.time - ended[0].time).total_seconds()
        spans.setdefault(int(age_s / span_s), []).append(find_cause(item))
    return [_summarize_span(number * span_s, causes) for number, causes in sorted(spans.items())]


def _summarize_span(start_s: float, causes: list[str]) -> SpanSummary:
    other_causes = [cause for cause in causes if cause != IN_TIME]
    worst = max(sorted(set(other_causes)), key=other_causes.count, default="")
    return SpanSummary(start_s, len(causes), 1 - len(other_causes) / len(causes), worst)
