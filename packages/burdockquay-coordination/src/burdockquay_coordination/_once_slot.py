"""At-most-once execution, slot side: the claim is written before a request is sent upstream."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from result import Err, Ok, Result

from burdockquay_protocol import ErrorKind, NotRun, Run
from burdockquay_state import (
    ATTEMPT_START_LIMIT_S,
    Claim,
    ClaimRefusal,
    ClaimRequest,
    ClaimStore,
    RefusalReason,
    StoredAnswer,
    TableError,
    era_of,
)

from ._once_era import ClaimEra
from ._outcomes import OutcomeWriter

_KINDS = {
    RefusalReason.TAKEN: ErrorKind.CLAIM_LOST,
    RefusalReason.UNAVAILABLE: ErrorKind.TABLE_UNAVAILABLE,
    RefusalReason.UNCERTAIN: ErrorKind.TABLE_UNAVAILABLE,
    RefusalReason.INVALID: ErrorKind.INTERNAL,
}


class AtMostOnceGuard:
    """Allows each claimed attempt to be sent upstream once.

    Parameters
    ----------
    claims : ClaimStore
    outcomes : OutcomeWriter
    eras : ClaimEra
    incarnation : str
        Incarnation of the slot's process.

    Notes
    -----
    The slot is the only sender of its attempts. An attempt that is rejected here is never sent, so
    the slot may report "not run" even if it is uncertain whether the claim was written. The claim
    is then withdrawn in the background, so that a repeated request does not find it in state
    running forever.

    Examples
    --------
    The slot's task for one request::

        begun = await guard.begin(run, clock)
        if begun.is_err():
            return begun.err()  # NotRun: sent to the entry unchanged
        claim = begun.ok()
        ...  # send once; never again, whatever happens
        await guard.finish(claim, answer)
    """

    def __init__(
        self, claims: ClaimStore, outcomes: OutcomeWriter, eras: ClaimEra, incarnation: str
    ):
        self.claims = claims
        self.outcomes = outcomes
        self.eras = eras
        self.incarnation = incarnation
        self._attempts = 0

    async def begin(self, run: Run, clock: Callable[[], float]) -> Result[Claim, NotRun]:
        """Claim the right to send an attempt upstream.

        Parameters
        ----------
        run : Run
        clock : callable
            Returns the time in seconds since the epoch. It is called again after the claim, since
            the process may have been paused in between.

        Returns
        -------
        Result of Claim, NotRun
            With a claim the request must be sent immediately, and only once. ``CLAIM_LOST``:
            another attempt or a cancellation was first; the entry settles the outcome.
        """
        if not self.outcomes.has_room:
            detail = "too many outcomes wait for the table service"
            return _refuse(run, ErrorKind.TABLE_UNAVAILABLE, detail)
        era = era_of(run.expected_version)
        if not await self.eras.admits(era):
            return self._refuse_era(run, era)
        now = clock()
        begun_at = self.eras.clock()
        request = self._make_request(run, now)
        if now >= request.not_after:
            return _refuse(run, ErrorKind.DEADLINE_EXCEEDED, "the attempt arrived too late")
        claimed = await self._claim(request, now)
        if claimed.is_err():
            return self._refuse_claim(run, request, claimed.err())
        claim = claimed.ok()
        # A process that was paused during the claim could send the request after the caller got the
        # answer that the outcome is unknown, or after the row expired. Late attempts are abandoned.
        if clock() >= claim.row.not_after or self.eras.is_claim_too_old(begun_at):
            await self.outcomes.abandon(claim)
            return _refuse(run, ErrorKind.DEADLINE_EXCEEDED, "the claim was confirmed too late")
        return Ok(claim)

    async def finish(self, claim: Claim, answer: StoredAnswer) -> Result[None, TableError]:
        """Record the answer; on an error the outcome writer keeps retrying."""
        return await self.outcomes.complete(claim, answer)

    async def abandon(self, claim: Claim) -> Result[None, TableError]:
        """Abandon a claim whose request certainly was not sent and never will be.

        Notes
        -----
        Only for a connection that was never established, or an attempt cancelled before anything
        was sent. Once bytes may have reached the upstream, the row must stay unchanged.
        """
        return await self.outcomes.abandon(claim)

    def _make_request(self, run: Run, now: float) -> ClaimRequest:
        self._attempts += 1
        started_at = run.started_at or now
        return ClaimRequest(
            organisation=run.organisation,
            key=run.key,
            expected_version=run.expected_version,
            attempt=run.attempt,
            attempt_id=f"{run.request}/{run.attempt}/{self._attempts}",
            incarnation=self.incarnation,
            digest=run.digest,
            not_after=min(now + run.deadline_s, started_at + ATTEMPT_START_LIMIT_S),
        )

    async def _claim(self, request: ClaimRequest, now: float) -> Result[Claim, ClaimRefusal]:
        task = asyncio.ensure_future(self.claims.claim(request, now))
        try:
            return await asyncio.shield(task)
        except asyncio.CancelledError:
            # The calling task ends here, and a claim written afterwards would go unnoticed.
            self.outcomes.withdraw(request)
            raise

    def _refuse_era(self, run: Run, era: int) -> Result[Claim, NotRun]:
        if era < self.eras.era:
            detail = "the table returned from a copy since the attempt was made"
            return _refuse(run, ErrorKind.CLAIM_LOST, detail)
        detail = "claims that the table lost may still be written again"
        return _refuse(run, ErrorKind.TABLE_UNAVAILABLE, detail)

    def _refuse_claim(
        self, run: Run, request: ClaimRequest, refusal: ClaimRefusal
    ) -> Result[Claim, NotRun]:
        if refusal.reason is RefusalReason.UNCERTAIN:
            self.outcomes.withdraw(request)
        return _refuse(run, _KINDS[refusal.reason], refusal.detail)


def _refuse(run: Run, kind: ErrorKind, detail: str) -> Result[Claim, NotRun]:
    return Err(NotRun(run.request, run.attempt, kind, detail))
