"""The messages between forwarders: what each has at the upstreams, crashes, platform tables."""

from __future__ import annotations

import attrs

from ._messages import message


@attrs.frozen
class PromptPart:
    """Part of a prompt that many requests may share.

    Parameters
    ----------
    id : str
    tokens : int
    """

    id: str
    tokens: int


@attrs.frozen
class UpstreamLoad:
    """What one forwarder has at one upstream.

    Parameters
    ----------
    upstream : str
        Incarnation of the upstream.
    prompt_tokens : int
        Prompt tokens whose first answer token has not come.
    running : int
        Requests.
    parts : list of PromptPart
        Prompt parts that were sent there since the last message.
    """

    upstream: str
    prompt_tokens: int
    running: int
    parts: list[PromptPart]


@message(30, since=3)
@attrs.frozen
class UpstreamLoads:
    """All that a forwarder has at upstreams now; one that is not named has nothing of it."""

    loads: list[UpstreamLoad]


@message(34, since=5)
@attrs.frozen
class LoadsOfDomain:
    """What the forwarders of a failure domain together have at upstreams now.

    Parameters
    ----------
    domain : str
    is_whole : bool
        Whether they have nothing at an upstream that is not named; otherwise nothing changed there.
    loads : list of UpstreamLoad
    """

    domain: str
    is_whole: bool
    loads: list[UpstreamLoad]


@message(35, since=5)
@attrs.frozen
class LoadsElsewhere:
    """What all other forwarders together have at upstreams, as a relay adds it up for the receiver.

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
    """What became of some requests at one upstream.

    Parameters
    ----------
    upstream : str
        Incarnation of the upstream.
    whole : int
        Whole answers.
    failed : int
        Answers that failed or broke off, and connections that did not come about.
    unreachable : int
        How many of these were refused, reset at once or silent.
    """

    upstream: str
    whole: int
    failed: int
    unreachable: int


@message(36, since=5)
@attrs.frozen
class UpstreamOutcomes:
    """What became of requests since the last message, of the sender or of those it relays for."""

    outcomes: list[UpstreamOutcome]


@message(31, since=3)
@attrs.frozen
class UpstreamCrash:
    """An upstream went down while a forwarder's requests ran there.

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
    """Whether the configuration of a forwarder is recent enough to honour API keys."""

    honoured: bool


@attrs.frozen
class ChangedRow:
    """A row of one of the platform's tables.

    Parameters
    ----------
    key : str
    value : bytes or None
        None if the row was removed.
    revision : int
        Counter of the platform's transactions at its last change.
    """

    key: str
    value: bytes | None
    revision: int


@message(33, since=5)
@attrs.frozen
class EralessTableChanges:
    """What the platform told the sender of a table, of a release that knows no eras.

    See :class:`TableChanges`. It is of use only while the platform's store names no era.
    """

    table: str
    after: int
    upto: int
    store_s: float
    steady_s: float
    rows: list[ChangedRow]

    def in_first_era(self) -> TableChanges:
        """Return the same news as of a store that names no era."""
        return TableChanges(
            self.table, 0, self.after, self.upto, self.store_s, self.steady_s, self.rows
        )


@message(37, since=6)
@attrs.frozen
class TableChanges:
    """What the platform told the sender of a table.

    Parameters
    ----------
    table : str
    era : int
        Of the platform's store; the revisions and ``store_s`` hold in this era only. 0 where the
        store names none.
    after, upto : int
        ``rows`` are all that changed behind the one revision up to the other, the whole table where
        ``after`` is 0. If both are the same, the sender leaves out what changed before, and a
        process that does not know it asks.
    store_s : float
        A moment as of which this was all, on the platform's own steady clock, seconds. A message
        may be late by any time: this moment stays true.
    steady_s : float
        Time since the last question of the sender that the platform did not answer, seconds.
    rows : list of ChangedRow
    """

    table: str
    era: int
    after: int
    upto: int
    store_s: float
    steady_s: float
    rows: list[ChangedRow]

    def without_era(self) -> EralessTableChanges:
        """Return the same news for a process of a release that knows no eras."""
        return EralessTableChanges(
            self.table, self.after, self.upto, self.store_s, self.steady_s, self.rows
        )


@message(38, since=6)
@attrs.frozen
class NewestConfiguration:
    """The highest version of the configuration that is known to be in force at some process."""

    version: int
