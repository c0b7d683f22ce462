"""The fixed set of error kinds and the answer sent for each."""

from __future__ import annotations

import enum

import attrs


class RunState(enum.Enum):
    """Whether a request ran, as reported to its caller."""

    NOT_RUN = "not_run"
    """The request did not run and never will."""
    UNKNOWN = "unknown"
    """The request may have run, or may still run."""
    RAN = "ran"
    """The request ran."""


class ErrorKind(enum.Enum):
    """Reason for which a request was refused or failed; the set is fixed."""

    BAD_REQUEST = "bad_request"
    UNAUTHENTICATED = "unauthenticated"
    NOT_FOUND = "not_found"
    UNKNOWN_MODEL = "unknown_model"
    BODY_TOO_LARGE = "body_too_large"
    HEAD_TOO_LARGE = "head_too_large"
    REQUEST_TIMEOUT = "request_timeout"
    CALLER_LIMIT = "caller_limit"
    KEY_REQUIRED = "key_required"
    KEY_REUSED = "key_reused"
    IN_PROGRESS = "in_progress"
    OUTCOME_UNKNOWN = "outcome_unknown"
    ORGANISATION_LIMIT = "organisation_limit"
    OVERLOADED = "overloaded"
    PATIENCE_EXCEEDED = "patience_exceeded"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    QUARANTINED = "quarantined"
    NO_UPSTREAM = "no_upstream"
    NO_PLACE = "no_place"
    UPSTREAM_LIMITED = "upstream_limited"
    UPSTREAM_RESTING = "upstream_resting"
    UPSTREAM_EVACUATED = "upstream_evacuated"
    STREAM_UNKNOWN = "stream_unknown"
    LEAVING = "leaving"
    NOT_READY = "not_ready"
    TABLE_UNAVAILABLE = "table_unavailable"
    CLAIM_LOST = "claim_lost"
    CANCELLED = "cancelled"
    UPSTREAM_REFUSED = "upstream_refused"
    UPSTREAM_FAILED = "upstream_failed"
    PEER_LOST = "peer_lost"
    CONFIGURATION_STALE = "configuration_stale"
    CRASH_SUSPECT = "crash_suspect"
    INTERNAL = "internal"


@attrs.frozen
class Answer:
    """Answer sent for one error kind.

    Parameters
    ----------
    status : int
        HTTP status.
    text : str
        Sentence for the caller.
    run : RunState
        Applies to every request with this error kind, unless the error overrides it.
    retry_after_s : float or None
        Seconds after which the caller may retry, None where a retry does not help.
    """

    status: int
    text: str
    run: RunState
    retry_after_s: float | None = None


_NOT_RUN = RunState.NOT_RUN
_UNKNOWN = RunState.UNKNOWN

ANSWERS: dict[ErrorKind, Answer] = {
    ErrorKind.BAD_REQUEST: Answer(400, "The request is malformed.", _NOT_RUN),
    ErrorKind.UNAUTHENTICATED: Answer(401, "The API key is missing or not valid.", _NOT_RUN),
    ErrorKind.NOT_FOUND: Answer(404, "No route matches the request.", _NOT_RUN),
    ErrorKind.UNKNOWN_MODEL: Answer(404, "No upstream group serves the model.", _NOT_RUN),
    ErrorKind.BODY_TOO_LARGE: Answer(413, "The body is larger than the limit.", _NOT_RUN),
    ErrorKind.HEAD_TOO_LARGE: Answer(431, "The head is larger than the limit.", _NOT_RUN),
    ErrorKind.REQUEST_TIMEOUT: Answer(
        408, "The request was not received completely in time.", _NOT_RUN, 1.0
    ),
    ErrorKind.CALLER_LIMIT: Answer(
        503, "The connections of callers have reached a limit of the process.", _NOT_RUN, 1.0
    ),
    ErrorKind.KEY_REQUIRED: Answer(400, "The route demands an Idempotency-Key header.", _NOT_RUN),
    ErrorKind.KEY_REUSED: Answer(
        422, "The Idempotency-Key was used before with another request.", _NOT_RUN
    ),
    ErrorKind.IN_PROGRESS: Answer(
        409, "A request with this Idempotency-Key is in progress.", _UNKNOWN, 1.0
    ),
    ErrorKind.OUTCOME_UNKNOWN: Answer(
        504, "The request may have run; its outcome is not known.", _UNKNOWN, 5.0
    ),
    ErrorKind.ORGANISATION_LIMIT: Answer(
        429, "The organisation has reached its limit.", _NOT_RUN, 1.0
    ),
    ErrorKind.OVERLOADED: Answer(
        503, "The class has more work than it can serve in time.", _NOT_RUN, 2.0
    ),
    ErrorKind.PATIENCE_EXCEEDED: Answer(
        503, "The request waited longer than its class allows.", _NOT_RUN, 2.0
    ),
    ErrorKind.DEADLINE_EXCEEDED: Answer(504, "The deadline of the request has passed.", _NOT_RUN),
    ErrorKind.QUARANTINED: Answer(
        422, "The request is quarantined: upstreams crashed while they ran it.", _NOT_RUN
    ),
    ErrorKind.NO_UPSTREAM: Answer(503, "No upstream can serve the request now.", _NOT_RUN, 1.0),
    ErrorKind.NO_PLACE: Answer(503, "The upstream has no free place.", _NOT_RUN, 1.0),
    ErrorKind.UPSTREAM_LIMITED: Answer(
        503, "The upstreams limit their requests, and none was left in time.", _NOT_RUN, 2.0
    ),
    ErrorKind.UPSTREAM_RESTING: Answer(
        503, "The upstreams have asked for a rest, which did not end in time.", _NOT_RUN, 2.0
    ),
    ErrorKind.UPSTREAM_EVACUATED: Answer(
        503, "The operator has evacuated all upstreams that could run it.", _NOT_RUN, 1.0
    ),
    ErrorKind.STREAM_UNKNOWN: Answer(
        503, "The stream cannot be resumed: nobody knows the version that began it.", _NOT_RUN, 1.0
    ),
    ErrorKind.LEAVING: Answer(503, "The process is shutting down.", _NOT_RUN, 0.5),
    ErrorKind.NOT_READY: Answer(503, "The process has no configuration yet.", _NOT_RUN, 1.0),
    ErrorKind.TABLE_UNAVAILABLE: Answer(
        503, "The table service cannot record the request, so it was not run.", _NOT_RUN, 2.0
    ),
    ErrorKind.CLAIM_LOST: Answer(
        409, "Another attempt of the request holds its claim.", _NOT_RUN, 1.0
    ),
    ErrorKind.CANCELLED: Answer(499, "The caller cancelled the request.", _UNKNOWN),
    ErrorKind.UPSTREAM_REFUSED: Answer(502, "The upstream refused the request.", _NOT_RUN),
    ErrorKind.UPSTREAM_FAILED: Answer(502, "The upstream failed while it ran.", _UNKNOWN, 1.0),
    ErrorKind.PEER_LOST: Answer(
        502, "The connection to the process beside the upstream was lost.", _UNKNOWN, 1.0
    ),
    ErrorKind.CONFIGURATION_STALE: Answer(
        503, "The process cannot tell whether its configuration is still the newest.", _NOT_RUN, 1.0
    ),
    ErrorKind.CRASH_SUSPECT: Answer(
        503, "Upstreams went down while they ran this request.", _NOT_RUN, 2.0
    ),
    ErrorKind.INTERNAL: Answer(500, "An internal error occurred.", _UNKNOWN),
}
"""The answer to each error kind; a test checks that every kind has one."""


@attrs.frozen
class RequestError:
    """Error with which one request was refused or failed.

    Parameters
    ----------
    kind : ErrorKind
    detail : str
        What was expected and what was received; shown to the caller.
    run : RunState or None
        Overrides the value of :data:`ANSWERS` where more is known about this request.
    retry_after_s : float or None
        Overrides the value of :data:`ANSWERS`.
    """

    kind: ErrorKind
    detail: str = ""
    run: RunState | None = None
    retry_after_s: float | None = None

    @property
    def answer(self) -> Answer:
        """The answer of :data:`ANSWERS` with the overrides of this error."""
        row = ANSWERS[self.kind]
        return attrs.evolve(
            row,
            run=self.run or row.run,
            retry_after_s=row.retry_after_s if self.retry_after_s is None else self.retry_after_s,
        )
