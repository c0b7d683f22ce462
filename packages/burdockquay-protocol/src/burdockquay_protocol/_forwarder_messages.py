"""Messages between forwarders: loads and outcomes at upstreams, crashes, usage."""

from __future__ import annotations

import attrs

from ._messages import message


@attrs.frozen
class PromptPart:
    """Part of a prompt that several requests may share.

    Parameters
    ----------
    id : str
    tokens : int
    """

    id: str
    tokens: int


@attrs.frozen
class UpstreamLoad:
    """Load that one or more forwarders have at one upstream.

    Parameters
    ----------
    upstream : str
        Incarnation of the upstream.
    prompt_tokens : int
        Prompt tokens of requests whose first answer token has not arrived.
    running : int
        Number of requests in progress.
    parts : list of PromptPart
        Prompt parts sent to the upstream since the last message.
    """

    upstream: str
    prompt_tokens: int
    running: int
    parts: list[PromptPart]


@message(30, since=3)
@attrs.frozen
class UpstreamLoads:
    """Complete current load of one forwarder; it has no requests at an upstream not listed."""

    loads: list[UpstreamLoad]


@message(34, since=5)
@attrs.frozen
class LoadsOfDomain:
    """Current load of all forwarders of a failure domain together.

    Parameters
    ----------
    domain : str
    is_whole : bool
        Whether the load at an upstream that is not listed is zero; otherwise it is unchanged.
    loads : list of UpstreamLoad
    """

    domain: str
    is_whole: bool
    loads: list[UpstreamLoad]


@message(35, since=5)
@attrs.frozen
class LoadsElsewhere:
    """Current load of all other forwarders together, as a relay sums it for the receiver.

    Parameters
    ----------
    is_whole : bool
        See :class:`LoadsOfDomain`.
    loads : list of UpstreamLoad
    """

    is_whole: bool
    loads: list[UpstreamLoad]


@attrs.frozen
class UpstreamOutcome:
    """Outcome counts of requests at one upstream.

    Parameters
    ----------
    upstream : str
        Incarnation of the upstream.
    whole : int
        Complete answers.
    failed : int
        Answers that failed or were interrupted, and connections that could not be opened.
    unreachable : int
        Number of ``failed`` in which the connection was refused, reset at once or got no response.
    """

    upstream: str
    whole: int
    failed: int
    unreachable: int


@message(36, since=5)
@attrs.frozen
class UpstreamOutcomes:
    """Outcomes since the last message, of the sender or of the forwarders that it relays for."""

    outcomes: list[UpstreamOutcome]


@message(31, since=3)
@attrs.frozen
class UpstreamCrash:
    """Report that an upstream crashed while requests of the forwarder ran on it.

    Parameters
    ----------
    upstream : str
        Incarnation of the upstream.
    digests : list of str
        Digests of these requests.
    """

    upstream: str
    digests: list[str]


@message(32, since=4)
@attrs.frozen
class KeysHonoured:
    """Whether the configuration of a forwarder is recent enough to accept API keys."""

    honoured: bool


@message(51, since=14)
@attrs.frozen
class LinkSpeed:
    """Speed of the link of the sender's VM, bytes per second."""

    bytes_per_s: float


@message(38, since=6)
@attrs.frozen
class NewestConfiguration:
    """The highest configuration version known to be active at any process."""

    version: int


@attrs.frozen
class WindowUsage:
    """Requests of one process that began to run in one window of the time of day.

    Parameters
    ----------
    window : int
    counts : dict of str to int
        Number of requests by organisation.
    """

    window: int
    counts: dict[str, int]


@message(39, since=7)
@attrs.frozen
class UsageCounts:
    """Cumulative usage of the sender.

    Parameters
    ----------
    windows : list of WindowUsage
        The latest windows; earlier ones do not change any more.
    complete_until : float
        Time of day until which the counts are complete, seconds since 1970.
    """

    windows: list[WindowUsage]
    complete_until: float


@message(40, since=7)
@attrs.frozen
class ClockReading:
    """Time of day as estimated by the sender, seconds since 1970."""

    time_of_day: float


@attrs.frozen
class RateNeed:
    """What a forwarder needs of the owner of an upstream's request rate limit.

    Parameters
    ----------
    upstream : str
        Incarnation of the upstream.
    per_s : float or None
        The limit as the sender knows it, requests per second; None if the upstream is not limited.
    observed : bool
        Whether an answer to the sender has just changed the limit.
    wanted : dict of int to int
        Number of requests that want a start, by rank; rank 0 is the most urgent.
    sent_at : float
        Time on the sender's clock, seconds; grants name it.
    share : float
        Part of the limit that the sender lends; 0 if it lends none.
    answers : float
        ``sent_at`` of the latest grant of the owner, seconds on the owner's clock.
    processes : int
        Number of forwarders that the sender knows.
    """

    upstream: str
    per_s: float | None
    observed: bool
    wanted: dict[int, int]
    sent_at: float
    share: float
    answers: float
    processes: int


@message(41, since=8)
@attrs.frozen
class RateNeeds:
    """Needs of one forwarder, at upstreams whose limits the receiver owns."""

    needs: list[RateNeed]


@attrs.frozen
class RateGrant:
    """Starts that the owner of an upstream's request rate limit grants.

    Parameters
    ----------
    upstream : str
        Incarnation of the upstream.
    per_s : float or None
        The limit as the owner knows it, requests per second; None if the upstream is not limited.
    starts : int
        Number of requests that the receiver may send; 0 in a renewal.
    need_sent_at : float
        ``sent_at`` of the need that the starts are granted for.
    sent_at : float
        Time on the owner's clock, seconds.
    """

    upstream: str
    per_s: float | None
    starts: int
    need_sent_at: float
    sent_at: float


@message(42, since=8)
@attrs.frozen
class RateGrants:
    """Grants of one owner to one forwarder."""

    grants: list[RateGrant]


@attrs.frozen
class StatementReport:
    """What an upstream has stated in an answer with proof of origin, and does not take back.

    Parameters
    ----------
    upstream : str
        Incarnation of the upstream.
    kind : str
        Kind of the statement; ``leaving`` is the only one so far.
    """

    upstream: str
    kind: str


@message(43, since=9)
@attrs.frozen
class StatementReports:
    """Statements that bind all processes, as the sender knows them."""

    reports: list[StatementReport]


@attrs.frozen
class ColdStartReport:
    """Cold time of a run of an upstream, as the sender knows it.

    Parameters
    ----------
    upstream : str
        Incarnation of the upstream.
    remaining_s : float
        Cold time left when the report is sent, seconds.
    row : int or None
        Sequence number of the listed entry that states it; None if an answer states it. Without an
        entry, a time of 0 says that an answer has shown that the upstream is warm.
    """

    upstream: str
    remaining_s: float
    row: int | None


@message(47, since=12)
@attrs.frozen
class ColdStartReports:
    """Cold times of upstreams, as the sender knows them."""

    reports: list[ColdStartReport]


@message(44, since=10)
@attrs.frozen
class StreamStarts:
    """Software versions at which streams of the sender began.

    Parameters
    ----------
    digests : dict of str to dict of str to bytes
        By service and version, the digests of the streams one after the other, of eight bytes each.
    """

    digests: dict[str, dict[str, bytes]]


@message(45, since=10)
@attrs.frozen
class StreamQuestion:
    """A question for the software version at which a stream began.

    Parameters
    ----------
    question : int
        Identifies the question in its answer.
    digest : bytes
    service : str
        Service at which it would be resumed if nobody knows it.
    """

    question: int
    digest: bytes
    service: str


@message(46, since=10)
@attrs.frozen
class StreamAnswer:
    """The answer to a question.

    Parameters
    ----------
    question : int
    service, version : str or None
        None if the sender does not know the stream.
    only_version : str or None
        The version that all streams of the service named in the question have begun at; None if
        the sender has seen several, or has not watched the service for long enough.
    """

    question: int
    service: str | None
    version: str | None
    only_version: str | None


@message(48, since=13)
@attrs.frozen
class RecordedOrigins:
    """Where the streams of a route may have begun, as a row of the platform's table records it.

    Parameters
    ----------
    host, prefix : str
        The route.
    row : int
        Version of the row, which includes the era of the table.
    origins : dict of str to list of str
        Software versions by service.
    """

    host: str
    prefix: str
    row: int
    origins: dict[str, list[str]]
