"""At-most-once execution, entry side: the outcome of an attempt is settled in the table."""

from __future__ import annotations

import enum
from collections.abc import Callable

import attrs
from result import Err, Ok, Result

from burdockquay_protocol import ErrorKind
from burdockquay_state import (
    ABSENT,
    ATTEMPT_START_LIMIT_S,
    CancelOutcome,
    ClaimRow,
    ClaimState,
    ClaimStore,
    StoredAnswer,
    TableError,
    TableErrorKind,
    era_of,
)

ROW_AGE_LIMIT_S = ATTEMPT_START_LIMIT_S / 2
"""How much older than a request a row may be for the entry to rely on its not expiring, seconds."""


@attrs.frozen
class AtMostOnceTicket:
    """State that an entry keeps of a request that runs at most once.

    Parameters
    ----------
    organisation, key, digest : str
    started_at : float
        Arrival time of the request, seconds since the epoch; it is sent with each attempt.
    expected_version : int
        Version of the claim row that the current attempt may replace.
    """

    organisation: str
    key: str
    digest: str
    started_at: float
    expected_version: int = ABSENT


class SettledState(enum.Enum):
    """Outcome of the attempts made for a ticket."""

    NOT_RUN = "not_run"
    """None of them has run or ever will; a new attempt may expect ``row_version``."""
    STORED = "stored"
    """The request ran; ``answer`` is the answer of the upstream."""
    IN_PROGRESS = "in_progress"
    """An attempt may be about to be sent, or running."""
    UNKNOWN = "unknown"
    """It cannot be determined now whether an attempt ran."""
    KEY_REUSED = "key_reused"
    """The key was used for another request; this one has not run and never will."""


SETTLED_KINDS = {
    SettledState.NOT_RUN: ErrorKind.CLAIM_LOST,
    SettledState.IN_PROGRESS: ErrorKind.IN_PROGRESS,
    SettledState.UNKNOWN: ErrorKind.OUTCOME_UNKNOWN,
    SettledState.KEY_REUSED: ErrorKind.KEY_REUSED,
}
"""Error kind of each state that has no answer."""


@attrs.frozen
class Settled:
    """Outcome of the attempts made for a ticket, with its data.

    Parameters
    ----------
    state : SettledState
    row_version : int
        With ``NOT_RUN``: the version that the next attempt may expect.
    answer : StoredAnswer or None
        With ``STORED``.
    detail : str
    """

    state: SettledState
    row_version: int = ABSENT
    answer: StoredAnswer | None = None
    detail: str = ""


class AtMostOnceResolver:
    """Determines the outcome of an attempt, and prevents it from starting later.

    Parameters
    ----------
    claims : ClaimStore

    Notes
    -----
    An entry whose connection to the slot broke cannot know whether the slot has claimed, will claim
    or has crashed. It writes a cancellation on the version that the attempt expected. If that takes
    effect, the attempt can never claim, and "not run" holds permanently. If the slot was first, the
    row shows it. While the table does not answer, the outcome is reported as unknown.
    """

    def __init__(self, claims: ClaimStore):
        self.claims = claims

    def open_ticket(
        self, organisation: str, key: str, digest: str, started_at: float
    ) -> AtMostOnceTicket:
        """Return the ticket of a newly arrived request."""
        return AtMostOnceTicket(organisation, key, digest, started_at, self.claims.table.absent)

    async def settle(
        self, ticket: AtMostOnceTicket, clock: Callable[[], float], claim_lost: bool = False
    ) -> Settled:
        """Settle a ticket after a lost connection, a rejected claim or a timeout.

        Parameters
        ----------
        ticket : AtMostOnceTicket
        clock : callable
            Returns the time in seconds since the epoch. It is called again after each wait, since
            the process may have been paused in between.
        claim_lost : bool
            Whether the slot reported ``CLAIM_LOST``: the row has changed, so that reading it is
            sufficient and no write is needed.
        """
        found = await self._cancel_or_read(ticket, clock(), claim_lost)
        if found.is_err():
            if claim_lost and self._was_table_restored_since(ticket.expected_version):
                # The slot rejected the attempt only because the table was restored from a copy,
                # and the table has no row.
                return Settled(SettledState.NOT_RUN, self.claims.table.absent)
            return Settled(SettledState.UNKNOWN, detail=found.err().detail)
        if clock() - ticket.started_at >= ATTEMPT_START_LIMIT_S:
            # After a long pause the row may have expired, so a missing row is no evidence that
            # nothing ran.
            return Settled(SettledState.UNKNOWN, detail="the entry was paused for too long")
        row = found.ok().row
        if not claim_lost and era_of(row.version) > era_of(ticket.expected_version):
            return await self._interpret_row_of_later_era(ticket, row, clock())
        if not claim_lost and row.written_at < ticket.started_at - ROW_AGE_LIMIT_S:
            extended = await self._extend_row(ticket, row, clock())
            if extended.is_err():
                return Settled(SettledState.UNKNOWN, detail=extended.err().detail)
            row = extended.ok()
        return await self._interpret_row(ticket, row, clock())

    async def check_repeat(self, ticket: AtMostOnceTicket, clock: Callable[[], float]) -> Settled:
        """Read the state of a key for which this entry has made no attempt.

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
        return await self._interpret_row(ticket, row, clock())

    def _was_table_restored_since(self, version: int) -> bool:
        return self.claims.table.era > era_of(version)

    async def _interpret_row_of_later_era(
        self, ticket: AtMostOnceTicket, row: ClaimRow, now: float
    ) -> Settled:
        """Interpret a row of a later era, which may lack the claim of the attempt.

        Notes
        -----
        Only the state of this request counts. A cancellation, or another request with the key, is
        no evidence about a claim that the table has lost.
        """
        if row.digest == ticket.digest and row.state is not ClaimState.CANCELLED:
            return await self._interpret_row(ticket, row, now)
        detail = "the table returned from a copy after the attempt was made"
        return Settled(SettledState.UNKNOWN, detail=detail)

    async def _cancel_or_read(
        self, ticket: AtMostOnceTicket, now: float, claim_lost: bool
    ) -> Result[CancelOutcome, TableError]:
        if claim_lost:
            read = await self.claims.read(ticket.organisation, ticket.key)
            if read.is_err():
                return Err(read.err())
            row = read.ok()
            if row is not None and row.version > ticket.expected_version:
                return Ok(CancelOutcome(False, row))
            if self._was_table_restored_since(ticket.expected_version):
                detail = "no attempt of an earlier era can claim any more"
                return Err(TableError(TableErrorKind.CONFLICT, detail))
        return await self.claims.cancel(
            ticket.organisation, ticket.key, ticket.expected_version, ticket.digest, now
        )

    async def _extend_row(
        self, ticket: AtMostOnceTicket, row: ClaimRow, now: float
    ) -> Result[ClaimRow, TableError]:
        """Extend the life of an old row until the attempt that it prevents can no longer start.

        Notes
        -----
        An attempt that waits in a paused slot fails because the row exists. A row that expires
        first, or was written with an old time by a process that was paused at the write, would let
        the attempt run although the caller has received the answer that it did not run.
        """
        if row.state is not ClaimState.RUNNING:
            return await self.claims.refresh(ticket.organisation, ticket.key, row, now)
        if row.digest == ticket.digest:
            return Ok(row)
        detail = "another request with the key left no outcome"
        return Err(TableError(TableErrorKind.CONFLICT, detail))

    async def _interpret_row(self, ticket: AtMostOnceTicket, row: ClaimRow, now: float) -> Settled:
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
