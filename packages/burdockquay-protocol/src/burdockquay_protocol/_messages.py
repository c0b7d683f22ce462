"""Messages between entries and slots.

An entry opens the connection. ``Hello``, ``Welcome`` and ``Proof`` authenticate both sides and
agree on a protocol version. Every message class is registered with :func:`message`. On the wire
a message is a CBOR array: its type number, then its fields in order.
"""

from __future__ import annotations

from collections.abc import Callable

import attrs

from burdockquay_state import LogPart

from ._errors import ErrorKind

PROTOCOL_VERSIONS = (1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14)
"""Protocol versions that this release supports; version 2 adds :class:`Suspicions`, version 3 the
messages between forwarders, version 4 :class:`KeysHonoured`, version 5
:class:`EralessTableChanges`, :class:`LoadsOfDomain`, :class:`LoadsElsewhere` and
:class:`UpstreamOutcomes`, version 6 :class:`TableChanges` and :class:`NewestConfiguration`, version
7 :class:`UsageCounts` and :class:`ClockReading`, version 8 :class:`RateNeeds` and
:class:`RateGrants`, version 9 :class:`StatementReports`, version 12 :class:`ColdStartReports` and
loads of a whole region in :class:`LoadsOfDomain`, version 14 :class:`TableQuestion`,
:class:`TableContent` and :class:`LinkSpeed`."""

message_types: dict[int, type] = {}
"""Message class by type number."""


def message(number: int, since: int = 1) -> Callable[[type], type]:
    """Return a decorator that registers an attrs class as a message.

    Parameters
    ----------
    number : int
        Type number on the wire; must never be reused for another message.
    since : int
        First protocol version that has the message.
    """

    def add(cls: type) -> type:
        if number in message_types:
            raise ValueError(f"message number {number} is already registered")
        cls.number = number
        cls.since = since
        message_types[number] = cls
        return cls

    return add


@message(1)
@attrs.frozen
class Hello:
    """First message of an entry.

    Parameters
    ----------
    versions : list of int
        Protocol versions that the sender supports.
    vm, failure_domain : str
    incarnation : str
        Random identifier that each process generates at its start.
    nonce : bytes
        Challenge for the other side.
    """

    versions: list[int]
    vm: str
    failure_domain: str
    incarnation: str
    nonce: bytes


@message(2)
@attrs.frozen
class Welcome:
    """Answer of a slot to :class:`Hello`.

    Parameters
    ----------
    version : int
        The highest common protocol version.
    proof : bytes
        Keyed digest over both nonces and the identity; see :func:`make_proof`.
    group : str
        Upstream group that the slot serves.
    """

    version: int
    vm: str
    failure_domain: str
    incarnation: str
    nonce: bytes
    proof: bytes
    group: str


@message(3)
@attrs.frozen
class Proof:
    """Keyed digest of the entry, which completes the handshake."""

    proof: bytes


@message(4)
@attrs.frozen
class SlotStatus:
    """State of a slot, sent after every change but rate-limited to one per short interval.

    Parameters
    ----------
    places, running, queued : int
        Concurrency limit of the upstream, requests that run on it, requests queued in the slot.
    protected_running : int
        Number of ``running`` that belong to protected classes.
    step_s : float
        Recent time between two tokens of an answer from the upstream, seconds; 0 if unknown.
    first_token_s : float
        Recent time to the first token, seconds; 0 if unknown.
    healthy : bool
        False while the health probes that the slot sends to the upstream fail.
    leaving : bool
        True once the slot is draining and accepts no new requests.
    revision : int
        Revision of the configuration that is active at the slot.
    models : list of str
        Models that the upstream serves now; empty means those of the group record.
    """

    places: int
    running: int
    queued: int
    protected_running: int
    step_s: float
    first_token_s: float
    healthy: bool
    leaving: bool
    revision: int
    models: list[str] = attrs.field(factory=list)


@attrs.frozen
class ClassDemand:
    """Number of requests of a class that wait at an entry, and the wait of the oldest.

    Parameters
    ----------
    class_name : str
    waiting : int
    oldest_wait_s : float
        Seconds for which the oldest of them has waited.
    """

    class_name: str
    waiting: int
    oldest_wait_s: float


@message(5)
@attrs.frozen
class Demand:
    """Requests that wait at an entry for this slot; replaces the previous message of the entry."""

    classes: list[ClassDemand]


@message(6)
@attrs.frozen
class Grant:
    """Capacity that a slot reserves at its upstream for one request of a class of the entry.

    Parameters
    ----------
    grant : int
        Identifier of the grant, unique within the slot.
    class_name : str
    valid_s : float
        How long the reservation holds, seconds from now.
    """

    grant: int
    class_name: str
    valid_s: float


@message(7)
@attrs.frozen
class ReturnGrant:
    """Return a grant that the entry does not need."""

    grant: int


@message(8)
@attrs.frozen
class Run:
    """Order to run one attempt of a request.

    Parameters
    ----------
    request : str
        Request id.
    attempt : int
        Number of the attempt, from 1.
    grant : int
        The grant used, 0 for none.
    organisation, class_name : str
    method, path : str
        As they are sent to the upstream.
    headers : list of list of str
        Pairs of name and value that are forwarded to the upstream.
    body : bytes
    stream : bool
        Whether the caller asked for a stream.
    deadline_s : float
        Seconds from now until the request must have ended.
    idempotent : bool
        False: the slot writes a claim before it sends anything to the upstream.
    key : str
        Idempotency key; empty for idempotent requests without one.
    expected_version : int
        Version of the claim row that this attempt may replace, 0 for absent.
    digest : str
        Digest of organisation, method, path and body.
    resume_text : list of str
        Tokens that the caller has already received; the engine continues after them.
    apart : bool
        Whether the request is suspected of crashing upstreams and so must not run concurrently
        with another suspect.
    started_at : float
        When the request arrived at the entry, seconds since the epoch. With it, a slot that was
        paused for long detects that a buffered message is too old to be executed; 0 counts from
        the arrival at the slot.
    """

    request: str
    attempt: int
    grant: int
    organisation: str
    class_name: str
    method: str
    path: str
    headers: list[list[str]]
    body: bytes
    stream: bool
    deadline_s: float
    idempotent: bool
    key: str
    expected_version: int
    digest: str
    resume_text: list[str] = attrs.field(factory=list)
    apart: bool = False
    started_at: float = 0.0


@message(9)
@attrs.frozen
class Cancel:
    """Stop an attempt; frames that it still sends are dropped."""

    request: str
    attempt: int


@attrs.frozen
class Frame:
    """Chunk of an answer.

    Parameters
    ----------
    request : str
    attempt : int
    sequence : int
        Position in the answer from 0; that of the last frame is the number of frames before it.
    part : int
        One of the ``PART_`` constants.
    data : bytes
        Token text, a chunk of a body, or an encoded :class:`AnswerHead` or :class:`AnswerEnd`.
    """

    request: str
    attempt: int
    sequence: int
    part: int
    data: bytes


PART_HEAD = 0
"""Frame with an :class:`AnswerHead`."""
PART_TOKEN = 1
"""Frame with the text of one or more generated tokens."""
PART_BODY = 2
"""Frame with a chunk of the body of a plain answer."""
PART_END = 3
"""Last frame, with an :class:`AnswerEnd`."""


@attrs.frozen
class AnswerHead:
    """Status and headers of the answer of an upstream."""

    status: int
    headers: list[list[str]]


@attrs.frozen
class AnswerEnd:
    """End of a complete answer.

    Parameters
    ----------
    prompt_tokens, generated_tokens : int
        Token counts reported by the upstream; 0 for plain services.
    finish_reason : str
    """

    prompt_tokens: int
    generated_tokens: int
    finish_reason: str


@message(10)
@attrs.frozen
class Frames:
    """Batch of the frames that one slot currently has for one entry, of all answers."""

    frames: list[Frame]


@message(11)
@attrs.frozen
class NotRun:
    """Authoritative report of a slot that an attempt did not run and never will.

    Parameters
    ----------
    kind : ErrorKind
    row_version : int
        With ``CLAIM_LOST``: version of the claim row that was found; otherwise 0.
    """

    request: str
    attempt: int
    kind: ErrorKind
    detail: str = ""
    row_version: int = 0


@message(12)
@attrs.frozen
class Failed:
    """Report that an attempt was sent to the upstream and failed, or that its outcome is unknown.

    Parameters
    ----------
    kind : ErrorKind
    crashed : bool
        Whether the upstream itself crashed, which makes the requests that it ran suspects.
    """

    request: str
    attempt: int
    kind: ErrorKind
    detail: str = ""
    crashed: bool = False


@message(13)
@attrs.frozen
class Heartbeat:
    """Keep-alive of an idle connection; carries the revision of the active configuration."""

    revision: int


@message(14)
@attrs.frozen
class FetchLog:
    """Request for the entries of a peer's record log after ``after_revision``."""

    after_revision: int


message(15)(LogPart)


@attrs.frozen
class Suspicion:
    """Counts of the upstream crashes that happened while a request ran.

    Parameters
    ----------
    digest : str
        Digest of the request.
    crashes : int
        Crashes during which it ran.
    alone : int
        Number of those crashes during which no other suspect ran.
    expires_at : float
        Seconds since the epoch.
    """

    digest: str
    crashes: int
    alone: int
    expires_at: float


@message(16, since=2)
@attrs.frozen
class Suspicions:
    """Suspicions that the sender has recorded or received."""

    suspicions: list[Suspicion]


@attrs.frozen
class PartEvidence:
    """Evidence whether a prompt part crashes the upstreams that begin to answer it.

    Parameters
    ----------
    part : str
    crashes : list of str
        Upstreams that crashed while requests with the part waited for their first token, by
        incarnation.
    absolved : list of str
        Crashes before an answer to a request with the part began; they do not count.
    trials : int
        Requests that were sent to test whether the refused part is sound.
    """

    part: str
    crashes: list[str]
    absolved: list[str]
    trials: int


@message(18, since=11)
@attrs.frozen
class PartReports:
    """Evidence that the sender has recorded or received."""

    reports: list[PartEvidence]


@message(19, since=11)
@attrs.frozen
class CrashNotice:
    """Notice of a slot that its upstream crashed, before the failures of the attempts there.

    Parameters
    ----------
    crash : str
        Identifies the crash.
    """

    crash: str


@message(17)
@attrs.frozen
class Goodbye:
    """Last message before the sender closes the connection.

    Parameters
    ----------
    reason : str
        Text for the log of the receiver.
    """

    reason: str
