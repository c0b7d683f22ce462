"""Numbered log events, and the one function that writes them.

Each line holds a time stamp in UTC, a level, the number and name of the event and its fields::

    2026-03-01T08:30:00.125000Z INFO E1301 peer_connected vm=slot-3 incarnation=9f2c

``docs/events.md`` is generated from :class:`Event`.
"""

from __future__ import annotations

import datetime
import enum
import json
import math
import re
import time
import traceback
from collections.abc import Callable
from typing import Any, TextIO

import attrs
import logbook

from ._log_pipe import LogPipe, PipeHandler

MAX_VALUE_CHARACTERS = 200
"""Longest value of a field that is written in full, characters."""

FORBIDDEN_FIELDS = frozenset(
    {
        "answer",
        "api_key",
        "authorization",
        "body",
        "content",
        "data",
        "header",
        "headers",
        "idempotency_key",
        "key",
        "messages",
        "nonce",
        "peer_key",
        "prompt",
        "proof",
        "secret",
        "text",
        "token",
    }
)
"""Names of fields that would carry a secret or the content of a request."""

LINE_FIELDS = frozenset({"time", "level", "event", "name"})
"""What each line tells of itself. A field of the same name would take its place: lines about sends
had the urgency of a request as their level, and no filter by level found them."""

_REFUSED_FIELDS = FORBIDDEN_FIELDS | LINE_FIELDS

MAX_ITEMS = 100
"""Items of a list that are written."""

_PLAIN = re.compile(r"[A-Za-z0-9_.:/@+*,()\[\]#%-]+")
_FORMAT = "{record.time:%Y-%m-%dT%H:%M:%S.%f}Z {record.level_name} {record.message}"


class Event(enum.Enum):
    """Every event that a process may log.

    Parameters
    ----------
    number : int
        Never used again for another event.
    level : str
        Name of the log level.
    summary : str
        What has happened and what it means, for the catalogue.

    Notes
    -----
    What happens once for each request is at level DEBUG: under a burst of refusals a line each
    would cost more than the refusals. The counters tell the numbers at any level.
    """

    PROCESS_STARTED = (1001, "INFO", "The process started with these settings.")
    PROCESS_LISTENING = (1002, "INFO", "The process listens at this address.")
    PROCESS_READY = (1003, "INFO", "The process takes work from now on.")
    PROCESS_STOPPING = (1004, "INFO", "A planned stop began: no new work, running work goes on.")
    PROCESS_STOPPED = (1005, "INFO", "The process ended.")
    STOP_LIMIT_REACHED = (
        1006,
        "WARNING",
        "The limit on a graceful shutdown passed; requests that still ran get an error.",
    )
    INTERNAL_ERROR = (1007, "ERROR", "A fault in the program; the requests concerned get an error.")
    SETTING_RENAMED = (1008, "WARNING", "The settings use an old name, which will go.")

    LOG_LINES_HELD_BACK = (
        1009,
        "WARNING",
        "Lines of these events were left out: too many in a second, or nobody read them.",
    )

    CONFIGURATION_APPLIED = (1101, "INFO", "A revision of the configuration is in force here.")
    CONFIGURATION_KEPT = (
        1104,
        "WARNING",
        "The platform shows an older configuration than the newest one in force at any process;"
        " what is in force here stays, and is not confirmed by it.",
    )
    RECORD_FAULT = (1102, "ERROR", "A record cannot be used; its last good version stays in force.")
    RECORD_SCHEMA_UNKNOWN = (
        1103,
        "WARNING",
        "A record has only schemas this release does not know; its last known version stays.",
    )

    CONFIGURATION_LOST = (
        1124,
        "WARNING",
        "The table returned from a copy and has lost changes of the configuration; they stay in "
        "force here. Put them again.",
    )
    RECORDS_KEPT = (
        1125,
        "WARNING",
        "These records stay as they were in force: the log lost their last change and went on. Put "
        "or withdraw each of them again.",
    )

    TABLE_UNAVAILABLE = (1201, "ERROR", "The table service does not answer.")
    TABLE_RECOVERED = (1202, "INFO", "The table service answers again.")
    STORE_RETURNED = (
        1206,
        "WARNING",
        "The platform's store came back from a copy: its newest changes are lost, and its era rose."
        " What was in force stays so until it is written again; ``ages_s`` tells how old what is"
        " known of each table was.",
    )
    VM_LIST_UNREADABLE = (1203, "WARNING", "The VM list cannot be read; the last one is used.")
    VM_LIST_RECOVERED = (1204, "INFO", "The VM list can be read again.")
    VM_ENTRY_FAULT = (1205, "WARNING", "An entry of the VM list is malformed and left out.")
    TABLE_ERA_CHANGED = (
        1226,
        "NOTICE",
        "The table service returned from a copy: its writes since the copy are gone.",
    )

    PEER_CONNECTED = (1301, "INFO", "A connection to another process is up.")
    PEER_DISCONNECTED = (1302, "INFO", "A connection to another process ended.")
    HANDSHAKE_REFUSED = (1303, "WARNING", "A process could not prove that it belongs to us.")
    PEER_MALFORMED = (1304, "ERROR", "A peer sent a message that cannot be read; it is cut off.")
    PEER_OVERSIZED = (1305, "ERROR", "A peer sent a message over the limit; it is cut off.")
    PEER_UNKNOWN_TYPE = (1306, "ERROR", "A peer sent a message of unknown type; it is cut off.")
    PEER_OUT_OF_ORDER = (1307, "ERROR", "A peer sent a message out of order; it is cut off.")
    PEER_INCARNATION_CHANGED = (1308, "NOTICE", "Another process answers for a known VM.")
    PEER_UNREACHABLE = (1309, "WARNING", "A process on the VM list cannot be reached.")
    SLOT_LEAVING = (1310, "INFO", "A slot is leaving and gets no new work.")

    REQUEST_REFUSED = (1401, "DEBUG", "A request was refused or failed, for this reason.")
    ATTEMPT_FAILED = (1402, "DEBUG", "An attempt failed at a slot.")
    REQUEST_RETRIED = (1403, "DEBUG", "A request is tried again elsewhere.")
    RETRY_BUDGET_EMPTY = (1404, "WARNING", "Retries are refused: their share of traffic is spent.")

    UPSTREAM_CRASHED = (1501, "ERROR", "The upstream ended while it ran requests.")
    UPSTREAM_UNHEALTHY = (1502, "WARNING", "The upstream fails its probes and gets no work.")
    UPSTREAM_HEALTHY = (1503, "INFO", "The upstream passes its probes again.")
    STRAGGLER_EJECTED = (1504, "WARNING", "An upstream is much slower than its peers.")
    STRAGGLER_RETURNED = (1505, "INFO", "An upstream is as fast as its peers again.")
    REQUEST_PAUSED = (1506, "DEBUG", "A running request makes room for a more urgent one.")
    REQUEST_RESUMED = (1507, "DEBUG", "A paused request runs again.")

    QUARANTINE_SUSPECTED = (1601, "WARNING", "A request ran where an upstream crashed.")

    CLAIM_REFUSED = (1701, "INFO", "A claim was refused: another attempt holds it.")
    CLAIM_OUTCOME_UNKNOWN = (1702, "WARNING", "A request at most once may or may not have run.")
    CLAIMS_RESTORED = (1723, "NOTICE", "The claims of this slot stand in the returned table again.")
    CLAIM_TAKEN_MEANWHILE = (
        1724,
        "ERROR",
        "A lost claim could not be written again, as another attempt holds its key: the request "
        "may run twice.",
    )
    CLAIMS_HELD = (1725, "WARNING", "No new claims: lost ones may still be written again.")
    CLAIMS_OPEN = (1726, "INFO", "New claims are made in this era of the table.")

    CALL_REFUSED = (1901, "INFO", "A forwarder answered a request itself, for this reason.")
    CALL_ENDED = (1902, "INFO", "A forwarded request ended with this status after so many sends.")
    SEND_FAILED = (1903, "INFO", "A send to an upstream brought no answer that could be passed on.")
    UPSTREAMS_CHANGED = (1904, "INFO", "The list of upstreams has changed.")
    UPSTREAM_AVOIDED = (
        1915,
        "INFO",
        "Others told that an upstream fails; it is avoided.",
    )
    MEMBER_NOT_REMOVED = (1907, "WARNING", "A leaving forwarder could not take out its entry.")
    MEMBER_REJOINED = (
        1916,
        "INFO",
        "After a return of the store from a copy a forwarder made sure of its entry; ``kept`` says"
        " whether it still stood there.",
    )
    UPSTREAMS_KEPT = (
        1917,
        "WARNING",
        "The store came back from a copy with an older list of upstreams. Those known to leave"
        " (``leaving``) or gone (``withheld``) get no work although it lists them; those it lacks"
        " (``missing``) are used until they have had time to enter themselves again.",
    )
    MEMBER_FORGOTTEN = (1908, "NOTICE", "A forwarder was unreachable for long; its entry goes.")
    MEMBERS_UNREACHABLE = (
        1912,
        "WARNING",
        "The list of forwarders cannot be read or written; known ones stay connected.",
    )
    ROUTE_FAULT = (1909, "ERROR", "A route of the configuration cannot be read and is left out.")
    SERVICE_FAULT = (1914, "ERROR", "What the configuration says of a service cannot be read.")
    CALL_SENT = (
        1911,
        "INFO",
        "A request was sent to an upstream; the fields tell what decided it and how old that was.",
    )
    FIRST_TOKEN = (
        1910,
        "DEBUG",
        "The first token of a prompt came; the fields tell what was predicted and what it took.",
    )
    SETTINGS_RELOADED = (1905, "INFO", "The settings were read again; nothing was dropped.")
    MECHANISMS_SET = (1913, "INFO", "All mechanisms of the forwarder decide but these.")
    SETTINGS_FAULT = (1906, "ERROR", "Changed settings are wrong; the last good ones stay.")

    ORDER_DONE = (1803, "INFO", "The engine carried out an order.")

    def __init__(self, number: int, level: str, summary: str):
        self.number = number
        self.level = level
        self.summary = summary
        self.severity = logbook.lookup_level(level)


_logger = logbook.Logger("burdockquay")


@attrs.define
class _Form:
    """How events are written: the function, and the fields of every JSON line."""

    write: Callable[[Event, dict[str, Any]], str]
    common: dict[str, Any] = attrs.field(factory=dict)


_form = _Form(lambda event, fields: format_event(event, fields))


def log_event(event: Event, **fields: Any) -> None:
    """Write one line for an event.

    Parameters
    ----------
    event : Event
    **fields
        What is known of it; names as in :data:`FORBIDDEN_FIELDS` and :data:`LINE_FIELDS` are
        refused.

    Raises
    ------
    ValueError
        If a field has a forbidden name, whatever the level of the log.
    """
    forbidden = _REFUSED_FIELDS.intersection(fields)
    if forbidden:
        raise ValueError(f"field {min(forbidden)!r} of {event.name} must not be logged")
    if event.severity < _logger.level:
        return
    number = f"E{event.number}"
    _logger.log(event.severity, "{}", _form.write(event, fields), extra={"event": number})


def format_event(event: Event, fields: dict[str, Any]) -> str:
    """Return the line of an event without time stamp and level.

    Examples
    --------
    >>> format_event(Event.PEER_CONNECTED, {"vm": "slot-3", "reason": "line 1\\nline 2"})
    'E1301 peer_connected vm=slot-3 reason="line 1\\\\nline 2"'
    """
    parts = [f"E{event.number}", event.name.lower()]
    parts += [f"{name}={_format_value(value)}" for name, value in fields.items()]
    return " ".join(parts)


def format_json_event(event: Event, fields: dict[str, Any]) -> str:
    """Return the line of an event as one JSON object, with the time of day.

    Fields that are None are left out. A field of the name of a common one is about another process.
    """
    moment = datetime.datetime.now(datetime.UTC)
    line = {
        "time": moment.isoformat(timespec="milliseconds").replace("+00:00", "Z"),
        "level": event.level,
        "event": f"E{event.number}",
        "name": event.name.lower(),
    }
    line |= _form.common
    for name, value in fields.items():
        if value is not None:
            line[f"peer_{name}" if name in _form.common else name] = _plain_value(value)
    return json.dumps(line, separators=(",", ":"))


def describe_fault(error: BaseException) -> str:
    """Return the type of an exception and where it was raised.

    The message is left out: it can hold a piece of the request that led to the exception.

    Examples
    --------
    >>> describe_fault(ValueError("some text of a caller"))
    'ValueError'
    """
    name = type(error).__name__
    frames = traceback.extract_tb(error.__traceback__)
    return f"{name}@{frames[-1].name}:{frames[-1].lineno}" if frames else name


def setup_json_logging(level: str, fd: int, **common: Any) -> PipeHandler:
    """Send events of ``level`` and above as JSON lines to a file descriptor, without waiting.

    Parameters
    ----------
    level : str
        As for :func:`setup_logging`.
    fd : int
    **common
        Fields of every line.

    Returns
    -------
    PipeHandler
        The handler; ``pop_application()`` takes it out again.
    """
    _logger.level = logbook.lookup_level(level)
    _form.write = format_json_event
    _form.common = common
    handler = PipeHandler(LogPipe(fd, time.monotonic, _describe_held_back), level)
    handler.push_application()
    return handler


def _describe_held_back(lines: dict[str, int]) -> str:
    return format_json_event(Event.LOG_LINES_HELD_BACK, {"lines": lines})


def setup_logging(level: str, stream: TextIO) -> logbook.StreamHandler:
    """Send events of ``level`` and above to ``stream``, for the whole process.

    Parameters
    ----------
    level : str
        ``"DEBUG"``, ``"INFO"``, ``"NOTICE"``, ``"WARNING"`` or ``"ERROR"``.
    stream : text stream

    Returns
    -------
    logbook.StreamHandler
        The handler; ``pop_application()`` takes it out again.
    """
    _logger.level = logbook.lookup_level(level)
    _form.write = format_event
    handler = logbook.StreamHandler(stream, level=level, format_string=_FORMAT)
    handler.push_application()
    return handler


def _plain_value(value: Any) -> Any:
    """Return a value as JSON takes it, cut to a bounded length."""
    if isinstance(value, bool | int):
        return value
    if isinstance(value, float):
        return float(f"{value:.6g}") if math.isfinite(value) else None
    if isinstance(value, list | tuple):
        return [_plain_value(item) for item in value[:MAX_ITEMS]]
    if isinstance(value, dict):
        return {str(name): _plain_value(item) for name, item in value.items()}
    return _describe(value)[:MAX_VALUE_CHARACTERS]


def _format_value(value: Any) -> str:
    text = _describe(value)
    if len(text) > MAX_VALUE_CHARACTERS:
        text = f"{text[:MAX_VALUE_CHARACTERS]}...({len(text)} characters)"
    if _PLAIN.fullmatch(text):
        return text
    # An escaped value cannot end the line: whoever names a VM or sends a header would otherwise
    # write lines into our log that look like events.
    return json.dumps(text)


def _describe(value: Any) -> str:
    if isinstance(value, float) and math.isfinite(value):
        return f"{value:.6g}"
    if isinstance(value, enum.Enum):
        return str(value.value)
    if isinstance(value, bytes | bytearray | memoryview):
        return f"<{len(value)} bytes>"
    if isinstance(value, BaseException):
        return f"{type(value).__name__}: {value}"
    return str(value)
