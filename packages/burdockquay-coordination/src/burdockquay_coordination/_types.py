"""Data that the decisions share."""

from __future__ import annotations

import attrs


@attrs.frozen
class Waiting:
    """A request that waits in a queue.

    Parameters
    ----------
    request : str
        Request id.
    organisation, class_name : str
    enqueued_at, deadline : float
        Seconds on the clock of the process.
    begun : bool
        Whether the caller has got a part of the answer already, so that this is another attempt.
    """

    request: str
    organisation: str
    class_name: str
    enqueued_at: float
    deadline: float
    begun: bool = False


@attrs.frozen
class Work:
    """An attempt that a slot was asked to run.

    Parameters
    ----------
    request : str
    attempt : int
    peer : str
        Incarnation of the entry that asked.
    organisation, class_name : str
    digest : str
        Digest of organisation, method, path and body.
    deadline : float
        Seconds on the clock of the slot.
    apart : bool
        Must run beside no other suspect.
    """

    request: str
    attempt: int
    peer: str
    organisation: str
    class_name: str
    digest: str
    deadline: float
    apart: bool = False


@attrs.frozen
class PlaceGrant:
    """A place promised to an entry.

    Parameters
    ----------
    grant : int
        Number of the grant, from 1, never used again by the slot.
    peer : str
        Incarnation of the entry.
    class_name : str
    expires_at : float
        Seconds on the clock of the slot; the place is free again after it.
    """

    grant: int
    peer: str
    class_name: str
    expires_at: float


@attrs.frozen
class SlotCounts:
    """How many attempts a slot holds, by their state."""

    running: int
    paused: int
    queued: int
    granted: int
    protected_running: int


@attrs.frozen
class Candidate:
    """A slot as an entry sees it when it places a request.

    Parameters
    ----------
    vm, failure_domain : str
    places : int
        Places of the upstream.
    outstanding : int
        Attempts that this entry has running there.
    reported : int
        Running and queued attempts in the slot's latest status, all entries together.
    report_age_s : float
        Age of that status, seconds.
    outstanding_at_report : int
        Attempts of this entry that were outstanding there when the status came.
    step_s : float
        Recent time between tokens there, seconds; 0 if unknown.
    weight : float
        From 0 (ejected) to 1 (as good as its peers), from the health monitor.
    prefix_overlap : int
        Leading blocks of the prompt that were sent there lately.
    """

    vm: str
    failure_domain: str
    places: int
    outstanding: int
    reported: int
    report_age_s: float
    outstanding_at_report: int
    step_s: float = 0.0
    weight: float = 1.0
    prefix_overlap: int = 0


@attrs.frozen
class PlacementRequest:
    """What a placement policy knows of a request.

    Parameters
    ----------
    class_name : str
    protected : bool
    failure_domain : str
        Of the entry.
    prefix_blocks : int
        Length of the prompt in blocks; 0 for plain services.
    avoid : frozenset of str
        VMs where the request failed before; taken only if nothing else is left.
    """

    class_name: str
    protected: bool
    failure_domain: str
    prefix_blocks: int = 0
    avoid: frozenset[str] = frozenset()
