"""What a forwarder needs of the platform it runs on, as an interface.

An adapter translates the platform's rows, headers and statuses into these types and back. It
registers under a name in :data:`forwarding_platforms`; the settings name the packages that hold
adapters.
"""

from __future__ import annotations

import importlib
from abc import ABC, abstractmethod
from collections.abc import Callable, Iterable, Mapping

import attrs
from multidict import CIMultiDict
from result import Result

from burdockquay_coordination.forwarding import ForwardConfig, Prompt, UpstreamChanges
from burdockquay_state import Registry, TableError

from ._table_feed import FeedExchange


@attrs.frozen
class CallerRequest:
    """A caller's request, without its body.

    Parameters
    ----------
    id : str
        Names this request of the caller; another try has another id.
    method : str
    target : str
        Path and query exactly as the caller sent them.
    path : str
        The part of ``target`` before the query.
    host : str
    headers : CIMultiDict
        What is passed on: without headers of one connection and without those that only the
        forwarder may set.
    api_key : str or None
    patience_s : float or None
        How long the caller waits, seconds; None if it does not say.
    prompt : Prompt or None
        What is known of the prompt of a request to an engine.
    resume_after : str or None
        Id of the last event that the caller has of a stream.
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


@attrs.frozen
class SendTerms:
    """What the forwarder says to an upstream with one send.

    Parameters
    ----------
    upstream : str
        Id of the incarnation that is meant.
    remaining_s : float
        Time after which the answer is of no use, seconds.
    organisation : str or None
        None on routes without keys.
    urgency : int
        0 is the most urgent.
    resume_after : str or None
        Id of the last event that the caller has.
    weights_version : str or None
        Version of the weights that began the stream, if known.
    backup_at : str or None
        Host and port of the upstream that is to keep a copy of the memory of the run.
    copy_at : str or None
        Host and port of the upstream that keeps such a copy, from which the run goes on.
    fetch_at : str or None
        Host and port of the upstream that has shared parts of the prompt.
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
    """What the head of an upstream's answer says.

    Parameters
    ----------
    not_run : bool
        The upstream certainly did not run the request.
    answered_by : str or None
        Id of the incarnation that answered, if it says.
    sealed : bool
        Whether a successful answer proves that it is the upstream's own.
    request_id : str or None
        Id of the request that is answered.
    weights_version : str or None
    """

    not_run: bool
    answered_by: str | None
    sealed: bool
    request_id: str | None
    weights_version: str | None = None


@attrs.frozen
class PlatformAddress:
    """Where the platform is, and how long one call may take.

    Parameters
    ----------
    address : str
        Host and port.
    timeout_s : float
        Limit on a call that does not wait for news, seconds.
    now : callable
        Reads the clock of the process, which counts the time that the VM was suspended.
    """

    address: str
    timeout_s: float
    now: Callable[[], float]


@attrs.frozen
class ConfigReading:
    """What a question for the configuration brought.

    Parameters
    ----------
    config : ForwardConfig or None
        None if the last one is still the newest.
    as_of : float
        A moment at which that was true, on the clock of the process.
    """

    config: ForwardConfig | None
    as_of: float


class ConfigSource(ABC):
    """The newest configuration."""

    @abstractmethod
    async def next(self, wait_s: float) -> Result[ConfigReading, TableError]:
        """Return the configuration if it has changed since the last call.

        Parameters
        ----------
        wait_s : float
            How long the platform may wait for a change before it answers, seconds.
        """


class UpstreamSource(ABC):
    """The list of upstreams."""

    @abstractmethod
    async def next(self, wait_s: float) -> Result[UpstreamChanges, TableError]:
        """Return the list at the first call, what changed since then at later ones."""


@attrs.frozen
class Member:
    """A forwarder that others can connect to.

    Parameters
    ----------
    vm : str
    incarnation : str
        Drawn anew at each start.
    address : str
        Host and port where it takes connections of other forwarders.
    revision : int
        Of its entry on the platform; 0 if it has none yet.
    era : int
        Of the store that holds the entry.
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
        Whether ``listed`` holds all members; otherwise it holds what changed.
    listed : tuple of Member
    removed : tuple of str
        Names of VMs whose entries are gone.
    after_return : bool
        Whether this is the first reading since the store came back from a copy.
    """

    whole: bool
    listed: tuple[Member, ...] = ()
    removed: tuple[str, ...] = ()
    after_return: bool = False


class MemberRegistry(ABC):
    """The forwarders, as the platform keeps them."""

    @abstractmethod
    async def join(self, member: Member) -> Result[bytes, TableError]:
        """Enter a member and return the key that all members share; the first one draws it."""

    @abstractmethod
    async def rejoin(
        self, member: Member, key: bytes, shown: Member | None
    ) -> Result[bytes, TableError]:
        """Enter a member, and the shared key, where a store that came back lacks them.

        Parameters
        ----------
        member : Member
        key : bytes
            The shared key that the member holds.
        shown : Member or None
            What the store shows in its place.

        Returns
        -------
        Result of bytes, TableError
            The shared key from now on.
        """

    @abstractmethod
    async def leave(self, member: Member) -> Result[None, TableError]:
        """Take out a member unless its entry has changed meanwhile."""

    @abstractmethod
    async def next(self, wait_s: float) -> Result[MemberChanges, TableError]:
        """Return the members at the first call, what changed since then at later ones."""


class ForwardingPlatform(ABC):
    """Everything that a forwarder needs of a platform.

    Parameters
    ----------
    address : PlatformAddress
    exchange : FeedExchange
        What the other forwarders tell of the platform's tables.
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

    @abstractmethod
    def read_request(
        self, method: str, target: str, headers: Mapping[str, str]
    ) -> Result[CallerRequest, str]:
        """Return a caller's request, or what is wrong with it."""

    @abstractmethod
    def compose_headers(self, request: CallerRequest, terms: SendTerms) -> CIMultiDict[str]:
        """Return the headers of one send."""

    @abstractmethod
    def read_answer(self, status: int, headers: Mapping[str, str]) -> AnswerFacts:
        """Return what the head of an answer says."""

    @abstractmethod
    def answer_headers(self, request: CallerRequest) -> dict[str, str]:
        """Return the headers that an answer of the forwarder's own bears."""


forwarding_platforms: Registry[type[ForwardingPlatform]] = Registry("forwarding platform")


def load_adapters(packages: Iterable[str]) -> None:
    """Import the packages that register adapters.

    Raises
    ------
    ImportError
        If there is no such package.
    """
    for package in packages:
        importlib.import_module(package)
