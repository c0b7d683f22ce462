"""Limits on callers' connections, from the settings, the configuration and the machine."""

from __future__ import annotations

from burdockquay_coordination import CallerTerms
from burdockquay_coordination.forwarding import CallerLimits

from .._process_limits import (
    default_connections,
    default_held_bytes,
    read_descriptors,
    read_memory_bytes,
)
from ._settings import ForwarderSettings

MAX_REQUEST_LINE_BYTES = 8 << 10
"""Allowance for the first line of a head, which the configured limit does not include, bytes."""

DEFAULT_LIMITS = CallerLimits(
    max_body_bytes=16 << 20, max_head_bytes=64 << 10, head_timeout_s=30.0, idle_timeout_s=300.0
)
"""Limits that are in force unless the configuration sets others."""


class CallerTermsSource:
    """Returns the limits that are in force.

    Parameters
    ----------
    settings : ForwarderSettings
    """

    def __init__(self, settings: ForwarderSettings):
        memory_bytes = read_memory_bytes()
        self._max_connections = settings.max_caller_connections or default_connections(
            read_descriptors(), memory_bytes
        )
        self._max_held_bytes = settings.max_caller_bytes or default_held_bytes(memory_bytes)
        self._answer_timeout_s = settings.answer_timeout_s
        self._made: tuple[CallerLimits, CallerTerms] | None = None

    def terms(self, limits: CallerLimits | None) -> CallerTerms:
        """Return the limits with those of a configuration, None while there is none."""
        limits = limits or DEFAULT_LIMITS
        if self._made is None or self._made[0] is not limits:
            self._made = (limits, self._make(limits))
        return self._made[1]

    def _make(self, limits: CallerLimits) -> CallerTerms:
        default = DEFAULT_LIMITS
        return CallerTerms(
            max_connections=self._max_connections,
            max_held_bytes=self._max_held_bytes,
            max_head_bytes=(limits.max_head_bytes or default.max_head_bytes)
            + MAX_REQUEST_LINE_BYTES,
            max_body_bytes=limits.max_body_bytes or default.max_body_bytes,
            head_timeout_s=limits.head_timeout_s or default.head_timeout_s,
            idle_timeout_s=limits.idle_timeout_s or default.idle_timeout_s,
            answer_timeout_s=self._answer_timeout_s,
        )
