"""Numbered log events, and the function that writes them.

Each line has a time stamp in UTC, a level, the number and name of the event and its fields::

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
"""Length up to which the value of a field is written in full, characters."""

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
"""Names of fields that would hold a secret or the content of a request."""

LINE_FIELDS = frozenset({"time", "level", "event", "name"})
"""Fields that every line has. An event field of the same name would replace them: if lines
about sends had the urgency of the request as ``level``, no filter by level would find them."""

_REFUSED_FIELDS = FORBIDDEN_FIELDS | LINE_FIELDS

MAX_ITEMS = 100
"""Limit on the items of a list that are written."""

# With separators, ``json.dumps`` makes an encoder for each line.
_json_encoder = json.JSONEncoder(separators=(",", ":"))
_UNQUOTED = re.compile(r"[A-Za-z0-9_.:/@+*,()\[\]#%-]+")
_FORMAT = "{record.time:%Y-%m-%dT%H:%M:%S.%f}Z {record.level_name} {record.message}"


class Event(enum.Enum):
    """Events that a process may log.

    Parameters
    ----------
    number : int
        Never reused for another event.
    level : str
        Name of the log level.
    summary : str
        What happened and what it means, for the catalogue.

    Notes
    -----
    Events that occur for every request have level DEBUG: in a burst of refusals one line each would
    cost more than the refusals. The metrics count them at any log level.
    """

    PROCESS_STARTED = (1001, "INFO", "The process started with these settings.")
    PROCESS_LISTENING = (1002, "INFO", "The process listens at this address.")
    PROCESS_READY = (1003, "INFO", "The process accepts work from now on.")
    PROCESS_STOPPING = (
        1004,
        "INFO",
        "A graceful shutdown began: no new work is accepted, running work continues.",
    )
    PROCESS_STOPPED = (1005, "INFO", "The process has stopped.")
    STOP_LIMIT_REACHED = (
        1006,
        "WARNING",
        "The time limit of a graceful shutdown has passed; requests that still run get an error.",
    )
    INTERNAL_ERROR = (1007, "ERROR", "A fault in the program; the affected requests get an error.")
    SETTING_RENAMED = (
        1008,
        "WARNING",
        "The settings use a deprecated name, which will be removed.",
    )

    LOG_LINES_HELD_BACK = (
        1009,
        "WARNING",
        "Lines of these events were dropped: too many in a second, or the log was not read.",
    )

    LATE_REQUEST = (
        1010,
        "INFO",
        "A process that shuts down passed a request on, or refused it, ``age_s`` after it was told "
        "to stop, for this reason.",
    )
    REQUEST_CUT = (
        1011,
        "WARNING",
        "A request that was passed on ``passed_on_s`` after the process was told to stop was not "
        "finished by its end; negative for one that was passed on before.",
    )
    TASK_FAILED = (
        1012,
        "ERROR",
        "A task on which other parts of the process rely has ended by an exception; ``failures`` "
        "counts how often. It is begun again after ``pause_s``.",
    )
    TASK_RECOVERED = (
        1015,
        "NOTICE",
        "A task that had failed has run for some time without a failure.",
    )

    CONFIGURATION_APPLIED = (1101, "INFO", "A revision of the configuration is in force here.")
    CONFIGURATION_KEPT = (
        1104,
        "WARNING",
        "The platform shows an older configuration than the newest one in force at any process;"
        " what is in force here stays in force, without being confirmed by this read.",
    )
    RECORD_FAULT = (
        1102,
        "ERROR",
        "A record cannot be used; its last valid version stays in force.",
    )
    RECORD_SCHEMA_UNKNOWN = (
        1103,
        "WARNING",
        "A record has only schemas that this release does not support; its last supported version "
        "stays in force.",
    )

    CONFIGURATION_LOST = (
        1124,
        "WARNING",
        "The table was restored from a copy and lacks changes of the configuration; they stay in "
        "force here. Put them again.",
    )
    RECORDS_KEPT = (
        1125,
        "WARNING",
        "These records stay as they were in force: the log lost their last change and has new "
        "entries since. Put or withdraw each of them again.",
    )

    TABLE_UNAVAILABLE = (1201, "ERROR", "The table service does not answer.")
    TABLE_RECOVERED = (1202, "INFO", "The table service answers again.")
    STORE_RETURNED = (
        1206,
        "WARNING",
        "The platform's store was restored from a copy: its newest changes are lost, and its era"
        " increased. What was in force stays in force until it is written again; ``ages_s`` is the"
        " age of the last received state of each table.",
    )
    VM_LIST_UNREADABLE = (
        1203,
        "WARNING",
        "The VM list cannot be read; the last list read stays in use.",
    )
    VM_LIST_RECOVERED = (1204, "INFO", "The VM list can be read again.")
    ENTRY_FAULT = (
        1981,
        "WARNING",
        "An entry in a table of the platform cannot be used and is ignored; an upstream that it "
        "replaces gets no new requests. Logged once for each revision of the entry.",
    )
    VM_ENTRY_FAULT = (1205, "WARNING", "An entry of the VM list is malformed and is ignored.")
    TABLE_ERA_CHANGED = (
        1226,
        "NOTICE",
        "The table service was restored from a copy: its writes since the copy are lost.",
    )

    MESSAGE_NOT_SENT = (
        1311,
        "ERROR",
        "A message to peers cannot be encoded and is dropped; they learn its content later, from "
        "the platform or from the next message.",
    )
    MESSAGE_NOT_HANDLED = (
        1312,
        "ERROR",
        "A fault in the handling of a message from a peer; the connection goes on without it.",
    )
    PEER_CONNECTED = (1301, "INFO", "A connection to another process was established.")
    PEER_DISCONNECTED = (1302, "INFO", "A connection to another process ended.")
    HANDSHAKE_REFUSED = (
        1303,
        "WARNING",
        "A handshake with another process failed, for this reason.",
    )
    PEER_MALFORMED = (1304, "ERROR", "A peer sent a malformed message; it is disconnected.")
    PEER_OVERSIZED = (
        1305,
        "ERROR",
        "A peer sent a message above the size limit; it is disconnected.",
    )
    PEER_UNKNOWN_TYPE = (
        1306,
        "ERROR",
        "A peer sent a message of unknown type; it is disconnected.",
    )
    PEER_OUT_OF_ORDER = (1307, "ERROR", "A peer sent a message out of order; it is disconnected.")
    PEER_INCARNATION_CHANGED = (
        1308,
        "NOTICE",
        "A VM that was connected before answers with a new process.",
    )
    PEER_UNREACHABLE = (1309, "WARNING", "A process on the VM list cannot be reached.")
    SLOT_LEAVING = (1310, "INFO", "A slot is draining and gets no new work.")

    REQUEST_REFUSED = (1401, "DEBUG", "A request was refused or failed, for this reason.")
    ATTEMPT_FAILED = (1402, "DEBUG", "An attempt failed at a slot.")
    REQUEST_RETRIED = (1403, "DEBUG", "A request is retried elsewhere.")
    RETRY_BUDGET_EMPTY = (
        1404,
        "WARNING",
        "Retries are refused: the retry budget, a share of the traffic, is used up.",
    )

    SOFTWARE_MISFIT = (
        1405,
        "INFO",
        "A retry reached an engine of another software version than the one that began the answer; "
        "it is cancelled there.",
    )

    UPSTREAM_CRASHED = (1501, "ERROR", "The upstream crashed while it ran requests.")
    UPSTREAM_UNHEALTHY = (1502, "WARNING", "The upstream fails its probes and gets no work.")
    UPSTREAM_HEALTHY = (1503, "INFO", "The upstream passes its probes again.")
    STRAGGLER_EJECTED = (1504, "WARNING", "An upstream is much slower than its peers.")
    STRAGGLER_RETURNED = (1505, "INFO", "An upstream is as fast as its peers again.")
    REQUEST_PAUSED = (1506, "DEBUG", "A running request is paused in favour of a more urgent one.")
    REQUEST_RESUMED = (1507, "DEBUG", "A paused request was resumed.")

    QUARANTINE_SUSPECTED = (1601, "WARNING", "These requests ran on an upstream when it crashed.")

    CLAIM_REFUSED = (1701, "INFO", "A claim was refused: another attempt holds it.")
    CLAIM_OUTCOME_UNKNOWN = (
        1702,
        "WARNING",
        "It is unknown whether a request that may run at most once has run.",
    )
    CLAIMS_RESTORED = (1723, "NOTICE", "The claims of this slot are in the restored table again.")
    CLAIM_TAKEN_MEANWHILE = (
        1724,
        "ERROR",
        "A lost claim could not be written again, since another attempt holds its key: the "
        "request may run twice.",
    )
    CLAIMS_HELD = (
        1725,
        "WARNING",
        "No new claims are made, since lost claims may still be written again.",
    )
    CLAIMS_OPEN = (1726, "INFO", "New claims are made in this era of the table.")

    CALL_REFUSED = (1901, "INFO", "A forwarder refused a request itself, for this reason.")
    CALL_ENDED = (
        1902,
        "INFO",
        "A forwarded request ended with this status after this number of sends.",
    )
    SEND_FAILED = (
        1903,
        "INFO",
        "A send to an upstream produced no answer that could be relayed to the caller.",
    )
    UPSTREAMS_CHANGED = (1904, "INFO", "The list of upstreams has changed.")
    UPSTREAM_AVOIDED = (
        1915,
        "INFO",
        "Other forwarders report that an upstream fails; it is avoided.",
    )
    MEMBER_NOT_REMOVED = (
        1907,
        "WARNING",
        "A forwarder that shuts down could not remove its entry.",
    )
    MEMBER_REJOINED = (
        1916,
        "INFO",
        "After a restore of the store from a copy a forwarder ensured that its entry is listed;"
        " ``kept`` is whether it still was.",
    )
    UPSTREAMS_KEPT = (
        1917,
        "WARNING",
        "The store was restored from a copy with an older list of upstreams. Those known to drain"
        " (``leaving``) or to be removed (``withheld``) get no work although they are listed; those"
        " not listed (``missing``) are used until they have had time to register again.",
    )
    MEMBER_FORGOTTEN = (
        1908,
        "NOTICE",
        "A forwarder was unreachable for long; its entry is removed.",
    )
    MEMBERS_UNREACHABLE = (
        1912,
        "WARNING",
        "The list of forwarders cannot be read or written; known forwarders stay connected.",
    )
    ROUTE_FAULT = (1909, "ERROR", "A route of the configuration is invalid and is ignored.")
    SERVICE_FAULT = (1914, "ERROR", "The configuration of a service is invalid.")
    ORGANISATION_FAULT = (
        1982,
        "ERROR",
        "An organisation of the configuration is invalid; its keys are refused.",
    )
    HOMES_FAULT = (
        1970,
        "ERROR",
        "The homes of a route or an organisation cannot be read, or name no known region: none of "
        "its requests is served until they do. Once for each version of the configuration.",
    )
    REGIONS_SET = (
        1959,
        "INFO",
        "The settings name several regions: the one of this process, and all of them.",
    )
    REGION_WAY_CHANGED = (
        1960,
        "NOTICE",
        "The measured round trip to another region has changed; placement adds it to predictions.",
    )
    UPSTREAM_COLD = (
        1971,
        "NOTICE",
        "An upstream is cold: it gets at most ``per_s`` requests a second from all processes until "
        "``remaining_s`` have passed. ``source`` is the list, an answer, the VM of a peer, or "
        "``unknown`` where nothing shows that it is warm.",
    )
    UPSTREAM_WARM = (1972, "INFO", "An upstream is not cold any more, after ``cold_s``.")
    EVACUATION_BEGAN = (
        1973,
        "NOTICE",
        "The operator has evacuated a failure domain: its upstreams get no requests. ``age_s`` is "
        "the age of the reading that shows it.",
    )
    EVACUATION_ENDED = (
        1974,
        "NOTICE",
        "The operator has taken back the evacuation of a failure domain, after ``lasted_s``.",
    )
    EVACUATION_KEPT = (
        1975,
        "WARNING",
        "A store that was restored from a copy lacks the evacuation of a failure domain. It stays "
        "in force for some seconds, in which the operator can write it again.",
    )
    CALL_SENT = (
        1911,
        "INFO",
        "A request was sent to an upstream; the fields give the data for the choice and its age.",
    )
    FIRST_TOKEN = (
        1910,
        "DEBUG",
        "The first token of a prompt arrived; the fields give the predicted and the actual time.",
    )
    UPSTREAM_WENT_DOWN = (
        1944,
        "WARNING",
        "An upstream went down while it ran requests: those without an answer, those with one, the "
        "time until it was found, the prompt parts that had no answer, and the suspects.",
    )
    UPSTREAM_REPORTED_DOWN = (1945, "INFO", "A peer reports that an upstream went down.")
    PART_REFUSED = (
        1946,
        "ERROR",
        "Requests with this prompt part are refused: these upstreams crashed under it.",
    )
    PART_CLEARED = (1947, "NOTICE", "Requests with this prompt part are served again.")
    PART_TRIED = (
        1948,
        "WARNING",
        "A request with refused prompt parts is sent to test whether they still crash upstreams.",
    )
    PARTS_NOT_KEPT = (
        1949,
        "WARNING",
        "The refused prompt parts could not be read from the table or written to it.",
    )
    REFUSED_EVACUATED = (
        1964,
        "DEBUG",
        "A request was refused because all slots of its group are in evacuated failure domains.",
    )
    ENGINE_COLD = (
        1965,
        "NOTICE",
        "The upstream of this slot counts as cold: at most ``per_s`` requests a second start until "
        "``remaining_s`` have passed. ``source`` is the ``start`` of the slot, a ``crash``, a "
        "connection that was ``refused``, a failed ``probe``, another run after one that left "
        "(``replaced``), or the end of an ``evacuation``, in which a restart goes unnoticed.",
    )
    ENGINE_WARM = (1966, "INFO", "The upstream of this slot is not cold any more.")
    SETTINGS_RELOADED = (1905, "INFO", "The settings were read again; nothing was dropped.")
    MECHANISMS_SET = (1913, "INFO", "All mechanisms of the forwarder are active except these.")
    SETTINGS_FAULT = (
        1906,
        "ERROR",
        "Changed settings are invalid; the last valid ones stay in force.",
    )

    DUTY_TAKEN = (
        1920,
        "NOTICE",
        "This process reports usage from now on, with this fencing number.",
    )
    DUTY_LOST = (
        1921,
        "WARNING",
        "This process does not report usage any more: its lease was not renewed in time.",
    )
    DUTY_RELEASED = (1922, "NOTICE", "This process released the lease of the usage reports.")
    DUTY_FENCED = (
        1923,
        "WARNING",
        "The platform refused a usage report, since it has seen a higher fencing number.",
    )
    USAGE_FIXED = (
        1924,
        "INFO",
        "The counts of a window were fixed in the store; every delivery repeats them.",
    )
    USAGE_DELIVERED = (1925, "INFO", "The platform accepted the usage report of a window.")
    USAGE_UNCONFIRMED = (
        1926,
        "WARNING",
        "A usage report was not confirmed; it is delivered again with the same counts.",
    )
    USAGE_REJECTED = (
        1927,
        "ERROR",
        "The platform rejected a usage report, or fixed counts cannot be read; the window is not "
        "reported.",
    )
    USAGE_WITHDRAWN = (
        1928,
        "ERROR",
        "The store holds other counts of a window than this process fixed before a restore; the "
        "window is not delivered again.",
    )

    RATE_LIMIT_LEARNT = (
        1929,
        "WARNING",
        "An upstream limits the requests of all processes together; ``source`` is whether this "
        "process saw it in an answer or another one reported it.",
    )
    RATE_LIMIT_CHANGED = (1930, "INFO", "An upstream names another limit than before.")
    RATE_LIMIT_ENDED = (1931, "NOTICE", "An upstream does not limit the requests any more.")
    RATE_LIMIT_FAULT = (
        1932,
        "WARNING",
        "The limit that an upstream names was not taken as it is: an unreadable one changes "
        "nothing, one that is too low becomes the lowest one, one that is too high is none. Logged "
        "once for each run of an upstream and fault.",
    )

    SENDS_HELD_BACK = (
        1933,
        "INFO",
        "Requests found an upstream that takes none of this process now because of its "
        "``statement``: its limit, its rest or that it leaves; ``count`` since the last such line, "
        "of which there is at most one a second for each upstream. One line stands for all "
        "upstreams of an evacuated ``domain``.",
    )
    RATE_LIMIT_OWNER = (
        1934,
        "INFO",
        "Another process than before grants the starts at a limited upstream, as seen here.",
    )

    STATEMENT_LEARNT = (
        1935,
        "WARNING",
        "An upstream has stated something about itself, ``statement``: ``leaving`` (it takes no "
        "new requests) or ``rest`` (it wants none for ``value`` seconds). ``proved`` is whether "
        "the answer proves its origin; ``source`` as for 1929.",
    )
    STATEMENT_CHANGED = (1936, "INFO", "An upstream has stated another value than before.")
    STATEMENT_ENDED = (1937, "NOTICE", "What an upstream has stated is not in force any more.")
    STATEMENT_FAULT = (
        1938,
        "WARNING",
        "What an upstream has stated was not taken as it is: an unreadable statement changes "
        "nothing, a rest that is too long becomes the longest one. Logged once for each run of an "
        "upstream, statement and fault.",
    )

    STATEMENT_UNKNOWN = (
        1939,
        "NOTICE",
        "Another process reports a kind of statement that this release does not know; ignored.",
    )

    RETRY_GRANTED = (
        1940,
        "INFO",
        "A retry was withdrawn from the budget of a service. ``requests`` and ``retries`` are "
        "those of the window at this process, ``burst`` is its part of the constant number, which "
        "is divided among ``members``, and ``age_s`` the age of the process.",
    )
    RETRY_DENIED = (
        1941,
        "INFO",
        "The budget of a service did not allow a retry; the fields are those of 1940.",
    )
    MEMBERS_CHANGED = (
        1942,
        "INFO",
        "The list of forwarders has changed: how many it has now, and which are new or gone.",
    )

    STREAM_RESUMED = (
        1943,
        "INFO",
        "A caller resumes a stream. ``software`` is the version that began it; ``source`` is how "
        "it was found: this process (``own``) or a peer knows it, or it is the only one by the "
        "record in the table (``record``) or, without the table, by what all processes have seen "
        "(``only``). If it is ``unknown``, the stream is not resumed. ``recorded`` and ``seen`` "
        "are the origins of the record and of the list of upstreams in the last minute, "
        "``is_current`` says whether the list and the configuration were confirmed since then, "
        "``has_missed`` whether an entry came and went unseen, ``is_watched`` whether the list was "
        "followed for a minute, and ``is_covered`` whether it was, or whether a checkpoint and all "
        "changes since cover that time. ``list_age_s`` is the age of the list at the arrival, "
        "``asked_s`` the time that the search took, and ``seen_by`` what the peers take for the "
        "only version.",
    )
    ANSWER_GIVEN_UP = (
        1977,
        "WARNING",
        "An answer of an upstream or of the platform took too much, had no end, or had a head that "
        "is malformed or not that of a single answer, and its connection was aborted.",
    )
    CALLER_GIVEN_UP = (
        1406,
        "WARNING",
        "A connection of a caller was given up, or a request on it refused, since it took too much "
        "memory, too many descriptors or too long.",
    )
    ANSWER_UNDELIVERED = (
        1407,
        "WARNING",
        "A connection of a caller was closed before it had acknowledged so many bytes of answers; "
        "``received`` bytes of requests were not answered.",
    )
    ORIGIN_NOT_RECORDED = (
        1976,
        "WARNING",
        "The first event of a stream was passed on before its service and version were recorded, "
        "because the table did not answer in time. ``waited_s`` is the time for which the event "
        "was held, ``failures`` the number of failed writes so far, and ``reason`` and ``detail`` "
        "are those of the last one.",
    )
    ORIGIN_RECORDED = (
        1985,
        "INFO",
        "This process has recorded a service and version at which streams of a route begin, after "
        "``seconds`` and ``failures`` failed writes, or has learned that another process has.",
    )

    LIST_COVERED = (
        1986,
        "INFO",
        "This process knows the services and versions (``origins``) listed before it started, by "
        "the checkpoint at this position or, without one, by the complete history of the list. "
        "``unknown`` entries came and went since: streams that nobody knows are then not resumed.",
    )
    LIST_NOT_COVERED = (
        1987,
        "WARNING",
        "The checkpoint of the list of upstreams cannot be used or written, for this ``reason``. "
        "A process that has just started then resumes no streams that nobody knows.",
    )
    CHECKPOINT_WRITTEN = (
        1988,
        "DEBUG",
        "This process has written the checkpoint of the list of upstreams at this position.",
    )

    LESS_URGENT_STARTED = (
        1978,
        "INFO",
        "Prompts started while more urgent ones waited at this process; ``starts`` since the last "
        "such line, of which there is at most one a second for each service. The other fields "
        "are those of the newest start: ``rank``, ``waiting`` more urgent ones, the ``oldest`` "
        "of them, for how long it waits, and the number of them by the reason why they did not "
        "start.",
    )

    TABLE_CONTENT_RECEIVED = (
        1979,
        "NOTICE",
        "A peer has sent a complete table of the platform, because this process missed changes "
        "that the platform did not send it in time; ``size`` in bytes, compressed.",
    )
    TABLE_CONTENT_FAULT = (
        1980,
        "WARNING",
        "A peer has sent a complete table that cannot be read; it is ignored.",
    )

    ORDER_DONE = (1803, "INFO", "The engine carried out an order.")

    def __init__(self, number: int, level: str, summary: str):
        self.number = number
        self.level = level
        self.summary = summary
        self.severity = logbook.lookup_level(level)


_logger = logbook.Logger("burdockquay")


@attrs.define
class _LineFormat:
    """Line format: the formatting function, and the common fields of every JSON line."""

    write: Callable[[Event, dict[str, Any]], str]
    common: dict[str, Any] = attrs.field(factory=dict)


_line_format = _LineFormat(lambda event, fields: format_event(event, fields))


def log_event(event: Event, **fields: Any) -> None:
    """Write one line for an event.

    Parameters
    ----------
    event : Event
    **fields
        Fields of the event; names in :data:`FORBIDDEN_FIELDS` and :data:`LINE_FIELDS` are
        refused.

    Raises
    ------
    ValueError
        If a field has a forbidden name, regardless of the log level.
    """
    forbidden = _REFUSED_FIELDS.intersection(fields)
    if forbidden:
        raise ValueError(f"field {min(forbidden)!r} of {event.name} must not be logged")
    if event.severity < _logger.level:
        return
    number = f"E{event.number}"
    _logger.log(event.severity, "{}", _line_format.write(event, fields), extra={"event": number})


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

    Fields that are None are omitted. A field with the name of a common field describes another
    process and gets the prefix ``peer_``.
    """
    moment = datetime.datetime.now(datetime.UTC)
    line = {
        "time": moment.isoformat(timespec="milliseconds").replace("+00:00", "Z"),
        "level": event.level,
        "event": f"E{event.number}",
        "name": event.name.lower(),
    }
    line |= _line_format.common
    for name, value in fields.items():
        if value is not None:
            line[f"peer_{name}" if name in _line_format.common else name] = _to_json_value(value)
    return _json_encoder.encode(line)


def describe_fault(error: BaseException) -> str:
    """Return the type of an exception and where it was raised.

    The message is omitted: it can contain a part of the request that led to the exception.

    Examples
    --------
    >>> describe_fault(ValueError("some text of a caller"))
    'ValueError'
    """
    name = type(error).__name__
    frames = traceback.extract_tb(error.__traceback__)
    return f"{name}@{frames[-1].name}:{frames[-1].lineno}" if frames else name


def setup_json_logging(level: str, fd: int, **common: Any) -> PipeHandler:
    """Write events of ``level`` and above as JSON lines to a file descriptor, without blocking.

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
        The handler; ``pop_application()`` removes it.
    """
    _logger.level = logbook.lookup_level(level)
    _line_format.write = format_json_event
    _line_format.common = common
    handler = PipeHandler(LogPipe(fd, time.monotonic, _describe_held_back), level)
    handler.push_application()
    return handler


def _describe_held_back(lines: dict[str, int]) -> str:
    return format_json_event(Event.LOG_LINES_HELD_BACK, {"lines": lines})


def setup_logging(level: str, stream: TextIO) -> logbook.StreamHandler:
    """Write events of ``level`` and above to ``stream``, for the whole process.

    Parameters
    ----------
    level : str
        ``"DEBUG"``, ``"INFO"``, ``"NOTICE"``, ``"WARNING"`` or ``"ERROR"``.
    stream : text stream

    Returns
    -------
    logbook.StreamHandler
        The handler; ``pop_application()`` removes it.
    """
    _logger.level = logbook.lookup_level(level)
    _line_format.write = format_event
    handler = logbook.StreamHandler(stream, level=level, format_string=_FORMAT)
    handler.push_application()
    return handler


def _to_json_value(value: Any) -> Any:
    """Return a value in a JSON type, truncated to a bounded length."""
    if isinstance(value, bool | int):
        return value
    if isinstance(value, float):
        return float(f"{value:.6g}") if math.isfinite(value) else None
    if isinstance(value, list | tuple):
        return [_to_json_value(item) for item in value[:MAX_ITEMS]]
    if isinstance(value, dict):
        return {str(name): _to_json_value(item) for name, item in value.items()}
    return _describe(value)[:MAX_VALUE_CHARACTERS]


def _format_value(value: Any) -> str:
    text = _describe(value)
    if len(text) > MAX_VALUE_CHARACTERS:
        text = f"{text[:MAX_VALUE_CHARACTERS]}...({len(text)} characters)"
    if _UNQUOTED.fullmatch(text):
        return text
    # Escaping keeps the value within its line. Otherwise the name of a VM or a header could inject
    # lines into the log that look like events.
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
