"""Data types shared by the decision modules."""

from __future__ import annotations

import attrs


@attrs.frozen
class QueuedRequest:
    """A queued request.

    Parameters
    ----------
    request : str
        Request id.
    organisation, class_name : str
    enqueued_at, deadline : float
        Seconds on the clock of the process.
    begun : bool
        Whether the caller has already received a part of the answer, so that this is a retry.
    """

    request: str
    organisation: str
    class_name: str
    enqueued_at: float
    deadline: float
    begun: bool = False


@attrs.frozen
class Work:
    """An attempt that an entry has sent to a slot.

    Parameters
    ----------
    request : str
    attempt : int
    peer : str
        Incarnation of the entry that sent it.
    organisation, class_name : str
    digest : str
        Digest of organisation, method, path and body.
    deadline : float
        Seconds on the clock of the slot.
    apart : bool
        Whether it must not run concurrently with another suspect.
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
    """A place reserved for an entry.

    Parameters
    ----------
    grant : int
        Number of the grant, from 1; the slot never reuses it.
    peer : str
        Incarnation of the entry.
    class_name : str
    expires_at : float
        Seconds on the clock of the slot; the place is free again from this time.
    """

    grant: int
    peer: str
    class_name: str
    expires_at: float


@attrs.frozen
class SlotCounts:
    """Number of attempts on a slot by state."""

    running: int
    paused: int
    queued: int
    granted: int
    protected_running: int


@attrs.frozen
class Candidate:
    """A slot as a candidate for the placement of a request by an entry.

    Parameters
    ----------
    vm, failure_domain : str
    places : int
        Number of places of the upstream.
    outstanding : int
        Number of attempts of this entry that are outstanding there.
    reported : int
        Number of running and queued attempts of all entries in the slot's latest status.
    report_age_s : float
        Age of that status, seconds.
    outstanding_at_report : int
        Number of attempts of this entry that were outstanding there when the status arrived.
    step_s : float
        Recent time between tokens there, seconds; 0 if unknown.
    weight : float
        Weight of the health monitor, from 0 (ejected) to 1 (as good as the others).
    prefix_overlap : int
        Number of leading blocks of the prompt that were recently sent there.
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
    """Properties of a request that placement policies use.

    Parameters
    ----------
    class_name : str
    protected : bool
    failure_domain : str
        Failure domain of the entry.
    prefix_blocks : int
        Length of the prompt in blocks; 0 for plain services.
    avoid : frozenset of str
        VMs where the request failed before; chosen only if nothing else is left.
    """

    class_name: str
    protected: bool
    failure_domain: str
    prefix_blocks: int = 0
    avoid: frozenset[str] = frozenset()
