"""Interface between a forwarder and the platform on which it runs.

An adapter translates the platform's rows, headers and statuses into these types and back. It
registers under a name in :data:`forwarding_platforms`; the settings list the packages that contain
adapters.
"""

from __future__ import annotations

import importlib
from abc import ABC, abstractmethod
from collections.abc import Callable, Collection, Iterable, Mapping
from typing import TYPE_CHECKING

import attrs
from multidict import CIMultiDict
from result import Err, Result

from burdockquay_coordination import Statements
from burdockquay_coordination.forwarding import (
    EvacuationReading,
    ForwardConfig,
    ListState,
    Prompt,
    UpstreamChanges,
)
from burdockquay_state import Position, Registry, TableError, TableErrorKind, TableService

from ._feed_exchange import FeedExchange

if TYPE_CHECKING:
    from burdockquay_coordination.usage import UsageSink


@attrs.frozen
class CallerRequest:
    """A caller's request, without its body.

    Parameters
    ----------
    id : str
        Id of this request; a retry by the caller has another id.
    method : str
    target : str
        Path and query exactly as the caller sent them.
    path : str
        The part of ``target`` before the query.
    host : str
    headers : CIMultiDict
        Headers that are passed on: without hop-by-hop headers and without those that only the
        forwarder may set.
    api_key : str or None
    patience_s : float or None
        How long the caller waits, seconds; None if the request does not say.
    prompt : Prompt or None
        Description of the prompt of a request to an engine.
    resume_after : str or None
        Id of the last event that the caller has of a stream.
    resumed_attempt : str or None
        Id of the request that brought the first event of that stream, as the caller names it.
    """

    id: str
    method: str
    target: str
    path: str
    host: str
    headers: CIMultiDict[str] = attrs.field(repr=False)
    api_key: str | None = attrs.field(default=None, repr=False)
    patience_s: float | None = None
    prompt: Prompt | None = None
    resume_after: str | None = None
    resumed_attempt: str | None = None


@attrs.frozen
class SendTerms:
    """Parameters of one send, which the forwarder passes to the upstream.

    Parameters
    ----------
    upstream : str
        Id of the incarnation to which the send is addressed.
    remaining_s : float
        Time for which the caller still waits for the answer, seconds.
    organisation : str or None
        None on routes without keys.
    urgency : int
        0 is the most urgent.
    resume_after : str or None
        Id of the last event that the caller has.
    weights_version : str or None
        Version of the weights with which the stream began, if known.
    backup_at : str or None
        Host and port of the upstream that will keep a copy of the memory of the run.
    copy_at : str or None
        Host and port of the upstream that keeps such a copy, from which the run continues.
    fetch_at : str or None
        Host and port of the upstream from which shared parts of the prompt can be fetched.
    """

    upstream: str
    remaining_s: float
    organisation: str | None
    urgency: int
    resume_after: str | None = None
    weights_version: str | None = None
    backup_at: str | None = None
    copy_at: str | None = None
    fetch_at: str | None = None


@attrs.frozen
class AnswerFacts:
    """Metadata in the head of an upstream's answer.

    Parameters
    ----------
    not_run : bool
        Whether the upstream certainly did not run the request.
    answered_by : str or None
        Id of the incarnation that answered, if the answer has it.
    sealed : bool
        Whether a successful answer has proof that it was made by the upstream itself.
    request_id : str or None
        Id of the request that is answered.
    weights_version : str or None
    statements : Statements
        What the upstream states about itself.
    cold_s : float or None
        Time for which the upstream stays cold, seconds; None if the answer does not say it.
    """

    not_run: bool
    answered_by: str | None
    sealed: bool
    request_id: str | None
    weights_version: str | None = None
    statements: Statements = attrs.field(factory=dict)
    cold_s: float | None = None


@attrs.frozen
class PlatformAddress:
    """Address of the platform, and time limit of one call.

    Parameters
    ----------
    address : str
        Host and port.
    timeout_s : float
        Limit on the time to the answer of a call that does not wait for changes, and on each
        pause in any answer, seconds.
    now : callable
        Returns the time on the clock of the process, which counts the time for which the VM was
        suspended.
    """

    address: str
    timeout_s: float
    now: Callable[[], float]


@attrs.frozen
class ConfigReading:
    """Result of a query for the configuration.

    Parameters
    ----------
    config : ForwardConfig or None
        The new configuration; None if the last one is still the newest.
    as_of : float
        A time at which that was true, on the clock of the process.
    evacuations : EvacuationReading or None
        Statements about evacuated failure domains since the last reading.
    fault : TableError or None
        Why the newest configuration cannot be used: it is missing or malformed. The evacuations
        are valid nevertheless.
    """

    config: ForwardConfig | None
    as_of: float
    evacuations: EvacuationReading | None = None
    fault: TableError | None = None


class ConfigSource(ABC):
    """Source of the newest configuration."""

    @abstractmethod
    async def next(self, wait_s: float) -> Result[ConfigReading, TableError]:
        """Return the configuration if it has changed since the last call.

        Parameters
        ----------
        wait_s : float
            How long the platform may wait for a change before it answers, seconds.
        """

    async def has_changed(self) -> Result[bool, TableError]:
        """Return whether the configuration differs from that of the last call of :meth:`next`, as
        of a time after this call."""
        detail = "the platform cannot be asked for changes at once"
        return Err(TableError(TableErrorKind.UNAVAILABLE, detail))


class UpstreamSource(ABC):
    """Source of the list of upstreams."""

    @abstractmethod
    async def next(self, wait_s: float) -> Result[UpstreamChanges, TableError]:
        """Return the list at the first call, the changes since the last call at later ones."""

    async def read_changes(self) -> Result[UpstreamChanges, TableError]:
        """Return what has changed since the last call of :meth:`next`, as of a time after this one.

        The changes come again with the next call of :meth:`next`.
        """
        detail = "the platform cannot be asked for changes at once"
        return Err(TableError(TableErrorKind.UNAVAILABLE, detail))

    async def read_since(self, after: Position) -> Result[UpstreamChanges, TableError]:
        """Return what has changed since a position, as of a time after this call.

        Returns
        -------
        Result of UpstreamChanges, TableError
            The error ``CONFLICT`` means that the platform does not have all changes any more.
        """
        detail = "the platform keeps no changes"
        return Err(TableError(TableErrorKind.UNAVAILABLE, detail))

    def listed(self) -> ListState | None:
        """Return the list as of the last call of :meth:`next`; None if it has no position."""
        return None

    def age_s(self, now: float) -> float:
        """Return the time since the list was last confirmed, seconds; 0 if that is not known."""
        return 0.0


@attrs.frozen
class Member:
    """A forwarder that others can connect to.

    Parameters
    ----------
    vm : str
    incarnation : str
        Generated at each start of the process.
    address : str
        Host and port where it accepts connections of other forwarders.
    revision : int
        Revision of its entry on the platform; 0 if it has none yet.
    era : int
        Era of the store that holds the entry.
    """

    vm: str
    incarnation: str
    address: str
    revision: int = 0
    era: int = 0


@attrs.frozen
class MemberChanges:
    """A reading of the members.

    Parameters
    ----------
    whole : bool
        Whether ``listed`` holds all members; otherwise it holds those that changed.
    listed : tuple of Member
    removed : tuple of str
        Names of VMs whose entries were removed.
    after_restore : bool
        Whether this is the first reading since the store was restored from a copy.
    as_of : float
        A time at which nothing else had changed, on the clock of the process.
    """

    whole: bool
    listed: tuple[Member, ...] = ()
    removed: tuple[str, ...] = ()
    after_restore: bool = False
    as_of: float = float("-inf")


class MemberRegistry(ABC):
    """Registry of the forwarders on the platform."""

    @abstractmethod
    async def join(self, member: Member) -> Result[bytes, TableError]:
        """Register a member and return the key that all members share.

        The first member generates the key.
        """

    @abstractmethod
    async def rejoin(
        self, member: Member, key: bytes, shown: Member | None
    ) -> Result[bytes, TableError]:
        """Register a member and the shared key again if a restored store lacks them.

        Parameters
        ----------
        member : Member
        key : bytes
            The shared key that the member holds.
        shown : Member or None
            The entry of its VM in the store.

        Returns
        -------
        Result of bytes, TableError
            The shared key from now on.
        """

    @abstractmethod
    async def leave(self, member: Member) -> Result[None, TableError]:
        """Remove a member unless its entry has changed in the meantime."""

    @abstractmethod
    async def next(self, wait_s: float) -> Result[MemberChanges, TableError]:
        """Return the members at the first call, the changes since the last call at later ones."""


class ForwardingPlatform(ABC):
    """Everything that a forwarder needs from a platform.

    Parameters
    ----------
    address : PlatformAddress
    exchange : FeedExchange
        Exchange of changes of the platform's tables with the other forwarders.
    """

    def __init__(self, address: PlatformAddress, exchange: FeedExchange):
        self.address = address
        self.exchange = exchange

    @abstractmethod
    async def open(self) -> None:
        """Open connections; call it inside a running event loop."""

    @abstractmethod
    async def close(self) -> None:
        """Close the connections."""

    @abstractmethod
    def configuration(self) -> ConfigSource:
        """Return a new reader of the configuration."""

    @abstractmethod
    def upstreams(self) -> UpstreamSource:
        """Return a new reader of the list of upstreams."""

    @abstractmethod
    def members(self) -> MemberRegistry:
        """Return a new reader of the members."""

    def suspicion_table(self) -> TableService | None:
        """Return the table that holds the refused prompt parts; None if the platform has none."""
        return None

    def origin_table(self) -> TableService | None:
        """Return the table that records where streams began; None if the platform has none."""
        return None

    def checkpoint_table(self) -> TableService | None:
        """Return the table of the checkpoint of the list; None if the platform has none."""
        return None

    def duty_table(self) -> TableService:
        """Return the table that holds the lease and the state of a duty.

        Only called on a platform with a :meth:`usage_sink`.
        """
        raise NotImplementedError

    def usage_sink(self, address: str, duties: Collection[str]) -> UsageSink | None:
        """Return where usage is reported, None if the platform does not ask for it.

        Parameters
        ----------
        address : str
            Host and port.
        duties : collection of str
            The duties that the platform asks for, by its own names.
        """
        return None

    @abstractmethod
    def read_request(
        self, method: str, target: str, headers: Mapping[str, str]
    ) -> Result[CallerRequest, str]:
        """Return a caller's request, or the reason why it is invalid."""

    @abstractmethod
    def compose_headers(self, request: CallerRequest, terms: SendTerms) -> CIMultiDict[str]:
        """Return the headers of one send."""

    @abstractmethod
    def read_answer(self, status: int, headers: Mapping[str, str]) -> AnswerFacts:
        """Return the metadata in the head of an answer."""

    @abstractmethod
    def answer_headers(self, request: CallerRequest) -> dict[str, str]:
        """Return the headers of an answer that the forwarder makes itself."""


forwarding_platforms: Registry[type[ForwardingPlatform]] = Registry("forwarding platform")


def load_adapters(packages: Iterable[str]) -> None:
    """Import the packages that register adapters.

    Raises
    ------
    ImportError
        If a package does not exist.
    """
    for package in packages:
        importlib.import_module(package)
