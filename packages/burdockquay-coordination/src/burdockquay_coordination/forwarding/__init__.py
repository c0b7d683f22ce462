"""Decisions of the forwarder: routes, keys, freshness, choice of an upstream, retries.

A forwarder passes HTTP requests to upstreams as they are. It learns routes, organisations and
upstreams from the platform and keeps nothing. All times are seconds on one clock of the process;
``now`` is an argument of each decision.
"""

from ._budget import RetryWindow
from ._choice import choose_upstream
from ._config import (
    CallerLimits,
    CallerOrganisation,
    ForwardConfig,
    ForwardRoute,
    RouteKind,
    ServiceShare,
)
from ._directory import ConfigDirectory, pick_service
from ._freshness import FreshnessLease
from ._suspects import CrashSuspects
from ._upstreams import ListedUpstream, Upstream, UpstreamBook, UpstreamChanges

__all__ = [
    "CallerLimits",
    "CallerOrganisation",
    "ConfigDirectory",
    "CrashSuspects",
    "ForwardConfig",
    "ForwardRoute",
    "FreshnessLease",
    "ListedUpstream",
    "RetryWindow",
    "RouteKind",
    "ServiceShare",
    "Upstream",
    "UpstreamBook",
    "UpstreamChanges",
    "choose_upstream",
    "pick_service",
]
