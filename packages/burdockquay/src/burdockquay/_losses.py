"""Sorts the requests in logs by what made them late or fail."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from datetime import datetime

import attrs

from ._explain import LogLine

WAITED_SHARE = 0.5
"""Part of the time to the first event above which the wait in the forwarder is the cause of a late
one, and below which the upstream is."""

EXAMPLES = 3
"""Ids that are shown for each cause, for the command that explains one request."""

OK_BELOW = 400


@attrs.frozen
class Ended:
    """One request as the logs tell it.

    Parameters
    ----------
    id, route : str
    time : datetime
        When it ended.
    status : int
        0 if its caller left.
    reason : str
    seconds : float
    first_s : float or None
        Time to its first event, seconds.
    waited_s : float
        Time before its first send, seconds.
    target_s : float
    pause_s, pause_target_s : float or None
        Longest pause between events, and the longest with which it is in time, seconds.
    sends : int
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
    def reached_s(self) -> float:
        """Time that counts against the target: to the first event, or to the whole answer."""
        return self.seconds if self.first_s is None else self.first_s


@attrs.frozen
class Cause:
    """A cause of late and failed requests.

    Parameters
    ----------
    name : str
    fits : callable
        Returns whether it is the cause of a request that no earlier one of the table fits.
    """

    name: str
    fits: Callable[[Ended], bool]


def _is_late(item: Ended) -> bool:
    return item.reached_s > item.target_s


def _is_slow(item: Ended) -> bool:
    limit_s = item.pause_target_s
    return limit_s is not None and item.pause_s is not None and item.pause_s > limit_s


IN_TIME = "in time"

CAUSES: tuple[Cause, ...] = (
    Cause("caller left", lambda item: item.status == 0),
    Cause("cut midway", lambda item: item.reason.startswith("cut")),
    Cause("refused", lambda item: item.status in (429, 503)),
    Cause("failed at upstreams", lambda item: item.status >= OK_BELOW and item.sends > 0),
    Cause("refused for good", lambda item: item.status >= OK_BELOW),
    Cause(
        "late, waited here",
        lambda item: _is_late(item) and item.waited_s > WAITED_SHARE * item.reached_s,
    ),
    Cause("late at its upstream", _is_late),
    Cause("written too slowly", _is_slow),
    Cause(IN_TIME, lambda item: True),
)
"""In the order in which they are asked."""


def find_cause(item: Ended) -> str:
    """Return the name of the first cause that fits a request."""
    return next(cause.name for cause in CAUSES if cause.fits(item))


def read_ended(lines: Iterable[LogLine]) -> list[Ended]:
    """Return the requests that ended, in the order of their ends."""
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


def _read(line: LogLine, waited_s: float) -> Ended:
    fields = line.fields
    return Ended(
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
    """The requests of one route with one cause.

    Parameters
    ----------
    route, cause : str
    count : int
    share : float
        Of the requests of the route.
    examples : tuple of str
        Ids of the first ones.
    """

    route: str
    cause: str
    count: int
    share: float
    examples: tuple[str, ...]


def count_losses(ended: Iterable[Ended]) -> list[LossRow]:
    """Return a row for each route and cause, the busiest routes first."""
    by_route: dict[str, dict[str, list[str]]] = {}
    for item in ended:
        by_route.setdefault(item.route, {}).setdefault(find_cause(item), []).append(item.id)
    rows = []
    for route, causes in sorted(by_route.items(), key=lambda entry: -_total(entry[1])):
        total = _total(causes)
        for cause, ids in sorted(causes.items(), key=lambda entry: -len(entry[1])):
            examples = () if cause == IN_TIME else tuple(ids[:EXAMPLES])
            rows.append(LossRow(route, cause, len(ids), len(ids) / total, examples))
    return rows


def _total(causes: dict[str, list[str]]) -> int:
    return sum(map(len, causes.values()))


@attrs.frozen
class Moment:
    """The requests that ended in one span of time.

    Parameters
    ----------
    start_s : float
        Seconds since the first one ended.
    count : int
    in_time : float
        Share of them.
    worst : str
        The most frequent other cause, empty if there is none.
    """

    start_s: float
    count: int
    in_time: float
    worst: str


def count_moments(ended: list[Ended], span_s: float) -> list[Moment]:
    """Return how requests ended in each span of time.

    Parameters
    ----------
    ended : list of Ended
        In the order of their ends.
    span_s : float
    """
    spans: dict[int, list[str]] = {}
    for item in ended:
        age_s = (item.time - ended[0].time).total_seconds()
        spans.setdefault(int(age_s / span_s), []).append(find_cause(item))
    return [_describe(number * span_s, causes) for number, causes in sorted(spans.items())]


def _describe(start_s: float, causes: list[str]) -> Moment:
    lost = [cause for cause in causes if cause != IN_TIME]
    worst = max(sorted(set(lost)), key=lost.count, default="")
    return Moment(start_s, len(causes), 1 - len(lost) / len(causes), worst)
