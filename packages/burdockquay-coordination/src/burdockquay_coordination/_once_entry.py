"""At most once, on the side of the entry: what became of an attempt, settled in the table."""

from __future__ import annotations

import enum
from collections.abc import Callable

import attrs
from result import Err, Ok, Result

from burdockquay_protocol import ErrorKind
from burdockquay_state import (
    ABSENT,
    START_LIMIT_S,
    CancelOutcome,
    ClaimRow,
    ClaimState,
    ClaimStore,
    StoredAnswer,
    TableError,
    TableErrorKind,
    era_of,
)

ROW_AGE_LIMIT_S = START_LIMIT_S / 2
"""How much older than a request a row may be for the entry to rely on its staying, seconds."""


@attrs.frozen
class OnceTicket:
    """A request that runs at most once, as its entry keeps it.

    Parameters
    ----------
    organisation, key, digest : str
    started_at : float
        When the request arrived, seconds since the epoch; each attempt carries it.
    expected_version : int
        Version of the claim row that the present attempt may replace.
    """

    organisation: str
    key: str
    digest: str
    started_at: float
    expected_version: int = ABSENT


class SettledState(enum.Enum):
    """What became of the attempts made for a ticket."""

    NOT_RUN = "not_run"
    """None of them ran or ever will; a new attempt may expect ``row_version``."""
    STORED = "stored"
    """The request ran; ``answer`` is what the upstream said."""
    IN_PROGRESS = "in_progress"
    """An attempt may be sent or running now."""
    UNKNOWN = "unknown"
    """Whether an attempt ran cannot be known now."""
    KEY_REUSED = "key_reused"
    """The key belongs to another request; this one did not run and never will."""


SETTLED_KINDS = {
    SettledState.NOT_RUN: ErrorKind.CLAIM_LOST,
    SettledState.IN_PROGRESS: ErrorKind.IN_PROGRESS,
    SettledState.UNKNOWN: ErrorKind.OUTCOME_UNKNOWN,
    SettledState.KEY_REUSED: ErrorKind.KEY_REUSED,
}
"""The error kind of each state that carries no answer."""


@attrs.frozen
class Settled:
    """What became of the attempts made for a ticket.

    Parameters
    ----------
    state : SettledState
    row_version : int
        With ``NOT_RUN``: what the next attempt may expect.
    answer : StoredAnswer or None
        With ``STORED``.
    detail : str
    """

    state: SettledState
    row_version: int = ABSENT
    answer: StoredAnswer | None = None
    detail: str = ""


class OnceResolver:
    """Find out what became of an attempt, and rule out that it still starts.

    Parameters
    ----------
    claims : ClaimStore

    Notes
    -----
    An entry that lost its slot cannot know whether the slot claimed, will claim, or is gone. It
    writes a cancellation on the version that the attempt expected. If that takes effect, the
    attempt can never claim, and "not run" is true for ever. If the slot was first, the row shows
    it. While the table does not answer, the outcome is unknown, and nothing else is said.
    """

    def __init__(self, claims: ClaimStore):
        self.claims = claims

    def open_ticket(
        self, organisation: str, key: str, digest: str, started_at: float
    ) -> OnceTicket:
        """Return the ticket of a request that has just arrived."""
        return OnceTicket(organisation, key, digest, started_at, self.claims.table.absent)

    async def settle(
        self, ticket: OnceTicket, clock: Callable[[], float], claim_lost: bool = False
    ) -> Settled:
        """Settle a ticket after a lost peer, a refused claim or a timeout.

        Parameters
        ----------
        ticket : OnceTicket
        clock : callable
            Returns the time in seconds since the epoch. It is asked again after each wait, since
            the process may have been paused in between.
        claim_lost : bool
            Whether the slot said ``CLAIM_LOST``: the row has changed, so that reading it
            is enough and the write is saved.
        """
        found = await self._find(ticket, clock(), claim_lost)
        if found.is_err():
            if claim_lost and self._has_returned_since(ticket.expected_version):
                # The slot refused for the return alone, and the table lacks the row.
                return Settled(SettledState.NOT_RUN, self.claims.table.absent)
            return Settled(SettledState.UNKNOWN, detail=found.err().detail)
        if clock() - ticket.started_at >= START_LIMIT_S:
            # After a long pause the row may have expired, and a row that is missing then does
            # not show that nothing ran.
            return Settled(SettledState.UNKNOWN, detail="the entry was paused for too long")
        row = found.ok().row
        if not claim_lost and era_of(row.version) > era_of(ticket.expected_version):
            return await self._judge_after_return(ticket, row, clock())
        if not claim_lost and row.written_at < ticket.started_at - ROW_AGE_LIMIT_S:
            kept = await self._keep(ticket, row, clock())
            if kept.is_err():
                return Settled(SettledState.UNKNOWN, detail=kept.err().detail)
            row = kept.ok()
        return await self._judge(ticket, row, clock())

    async def check_repeat(self, ticket: OnceTicket, clock: Callable[[], float]) -> Settled:
        """Read what is known of a key without any attempt having been made.

        Returns
        -------
        Settled
            ``NOT_RUN`` with the version that a first attempt may expect.
        """
        read = await self.claims.read(ticket.organisation, ticket.key)
        if read.is_err():
            return Settled(SettledState.UNKNOWN, detail=read.err().detail)
        row = read.ok()
        if row is None:
            return Settled(SettledState.NOT_RUN, self.claims.table.absent)
        return await self._judge(ticket, row, clock())

    def _has_returned_since(self, version: int) -> bool:
        return self.claims.table.era > era_of(version)

    async def _judge_after_return(self, ticket: OnceTicket, row: ClaimRow, now: float) -> Settled:
        """Judge an attempt by a row of a later era, which may lack the claim of the attempt.

        Notes
        -----
        Only what the row says of this request counts. A cancellation, or another request under the
        key, says nothing of a claim that the table has lost.
        """
        if row.digest == ticket.digest and row.state is not ClaimState.CANCELLED:
            return await self._judge(ticket, row, now)
        detail = "the table returned from a copy after the attempt was made"
        return Settled(SettledState.UNKNOWN, detail=detail)

    async def _find(
        self, ticket: OnceTicket, now: float, claim_lost: bool
    ) -> Result[CancelOutcome, TableError]:
        if claim_lost:
            read = await self.claims.read(ticket.organisation, ticket.key)
            if read.is_err():
                return Err(read.err())
            row = read.ok()
            if row is not None and row.version > ticket.expected_version:
                return Ok(CancelOutcome(False, row))
            if self._has_returned_since(ticket.expected_version):
                detail = "no attempt of an earlier era can claim any more"
                return Err(TableError(TableErrorKind.CONFLICT, detail))
        return await self.claims.cancel(
            ticket.organisation, ticket.key, ticket.expected_version, ticket.digest, now
        )

    async def _keep(
        self, ticket: OnceTicket, row: ClaimRow, now: float
    ) -> Result[ClaimRow, TableError]:
        """Make an old row stay until the attempt that it shuts out can start no more.

        Notes
        -----
        An attempt that waits in a paused slot fails because the row is there. A row that
        expires first, or was written long ago by a process paused at the write, would let it run
        although the caller was told that it did not.
        """
        if row.state is not ClaimState.RUNNING:
            return await self.claims.refresh(ticket.organisation, ticket.key, row, now)
        if row.digest == ticket.digest:
            return Ok(row)
        detail = "another request with the key left no outcome"
        return Err(TableError(TableErrorKind.CONFLICT, detail))

    async def _judge(self, ticket: OnceTicket, row: ClaimRow, now: float) -> Settled:
        if row.digest != ticket.digest:
            detail = "the key was first used with another request"
            return Settled(SettledState.KEY_REUSED, detail=detail)
        if row.state is ClaimState.CANCELLED:
            return Settled(SettledState.NOT_RUN, row_version=row.version)
        if row.state is ClaimState.DONE:
            return await self._load(row)
        if now < row.not_after:
            return Settled(SettledState.IN_PROGRESS)
        return Settled(SettledState.UNKNOWN, detail="an attempt started and left no outcome")

    async def _load(self, row: ClaimRow) -> Settled:
        answer = await self.claims.load_answer(row)
        if answer.is_err():
            detail = f"the request ran; its answer cannot be read: {answer.err().detail}"
            return Settled(SettledState.UNKNOWN, detail=detail)
        return Settled(SettledState.STORED, answer=answer.ok())
