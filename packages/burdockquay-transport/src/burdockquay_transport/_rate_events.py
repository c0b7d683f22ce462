"""Log events about the request rate limits of upstreams."""

from __future__ import annotations

from burdockquay_coordination import RateChangeKind

from ._events import Event

RATE_EVENTS = {
    RateChangeKind.LEARNT: Event.RATE_LIMIT_LEARNT,
    RateChangeKind.CHANGED: Event.RATE_LIMIT_CHANGED,
    RateChangeKind.ENDED: Event.RATE_LIMIT_ENDED,
}
"""Event of each kind of change."""
