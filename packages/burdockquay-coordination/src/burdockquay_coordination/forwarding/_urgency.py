"""Order of requests: their rank in queues, and their urgency level at an upstream.

Both depend on the request alone and not on what else is configured, so that all processes have the
same order, whatever version each has, and running streams keep their place in it.
"""

from __future__ import annotations

from ._config import CallerOrganisation, ForwardRoute

URGENCY_LEVELS = 10
"""Number of urgency levels that an upstream distinguishes; level 0 is read first."""

PRIORITIES = 10
"""Number of priorities that routes and organisations may have; later ones count as the last."""

_LEVELS = (
    ((0, 1), (2, 3)),
    ((4, 5), (6, 7)),
    ((8, 8), (8, 8)),
    ((9, 9), (9, 9)),
)
"""Levels by the priority of the route, then of organisations of priority 0 and of others, then of
short and of long prompts; less urgent routes have the last ones."""

SHORT_READING_SHARE = 0.1
"""Share of the tightest target of a service up to which the reading time of a prompt is short. Each
such prompt delays the others by a tenth of the tightest target at most."""


def request_priority(route: ForwardRoute, organisation: CallerOrganisation | None) -> int:
    """Return the priority of a request: that of its organisation, or else of its route."""
    if organisation is None or organisation.priority is None:
        return route.priority
    return organisation.priority


def request_rank(route: ForwardRoute, organisation: CallerOrganisation | None) -> int:
    """Return the rank of a request among all to its service: 0 is the first.

    For prompts, the priority of the route decides first, and that of the organisation between
    requests to routes of the same priority. If the organisation decided first, upstreams that run
    out of memory would preempt streams of urgent routes while long prompts of others continue.
    """
    priority = request_priority(route, organisation)
    if not route.by_prompt:
        return priority
    return route.priority * PRIORITIES + _bounded(priority, PRIORITIES)


def urgency_level(route_priority: int, priority: int, is_short: bool) -> int:
    """Return the urgency level of a request at its upstream, less than ``URGENCY_LEVELS``.

    Upstreams read prompts of one level in order of arrival, and preempt the newest of the least
    urgent level when their memory is full. In a burst of long prompts, short ones would wait for
    the long ones and miss their targets, while the long ones gain almost nothing.

    Parameters
    ----------
    route_priority : int
        Priority of the route, for requests with a prompt; otherwise ``priority``.
    priority : int
        See :func:`request_priority`.
    is_short : bool
        Whether the reading time of its prompt is short; false for requests without a prompt.

    Examples
    --------
    >>> urgency_level(0, 0, is_short=True), urgency_level(0, 1, is_short=False)
    (0, 3)
    >>> urgency_level(1, 0, is_short=True)
    4
    """
    by_organisation = _LEVELS[_bounded(route_priority, len(_LEVELS))]
    return by_organisation[_bounded(priority, 2)][not is_short]


def _bounded(priority: int, count: int) -> int:
    return min(max(priority, 0), count - 1)
