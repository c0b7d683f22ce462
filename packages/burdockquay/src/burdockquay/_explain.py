"""Timeline of one request, collected from the logs of all processes."""

from __future__ import annotations

import json
import re
from collections.abc import Iterable, Iterator
from datetime import datetime, timedelta
from typing import Any

import attrs

CONTEXT_BEFORE = timedelta(seconds=5)
"""Period before a request for which state changes of its process are included: longer than a
configuration or a list of upstreams may be out of date."""

CONTEXT_AFTER = timedelta(seconds=1)
"""Period after the end of a request for which they are included: a failure is often detected a
little later."""

STATE_CHANGE_EVENTS = frozenset(
    {
        "configuration_applied",
        "member_forgotten",
        "evacuation_kept",
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
"""Events that change the state on which a process bases its decisions about requests."""

STORE_RESTORE_EVENTS = frozenset({"configuration_kept", "store_returned", "upstreams_kept"})
"""Events of this kind that report the restore of a store from a copy."""

RESTORE_CONTEXT_BEFORE = timedelta(seconds=30)
"""Period before a request for which restores are included: a process keeps using the rows it
had until the writer of each row has written it again."""

COLD_EVENTS = frozenset({"upstream_cold", "upstream_warm"})
"""Events that begin and end the cold start of an upstream."""

COLD_CONTEXT_BEFORE = timedelta(seconds=120)
"""Period before a request for which they are included: a cold start may last for minutes."""

COLD_START = ":cold_start"
COLD_REFUSAL = "since they are cold"
"""How a sent and a refused request name upstreams that did not take it because they are cold."""

LASTING_EVENTS = {"evacuation_began": "evacuation_ended", "engine_cold": "engine_warm"}
"""Events that begin a state that restricts sends, with the event that ends it. The one that began a
state in force is included however long ago it was."""

_ENDS = {end: begin for begin, end in LASTING_EVENTS.items()}

_COMMON_KEYS = ("time", "level", "event", "name", "vm", "request")


@attrs.frozen
class LogLine:
    """One line of a log.

    Parameters
    ----------
    time : datetime
    vm, name : str
        VM of the process, and name of the event.
    request : str or None
        Request id; None if the line is not about a request.
    fields : dict
        All other fields.
    """

    time: datetime
    vm: str
    name: str
    request: str | None
    fields: dict[str, Any]

    def mentions(self, upstreams: set[str]) -> bool:
        """Return whether the line is about one of the upstreams."""
        texts = (str(self.fields.get(name, "")) for name in _UPSTREAM_FIELDS)
        # A list may hold incarnations, which have the form "id@...".
        names = {name.partition("@")[0] for text in texts for name in text.split(",")}
        return not upstreams.isdisjoint(names)


_UPSTREAM_FIELDS = ("upstream", "upstreams", "listed", "leaving", "removed", "unreadable", "over")


_VALUE = r'"(?:[^"\\]|\\.)*"|\S*'
_TEXT_LINE = re.compile(rf"(\S+Z) [A-Z]+ E\d{{4}} (\w+)((?: \w+=(?:{_VALUE}))*)")
_FIELD = re.compile(rf" (\w+)=({_VALUE})")


def read_lines(texts: Iterable[str]) -> Iterator[LogLine]:
    """Yield the log lines among lines of text; all other lines are skipped.

    The lines of entries and slots do not name their VM; it is that of the last line about the start
    of a process.
    """
    vm = ""
    for text in texts:
        if match := _TEXT_LINE.fullmatch(text.strip()):
            line = _read_text_line(match, vm)
            if line is not None:
                vm = str(line.fields["vm"]) if line.name == "process_listening" else vm
                yield attrs.evolve(line, vm=vm)
            continue
        start = text.find("{")
        if start < 0:
            continue
        try:
            values = json.loads(text[start:])
            time = datetime.fromisoformat(values["time"])
            fields = {name: value for name, value in values.items() if name not in _COMMON_KEYS}
            request = values.get("request")
            yield LogLine(time, str(values.get("vm", "")), values["name"], request, fields)
        except (ValueError, KeyError, TypeError, AttributeError):
            continue


def _read_text_line(match: re.Match[str], vm: str) -> LogLine | None:
    fields = {
        name: json.loads(value) if value.startswith('"') else value
        for name, value in _FIELD.findall(match[3])
    }
    try:
        time = datetime.fromisoformat(match[1])
    except ValueError:
        return None
    return LogLine(time, vm, match[2], fields.pop("request", None), fields)


def collect_timeline(lines: Iterable[LogLine], request: str) -> list[LogLine]:
    """Return the log lines that are relevant to a request, ordered by time.

    These are its own lines, state changes of the processes that served it, and the events at these
    processes about the upstreams it was sent to. The clocks of different processes may differ by a
    few milliseconds.
    """
    all_lines = sorted(lines, key=lambda line: line.time)
    standing = _find_standing(all_lines, request)
    own = [line for line in all_lines if line.request == request]
    if not own:
        return []
    last = own[-1].time + CONTEXT_AFTER
    vms = {line.vm for line in own}
    upstreams = {
        name
        for line in own
        for field in ("upstream", "upstreams")
        for name in str(line.fields.get(field, "")).split(",")
        if name
    } | set(find_cold_upstreams(own))
    is_refused = any(COLD_REFUSAL in str(line.fields.get("detail", "")) for line in own)
    return [
        line
        for line in all_lines
        if line.request == request
        or id(line) in standing
        or (
            own[0].time - _context_before(line.name) <= line.time <= last
            and line.request is None
            and line.vm in vms
            and (
                line.name in STATE_CHANGE_EVENTS | STORE_RESTORE_EVENTS
                or line.name in LASTING_EVENTS
                or line.name in _ENDS
                or line.mentions(upstreams)
                or (is_refused and line.name in COLD_EVENTS)
            )
        )
    ]


def _find_standing(all_lines: list[LogLine], request: str) -> set[int]:
    """Return the ids of the lines that began the states in force at the start of a request."""
    vms = {line.vm for line in all_lines if line.request == request}
    standing: dict[tuple[str, str, object], LogLine] = {}
    for line in all_lines:
        if line.request == request:
            break
        begin = line.name if line.name in LASTING_EVENTS else _ENDS.get(line.name)
        if begin is None or line.vm not in vms:
            continue
        key = (line.vm, begin, line.fields.get("domain"))
        if line.name in _ENDS:
            standing.pop(key, None)
        else:
            standing.setdefault(key, line)
    return {id(line) for line in standing.values()}


def _context_before(event: str) -> timedelta:
    """Return how long before a request an event is still included."""
    if event in COLD_EVENTS:
        return COLD_CONTEXT_BEFORE
    return RESTORE_CONTEXT_BEFORE if event in STORE_RESTORE_EVENTS else CONTEXT_BEFORE


def find_cold_upstreams(own: Iterable[LogLine]) -> list[str]:
    """Return the upstreams that did not take a request because they were cold.

    Parameters
    ----------
    own : iterable of LogLine
        Lines of the request.
    """
    named = (str(line.fields.get("held_back") or "").split(",") for line in own)
    cold = {
        item.removesuffix(COLD_START) for items in named for item in items if COLD_START in item
    }
    return sorted(cold)


def describe_cold_wait(timeline: Iterable[LogLine], request: str) -> str | None:
    """Return the sentence that names cold starts as the cause of a wait, None if they were not."""
    own = [line for line in timeline if line.request == request]
    cold = find_cold_upstreams(own)
    if cold:
        return f"it waited for a start at cold upstreams or went elsewhere: {', '.join(cold)}"
    for line in own:
        if COLD_REFUSAL in str(line.fields.get("detail", "")):
            return f"it waited for a start until it was refused: {line.fields['detail']}"
    return None


def count_failures(lines: Iterable[LogLine], timeline: list[LogLine]) -> dict[str, int]:
    """Count the failed sends of other requests at each upstream of a timeline, during its time."""
    if not timeline:
        return {}
    earlier_events = (
        STORE_RESTORE_EVENTS | LASTING_EVENTS.keys() | _ENDS.keys() | {"evacuation_kept"}
    )
    included_times = [line.time for line in timeline if line.name not in earlier_events]
    first, last = included_times[0], included_times[-1]
    own = {line.request for line in timeline} - {None}
    upstreams = {str(line.fields["upstream"]) for line in timeline if "upstream" in line.fields}
    counts: dict[str, int] = {}
    for line in lines:
        upstream = line.fields.get("upstream")
        is_other = line.name == "send_failed" and line.request not in own
        if is_other and upstream in upstreams and first <= line.time <= last:
            counts[upstream] = counts.get(upstream, 0) + 1
    return counts


def format_line(line: LogLine, start: datetime, request: str) -> str:
    """Return a line of a timeline as text: time since its start, VM, event and fields."""
    mark = "*" if line.request == request else " "
    fields = " ".join(f"{name}={value}" for name, value in line.fields.items())
    seconds = (line.time - start).total_seconds()
    return f"{mark} {seconds:+9.3f} s  {line.vm}  {line.name}  {fields}".rstrip()
