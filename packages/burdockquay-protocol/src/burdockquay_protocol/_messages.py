"""The messages between the processes: entry and slot.

An entry opens the connection. ``Hello``, ``Welcome`` and ``Proof`` authenticate both sides and
agree on a protocol version; every later message is one of the types registered by
:func:`message`. On the wire a message is a CBOR array: its type number, then its fields in order.
"""

from __future__ import annotations

from collections.abc import Callable

import attrs

from burdockquay_state import LogPart

from ._errors import ErrorKind

PROTOCOL_VERSIONS = (1, 2, 3, 4, 5, 6)
"""Protocol versions that this release speaks; version 2 adds :class:`Suspicions`, version 3 the
messages between forwarders, version 4 :class:`KeysHonoured`, version 5
:class:`EralessTableChanges`, :class:`LoadsOfDomain`, :class:`LoadsElsewhere` and
:class:`UpstreamOutcomes`, version 6 :class:`TableChanges` and :class:`NewestConfiguration`."""

message_types: dict[int, type] = {}
"""The class of each type number."""


def message(number: int, since: int = 1) -> Callable[[type], type]:
    """Return a decorator that registers an attrs class as a message.

    Parameters
    ----------
    number : int
        Type number on the wire, never used again for another message.
    since : int
        First protocol version that knows the message.
    """

    def add(cls: type) -> type:
        if number in message_types:
            raise ValueError(f"message number {number} is registered already")
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
        Protocol versions the sender speaks.
    vm, failure_domain : str
    incarnation : str
        Drawn anew by each process at its start.
    nonce : bytes
        Challenge to the other side.
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
        Keyed digest over both nonces and the identities.
    group : str
        Upstream group the slot serves.
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
    """The entry's keyed digest, which ends the handshake."""

    proof: bytes


@message(4)
@attrs.frozen
class SlotStatus:
    """State of a slot, sent after every change, at most once in a short interval.

    Parameters
    ----------
    places, running, queued : int
        Places of the upstream, requests on it, requests waiting in the slot.
    protected_running : int
        Of ``running``, those of protected classes.
    step_s : float
        Recent time between two tokens of one answer on the upstream, seconds; 0 if unknown.
    first_token_s : float
        Recent time to the first token, seconds; 0 if unknown.
    healthy : bool
        False while the slot's own probes of the upstream fail.
    leaving : bool
        True once the slot takes no new work.
    revision : int
        Revision of the configuration in force there.
    models : list of str
        Models the upstream serves now; empty means those of the group's record.
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
    """How many requests of a class wait at an entry, and since when the oldest does.

    Parameters
    ----------
    class_name : str
    waiting : int
    oldest_wait_s : float
    """

    class_name: str
    waiting: int
    oldest_wait_s: float


@message(5)
@attrs.frozen
class Demand:
    """What waits at an entry for this slot; replaces the earlier message of the entry."""

    classes: list[ClassDemand]


@message(6)
@attrs.frozen
class Grant:
    """A place promised to the entry for one request of a class.

    Parameters
    ----------
    grant : int
        Number of the grant, unique at the slot.
    class_name : str
    valid_s : float
        How long the place is kept, seconds from now.
    """

    grant: int
    class_name: str
    valid_s: float


@message(7)
@attrs.frozen
class ReturnGrant:
    """The entry has no use for the grant."""

    grant: int


@message(8)
@attrs.frozen
class Run:
    """Run one attempt of a request.

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
        As they go to the upstream.
    headers : list of list of str
        Pairs of name and value that are passed on.
    body : bytes
    stream : bool
        Whether the caller asked for a stream.
    deadline_s : float
        Seconds from now until the request must have ended.
    idempotent : bool
        False: the slot writes a claim before it sends anything upstream.
    key : str
        Idempotency key; empty for idempotent requests without one.
    expected_version : int
        Version of the claim row that this attempt may replace, 0 for absent.
    digest : str
        Digest of organisation, method, path and body.
    resume_text : list of str
        Tokens that the caller has already got; the engine goes on behind them.
    apart : bool
        Suspected of crashing upstreams: must run beside no other suspect.
    started_at : float
        When the request arrived at the entry, seconds since the epoch. A slot that was paused
        for long finds by it that a buffered message is too old to be acted on; 0 counts from
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
    """Stop an attempt; what it still sends is dropped."""

    request: str
    attempt: int


@attrs.frozen
class Frame:
    """A piece of an answer.

    Parameters
    ----------
    request : str
    attempt : int
    sequence : int
        Position in the answer from 0; the last frame carries the number of frames before it.
    part : int
        One of the ``PART_`` constants.
    data : bytes
        Token text, a piece of a body, or an encoded :class:`AnswerHead` or :class:`AnswerEnd`.
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
"""Frame with a piece of the body of a plain answer."""
PART_END = 3
"""Last frame, with an :class:`AnswerEnd`."""


@attrs.frozen
class AnswerHead:
    """Status and headers of an upstream's answer."""

    status: int
    headers: list[list[str]]


@attrs.frozen
class AnswerEnd:
    """End of a whole answer.

    Parameters
    ----------
    prompt_tokens, generated_tokens : int
        Tokens counted by the upstream; 0 for plain services.
    finish_reason : str
    """

    prompt_tokens: int
    generated_tokens: int
    finish_reason: str


@message(10)
@attrs.frozen
class Frames:
    """Pieces of all answers that one slot has for one entry at this moment."""

    frames: list[Frame]


@message(11)
@attrs.frozen
class NotRun:
    """The attempt did not run and never will; the slot says so with authority.

    Parameters
    ----------
    kind : ErrorKind
    row_version : int
        With ``CLAIM_LOST``: version of the claim row that was found, else 0.
    """

    request: str
    attempt: int
    kind: ErrorKind
    detail: str = ""
    row_version: int = 0


@message(12)
@attrs.frozen
class Failed:
    """The attempt was sent upstream and failed, or its fate is not known.

    Parameters
    ----------
    kind : ErrorKind
    crashed : bool
        Whether the upstream itself went down, which makes what it ran suspect.
    """

    request: str
    attempt: int
    kind: ErrorKind
    detail: str = ""
    crashed: bool = False


@message(13)
@attrs.frozen
class Heartbeat:
    """Sent on an idle connection; carries the revision of the configuration in force."""

    revision: int


@message(14)
@attrs.frozen
class FetchLog:
    """Ask a peer for the record log behind ``after_revision``."""

    after_revision: int


message(15)(LogPart)


@attrs.frozen
class Suspicion:
    """Upstream crashes that happened while a request ran.

    Parameters
    ----------
    digest : str
        Digest of the request.
    crashes : int
        Crashes at which it ran.
    alone : int
        Of those, crashes at which no other suspect ran.
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
    """Suspicions that the sender learned."""

    suspicions: list[Suspicion]


@message(17)
@attrs.frozen
class Goodbye:
    """Last message before the sender closes the connection.

    Parameters
    ----------
    reason : str
        For the log.
    """

    reason: str
