"""Error answers that a forwarder sends when there is no answer from an upstream."""

from __future__ import annotations

from aiohttp import web

from burdockquay_coordination.forwarding import leaving_delay_s, retry_delay_s
from burdockquay_protocol import ErrorKind, RequestError

from .._events import Event, log_event
from .._request_body import CLOSING_KINDS
from ._answers import NOT_RUN_STATUSES
from ._platform import CallerRequest
from ._state import ForwarderState

PROCESS_LOCAL_KINDS = frozenset({ErrorKind.CONFIGURATION_STALE, ErrorKind.NOT_READY})
"""Kinds of refusals whose reason may apply to this process only."""

TIMED_KINDS = frozenset(
    {ErrorKind.UPSTREAM_LIMITED, ErrorKind.UPSTREAM_RESTING, ErrorKind.CRASH_SUSPECT}
)
"""Kinds of refusals that may tell when a retry can succeed."""


class Refusals:
    """Converts errors to answers.

    Parameters
    ----------
    state : ForwarderState
    """

    def __init__(self, state: ForwarderState):
        self.state = state

    def answer(
        self, request: CallerRequest | None, started: float, error: RequestError
    ) -> web.Response:
        """Return the answer for an error, and log it.

        Parameters
        ----------
        request : CallerRequest or None
            None if it could not be read.
        started : float
            When it arrived.
        error : RequestError
        """
        answer = error.answer
        headers = self.state.platform.answer_headers(request) if request else {}
        if answer.status in NOT_RUN_STATUSES:
            headers["Retry-After"] = f"{self._retry_after(request, started, error):.3f}"
        now = self.state.clock.now()
        directory = self.state.directory
        self.state.metrics.refusals.labels(error.kind.value).inc()
        log_event(
            Event.CALL_REFUSED,
            request=request.id if request else None,
            kind=error.kind,
            detail=error.detail or None,
            status=answer.status,
            run=answer.run,
            retry_after=headers.get("Retry-After"),
            held_s=now - started,
            revision=directory.config.version if directory else None,
            config_age_s=self.state.lease.age(now),
        )
        body = {"error": {"type": error.kind.value, "message": f"{answer.text} {error.detail}"}}
        response = web.json_response(body, status=answer.status, headers=headers)
        if error.kind in CLOSING_KINDS:
            response.force_close()
        if error.kind in PROCESS_LOCAL_KINDS and self.state.refers_callers(now):
            # On this connection, the caller would retry at this process.
            response.force_close()
        return response

    def _retry_after(
        self, request: CallerRequest | None, started: float, error: RequestError
    ) -> float:
        if error.kind in TIMED_KINDS and error.retry_after_s is not None:
            return error.retry_after_s
        now = self.state.clock.now()
        patience = None
        if request is not None and request.patience_s is not None:
            patience = request.patience_s - (now - started)
        # Others exist even if a young process has not connected to them yet.
        if error.kind is ErrorKind.LEAVING and not self.state.upstream_registry.fleet.is_alone:
            unnoticed_s = self.state.late_calls.unnoticed_s(now)
            has_neighbour = self.state.connected_neighbours() > 0
            return leaving_delay_s(patience, unnoticed_s, has_neighbour, self.state.rng)
        is_referred = error.kind in PROCESS_LOCAL_KINDS and self.state.refers_callers(now)
        return retry_delay_s(patience, is_referred, self.state.rng)
