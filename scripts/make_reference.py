"""Generate the reference pages from tables in the code.

``python scripts/make_reference.py`` writes ``docs/events.md`` and ``docs/errors.md``. A test checks
that the committed pages equal the generated ones.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from pathlib import Path

from burdockquay_protocol import ANSWERS, ErrorKind
from burdockquay_transport import Event
from burdockquay_transport._metrics import refusal_counter, retry_counter

DOCS = Path(__file__).parent.parent / "docs"

EVENT_GROUPS = {
    10: "The process itself",
    11: "Configuration",
    12: "Platform services",
    13: "Other processes",
    14: "Requests",
    15: "Upstreams",
    16: "Quarantine",
    17: "Requests that run at most once",
    18: "Orders to engines",
    19: "Forwarding",
}
"""Page heading by the hundreds of the event number."""

CAUSES: dict[ErrorKind, str] = {
    ErrorKind.BAD_REQUEST: "Correct the request; the detail names the part, expected and got.",
    ErrorKind.UNAUTHENTICATED: "Send `Authorization: Bearer KEY` with a key whose digest is in an "
    "organisation record.",
    ErrorKind.NOT_FOUND: "No route record matches organisation, path, model and header.",
    ErrorKind.UNKNOWN_MODEL: "`GET /v1/models` lists the models of the group records.",
    ErrorKind.BODY_TOO_LARGE: "The limit is `max_body_bytes` in the settings of the entry.",
    ErrorKind.HEAD_TOO_LARGE: "The limit is `maxHeaderBytes` of the configuration, or "
    "`max_head_bytes` in the settings of the entry.",
    ErrorKind.REQUEST_TIMEOUT: "Send head and body faster: `headerTimeoutMs` of the configuration, "
    "or `head_timeout_s` in the settings of the entry, limits the head.",
    ErrorKind.CALLER_LIMIT: "The requests of all callers hold too much memory together and this "
    "one most (`max_caller_bytes`), or half of the connections (`max_caller_connections`) are in "
    "use, most by this organisation for this service. Retry after the time in `Retry-After`.",
    ErrorKind.KEY_REQUIRED: "Send a key that stays the same for all retries of the request.",
    ErrorKind.KEY_REUSED: "Another method, path or body came with this key; generate a new key.",
    ErrorKind.IN_PROGRESS: "Retry with the same key to get the outcome.",
    ErrorKind.OUTCOME_UNKNOWN: "Retry with the same key; the answer comes once it is recorded. "
    "If it never is, check at the upstream what it did.",
    ErrorKind.ORGANISATION_LIMIT: "`requests_per_s` or `outstanding` of the organisation record.",
    ErrorKind.OVERLOADED: "Refused immediately, before work was spent on it. Retry later.",
    ErrorKind.PATIENCE_EXCEEDED: "The wait in the queue exceeded `patience_s` of the class record.",
    ErrorKind.DEADLINE_EXCEEDED: "The deadline set by the caller, or by the entry, passed.",
    ErrorKind.QUARANTINED: "Upstreams crashed while they ran this request, or requests that begin "
    "with the same prompt. Do not retry it; an "
    "operator releases it by a quarantine-withdrawal record.",
    ErrorKind.NO_UPSTREAM: "No slot of the group is connected and healthy.",
    ErrorKind.NO_PLACE: "Every place of the upstream was taken when the attempt arrived.",
    ErrorKind.UPSTREAM_LIMITED: "All upstreams that could run it limit the requests of all "
    "processes together (`forwarder_upstream_rate_limit`). Retry after the time in `Retry-After`.",
    ErrorKind.UPSTREAM_RESTING: "All upstreams that could run it have asked for a rest "
    "(`forwarder_upstream_rest_seconds`). Retry after the time in `Retry-After`.",
    ErrorKind.UPSTREAM_EVACUATED: "The operator has evacuated the failure domains of all upstreams "
    "that could run it (`forwarder_evacuated_seconds`). Retry after the time in `Retry-After`.",
    ErrorKind.STREAM_UNKNOWN: "Upstreams of several software versions serve, and no process that "
    "could be reached knows which one began the stream. Send a new request from the beginning.",
    ErrorKind.LEAVING: "A planned shutdown; another process accepts the retry.",
    ErrorKind.NOT_READY: "The process has no configuration yet; see `/readyz`.",
    ErrorKind.TABLE_UNAVAILABLE: "Requests that run at most once wait for the table service.",
    ErrorKind.CLAIM_LOST: "Another attempt of the same request obtained the claim first.",
    ErrorKind.CANCELLED: "The caller closed its connection; it is cancelled at the upstream too.",
    ErrorKind.UPSTREAM_REFUSED: "The upstream answered with an error before it ran the request.",
    ErrorKind.UPSTREAM_FAILED: "The upstream broke off; a stream ends with an error event.",
    ErrorKind.PEER_LOST: "The slot or its VM is unreachable; whether the request ran is unknown.",
    ErrorKind.CONFIGURATION_STALE: "A forwarder could not reach the store for longer than an API "
    "key may remain valid after its withdrawal. Another process accepts the retry.",
    ErrorKind.CRASH_SUSPECT: "Upstreams went down while they ran this request, or while others "
    "with one of its prompt parts waited there; it is "
    "accepted again a minute after the last time.",
    ErrorKind.INTERNAL: "A fault in burdockquay; look for E1007 in the log.",
}
"""Cause of each error kind, and what to do about it."""


def make_events_page() -> str:
    """Return the text of ``docs/events.md``."""
    lines = [
        "# Events",
        "",
        "Generated by `scripts/make_reference.py`. A log line contains a time in UTC, a level, the",
        "number and the name of the event and its fields, as in",
        "",
        "    2026-03-01T08:30:00.125000Z INFO E1301 peer_connected vm=slot-3 incarnation=9f2c",
        "",
        "Values that are not plain words are quoted and escaped; long ones are truncated. Secrets",
        "and the content of requests are never logged. Events at level DEBUG may occur for every",
        "request; the counters in [metrics.md](metrics.md) count them at any level.",
    ]
    for hundred, heading in EVENT_GROUPS.items():
        events = [event for event in Event if event.number // 100 == hundred]
        rows = [(f"E{e.number}", f"`{e.name.lower()}`", e.level, e.summary) for e in events]
        lines += ["", f"## {heading}", ""]
        lines += _make_table(("number", "name", "level", "meaning"), rows)
    return "\n".join(lines) + "\n"


def make_errors_page() -> str:
    """Return the text of ``docs/errors.md``."""
    lines = [
        "# Errors",
        "",
        "Generated by `scripts/make_reference.py`. Every refusal and failure is of one of these",
        "kinds. The answer is JSON with the kind, a text and whether the request ran:",
        "",
        "- `not_run`: it certainly did not run and never will;",
        "- `unknown`: it may have run, or may still run;",
        "- `ran`: it ran.",
        "",
        "If the process has more specific information than this table, the answer states that.",
        "Each kind has the statsd counter `refusals.KIND`, and `retries.KIND` counts the attempts",
        "that were retried elsewhere because of it.",
        "",
    ]
    rows = [_describe_error(kind) for kind in ErrorKind]
    header = ("kind", "status", "run", "retry after", "text", "cause, and what to do", "counters")
    lines += _make_table(header, rows)
    return "\n".join(lines) + "\n"


def _describe_error(kind: ErrorKind) -> tuple[str, ...]:
    answer = ANSWERS[kind]
    retry_after = "" if answer.retry_after_s is None else f"{answer.retry_after_s:g} s"
    counters = f"`{refusal_counter(kind)}`, `{retry_counter(kind)}`"
    return (
        f"`{kind.value}`",
        str(answer.status),
        f"`{answer.run.value}`",
        retry_after,
        answer.text,
        CAUSES[kind],
        counters,
    )


def _make_table(header: Sequence[str], rows: Iterable[Sequence[str]]) -> list[str]:
    lines = [header, ["---"] * len(header), *rows]
    return ["| " + " | ".join(line) + " |" for line in lines]


PAGES = {"events.md": make_events_page, "errors.md": make_errors_page}
"""Function that generates each page, by file name."""


def main() -> None:
    """Write all reference pages."""
    for name, make in PAGES.items():
        (DOCS / name).write_text(make())


if __name__ == "__main__":
    main()
