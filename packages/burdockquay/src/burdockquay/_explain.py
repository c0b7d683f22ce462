"""Puts the story of one request together from the logs of all processes."""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator
from datetime import datetime, timedelta
from typing import Any

import attrs

BEFORE = timedelta(seconds=5)
"""Time before a request from which on changes of what its process knew are told: longer than a
configuration or a list of upstreams may be out of date."""

AFTER = timedelta(seconds=1)
"""Time after its end up to which they are told: a loss is often noticed a little later."""

KNOWLEDGE = frozenset(
    {
        "configuration_applied",
        "member_forgotten",
        "member_rejoined",
        "peer_connected",
        "peer_disconnected",
        "process_listening",
        "process_started",
        "process_stopped",
        "process_stopping",
        "stop_limit_reached",
        "table_recovered",
        "table_unavailable",
        "vm_list_recovered",
        "vm_list_unreadable",
        "log_lines_held_back",
    }
)
"""Events of the process of a request that change what it knew."""

STORE_RETURN = frozenset({"configuration_kept", "store_returned", "upstreams_kept"})
"""Such events about a store that came back from a copy."""

BEFORE_RETURN = timedelta(seconds=30)
"""Time before a request from which on those are told: a process acts on what it kept until the
writer of each row has written it again."""

_HEAD = ("time", "level", "event", "name", "vm", "request")


@attrs.frozen
class LogLine:
    """One line of a log.

    Parameters
    ----------
    time : datetime
    vm, name : str
        The process, and the name of the event.
    request : str or None
    fields : dict
        Everything else.
    """

    time: datetime
    vm: str
    name: str
    request: str | None
    fields: dict[str, Any]

    def mentions(self, upstreams: set[str]) -> bool:
        """Return whether the line is about one of the upstreams."""
        texts = (str(self.fields.get(name, "")) for name in _UPSTREAM_FIELDS)
        # A list may name incarnations, which begin with the id.
        names = {name.partition("@")[0] for text in texts for name in text.split(",")}
        return not upstreams.isdisjoint(names)


_UPSTREAM_FIELDS = ("upstream", "upstreams", "listed", "leaving", "removed", "unreadable", "over")


def read_lines(texts: Iterable[str]) -> Iterator[LogLine]:
    """Yield the log lines among lines of text; others are passed over."""
    for text in texts:
        start = text.find("{")
        if start < 0:
            continue
        try:
            values = json.loads(text[start:])
            time = datetime.fromisoformat(values["time"])
            fields = {name: value for name, value in values.items() if name not in _HEAD}
            request = values.get("request")
            yield LogLine(time, str(values.get("vm", "")), values["name"], request, fields)
        except (ValueError, KeyError, TypeError, AttributeError):
            continue


def tell_story(lines: Iterable[LogLine], request: str) -> list[LogLine]:
    """Return what the logs know of a request, in the order of time.

    That are its own lines, changes of what its process knew, and what happened to the upstreams it
    was sent to. Clocks of different processes may differ by some milliseconds.
    """
    all_lines = sorted(lines, key=lambda line: line.time)
    own = [line for line in all_lines if line.request == request]
    if not own:
        return []
    last = own[-1].time + AFTER
    vms = {line.vm for line in own}
    upstreams = {
        name
        for line in own
        for field in ("upstream", "upstreams")
        for name in str(line.fields.get(field, "")).split(",")
        if name
    }
    return [
        line
        for line in all_lines
        if line.request == request
        or (
            own[0].time - _time_before(line.name) <= line.time <= last
            and line.request is None
            and line.vm in vms
            and (line.name in KNOWLEDGE | STORE_RETURN or line.mentions(upstreams))
        )
    ]


def _time_before(event: str) -> timedelta:
    """Return how long before a request an event may be to be told."""
    return BEFORE_RETURN if event in STORE_RETURN else BEFORE


def count_failures(lines: Iterable[LogLine], story: list[LogLine]) -> dict[str, int]:
    """Return how often other requests failed at each upstream of a story, in its time."""
    if not story:
        return {}
    told = [line.time for line in story if line.name not in STORE_RETURN]
    first, last = told[0], told[-1]
    own = {line.request for line in story} - {None}
    upstreams = {str(line.fields["upstream"]) for line in story if "upstream" in line.fields}
    counts: dict[str, int] = {}
    for line in lines:
        upstream = line.fields.get("upstream")
        is_other = line.name == "send_failed" and line.request not in own
        if is_other and upstream in upstreams and first <= line.time <= last:
            counts[upstream] = counts.get(upstream, 0) + 1
    return counts


def format_line(line: LogLine, start: datetime, request: str) -> str:
    """Return a line of a story for people: time since its start, process, event and fields."""
    mark = "*" if line.request == request else " "
    fields = " ".join(f"{name}={value}" for name, value in line.fields.items())
    seconds = (line.time - start).total_seconds()
    return f"{mark} {seconds:+9.3f} s  {line.vm}  {line.name}  {fields}".rstrip()
