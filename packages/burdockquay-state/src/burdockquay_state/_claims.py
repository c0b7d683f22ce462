"""Claims: the exclusive right to run an at-most-once request, held in one table row per key."""

from __future__ import annotations

import enum

import attrs
from result import Err, Ok, Result

from ._claim_rows import (
    ClaimRow,
    ClaimState,
    StoredAnswer,
    claim_row_key,
    content_digest,
    decode_answer,
    decode_row,
    encode_answer,
    encode_row,
)
from ._group_commit import GroupCommitter
from ._recent_claims import RecentClaims
from ._table import ABSENT, ObjectStore, Put, TableError, TableErrorKind, TableService
from ._versions import era_of

WRITE_ATTEMPTS = 3
"""Attempts to send one conditional write while its confirmations are lost."""

INLINE_BYTES = 4096
"""Largest encoded answer that is stored in the row itself, bytes."""


@attrs.frozen
class ClaimRequest:
    """Request of a slot for the claim to run one attempt.

    Parameters
    ----------
    organisation, key : str
        The idempotency key and the organisation to which it belongs.
    expected_version : int
        Version of the row that the attempt may replace; the version of a missing row if there must
        be none.
    attempt : int
        Number of the attempt within its request.
    attempt_id : str
        Identifier that the incarnation uses only once.
    incarnation : str
        Incarnation of the slot.
    digest : str
        Digest of the request.
    not_after : float
        Time after which the attempt must not be sent, seconds since the epoch.
    """

    organisation: str
    key: str
    expected_version: int
    attempt: int
    attempt_id: str
    incarnation: str
    digest: str
    not_after: float


@attrs.frozen
class Claim:
    """Right to send one attempt to the upstream, once.

    Parameters
    ----------
    organisation, key : str
    row : ClaimRow
        The row as it was written, with its version.
    """

    organisation: str
    key: str
    row: ClaimRow


class RefusalReason(enum.Enum):
    """Reason why a claim was refused."""

    TAKEN = "taken"
    """The row does not have the expected version, so this attempt can never obtain the claim."""
    UNAVAILABLE = "unavailable"
    """The table did not write anything; this is certain."""
    UNCERTAIN = "uncertain"
    """The claim may have been written or may be written later; it must be withdrawn."""
    INVALID = "invalid"
    """The table rejected the write as malformed."""


@attrs.frozen
class ClaimRefusal:
    """Refused or unconfirmed claim; the attempt must not be sent.

    Parameters
    ----------
    reason : RefusalReason
    detail : str
    """

    reason: RefusalReason
    detail: str = ""


_REFUSAL_REASONS = {
    TableErrorKind.CONFLICT: RefusalReason.TAKEN,
    TableErrorKind.UNAVAILABLE: RefusalReason.UNAVAILABLE,
    TableErrorKind.UNCERTAIN: RefusalReason.UNCERTAIN,
    TableErrorKind.INVALID: RefusalReason.INVALID,
}


class RewriteOutcome(enum.Enum):
    """Outcome of the attempt to rewrite a row."""

    PRESENT = "standing"
    """The table still has the row, or has nothing that the row would need to replace."""
    WRITTEN = "written"
    TAKEN = "taken"
    """Another attempt has claimed the key."""


_POSSIBLY_CHANGED = {TableErrorKind.CONFLICT, TableErrorKind.UNCERTAIN}
"""Errors of a write after which the row may have changed and must be read."""


@attrs.frozen
class CancelOutcome:
    """Result of a cancellation.

    Parameters
    ----------
    cancelled : bool
        Whether the row is now cancelled, so that no attempt for the expected version ever starts.
    row : ClaimRow
        The current row; its version is the one that the next attempt may replace.
    """

    cancelled: bool
    row: ClaimRow


class ClaimStore:
    """Claims stored in the platform's table.

    Parameters
    ----------
    table : TableService
    objects : ObjectStore
        Stores answers that are too large for a row.
    committer : GroupCommitter, optional
        Batches the writes of this process into shared transactions; a new one by default.
    inline_bytes : int
        Largest encoded answer that is stored in the row itself, bytes.
    recent_claims : RecentClaims, optional
        Cache of the recent claims of this process; a new one by default.

    Attributes
    ----------
    reads : int
        Number of reads sent to the table.

    Notes
    -----
    Each attempt carries the version of the row that it may replace. The claim by the slot and the
    cancellation by the entry are conditional writes on that version, and each write gives the row
    a version that it never had before. Exactly one of them therefore takes effect, and the later
    one finds the row changed. A cancelled attempt can never obtain the claim, however long its slot
    was paused.

    Examples
    --------
    >>> import asyncio
    >>> from burdockquay_state import MemoryObjectStore, MemoryTable
    >>> async def claim_and_cancel():
    ...     claims = ClaimStore(MemoryTable(), MemoryObjectStore())
    ...     request = ClaimRequest("parish", "hold-7", 0, 1, "a1", "slot-1", "d", 60.0)
    ...     claim = await claims.claim(request, now=0.0)
    ...     cancelled = await claims.cancel("parish", "hold-7", 0, "d", now=1.0)
    ...     return claim.ok().row.state, cancelled.ok().cancelled
    >>> asyncio.run(claim_and_cancel())
    (<ClaimState.RUNNING: 'running'>, False)
    """

    def __init__(
        self,
        table: TableService,
        objects: ObjectStore,
        committer: GroupCommitter | None = None,
        inline_bytes: int = INLINE_BYTES,
        recent_claims: RecentClaims | None = None,
    ):
        self.table = table
        self.objects = objects
        self.committer = committer or GroupCommitter(table)
        self.inline_bytes = inline_bytes
        self.recent_claims = recent_claims or RecentClaims()
        self.reads = 0

    async def claim(self, request: ClaimRequest, now: float) -> Result[Claim, ClaimRefusal]:
        """Claim the right to send one attempt.

        Parameters
        ----------
        request : ClaimRequest
        now : float
            Seconds since the epoch.

        Returns
        -------
        Result of Claim, ClaimRefusal
            A refusal does not read the conflicting row: the entry reads it once for the answer.
        """
        row = ClaimRow(
            state=ClaimState.RUNNING,
            attempt=request.attempt,
            attempt_id=request.attempt_id,
            incarnation=request.incarnation,
            digest=request.digest,
            not_after=request.not_after,
            written_at=now,
        )
        row_key = claim_row_key(request.organisation, request.key)
        written = await self._write(row_key, row, request.expected_version)
        if written.is_err():
            error = written.err()
            return Err(ClaimRefusal(_REFUSAL_REASONS[error.kind], error.detail))
        row = attrs.evolve(row, version=written.ok())
        era = era_of(row.version)
        if era < self.table.era:
            # The write was confirmed by a state of the table that no longer exists, and it came too
            # late to be restored with the others. Nothing has been sent yet, so it is withdrawn.
            detail = "the table returned from a copy meanwhile"
            return Err(ClaimRefusal(RefusalReason.UNCERTAIN, detail))
        self._record_row(row_key, row)
        self.recent_claims.prune(era, now)
        return Ok(Claim(request.organisation, request.key, row))

    async def cancel(
        self, organisation: str, key: str, expected_version: int, digest: str, now: float
    ) -> Result[CancelOutcome, TableError]:
        """Ensure that no attempt for ``expected_version`` can start any more.

        Returns
        -------
        Result of CancelOutcome, TableError
            The current row. After an error it is unknown whether an attempt may still start.
        """
        row_key = claim_row_key(organisation, key)
        row = ClaimRow(
            state=ClaimState.CANCELLED,
            attempt=0,
            attempt_id="",
            incarnation="",
            digest=digest,
            not_after=0.0,
            written_at=now,
        )
        written = await self._write(row_key, row, expected_version)
        if written.is_ok():
            return Ok(CancelOutcome(True, attrs.evolve(row, version=written.ok())))
        if written.err().kind is not TableErrorKind.CONFLICT:
            return written
        found = await self._read_row(row_key)
        if found.is_err():
            return found
        if found.ok() is None or found.ok().version <= expected_version:
            # Either the row has expired since, or the read is older than the conflict. Such an old
            # row could be a cancellation that an attempt has since replaced; it must not count as
            # "not run".
            return Err(TableError(TableErrorKind.CONFLICT, f"{row_key} cannot be read as it is"))
        return Ok(CancelOutcome(found.ok().state is ClaimState.CANCELLED, found.ok()))

    async def complete(
        self, claim: Claim, answer: StoredAnswer, now: float
    ) -> Result[None, TableError]:
        """Store the answer of a claimed request; idempotent."""
        content = encode_answer(answer)
        row = attrs.evolve(claim.row, state=ClaimState.DONE, written_at=now)
        if len(content) <= self.inline_bytes:
            row = attrs.evolve(row, answer=content)
        else:
            row = attrs.evolve(row, object_digest=content_digest(content))
            stored = await self.objects.put(row.object_digest, content)
            if stored.is_err():
                return stored
        return await self._replace(claim, row)

    async def abandon(self, claim: Claim, now: float) -> Result[None, TableError]:
        """Cancel a claim whose holder certainly has not sent the request and never will."""
        row = attrs.evolve(claim.row, state=ClaimState.CANCELLED, written_at=now)
        return await self._replace(claim, row)

    async def withdraw(self, request: ClaimRequest, now: float) -> Result[None, TableError]:
        """Cancel a claim that may or may not have been written; its holder never sends the request.

        Notes
        -----
        A claim whose confirmation was lost may take effect late. The key would then look as if the
        request ran, and each retry would be answered with an unknown outcome. A cancellation of the
        expected version makes the late claim fail; if the claim came first, it is abandoned.
        """
        cancelled = await self.cancel(
            request.organisation, request.key, request.expected_version, request.digest, now
        )
        if cancelled.is_err():
            is_final = cancelled.err().kind is TableErrorKind.CONFLICT
            if is_final and self.table.era > era_of(request.expected_version):
                # The row is missing, and the claim expects a version of an earlier era, so it can
                # no longer take effect.
                return Ok(None)
            return cancelled
        row = cancelled.ok().row
        is_own = row.attempt_id == request.attempt_id and row.incarnation == request.incarnation
        if row.state is ClaimState.RUNNING and is_own:
            return await self.abandon(Claim(request.organisation, request.key, row), now)
        return Ok(None)

    async def refresh(
        self, organisation: str, key: str, row: ClaimRow, now: float
    ) -> Result[ClaimRow, TableError]:
        """Rewrite a row that no slot runs, unchanged, to restart its retention time."""
        fresh = attrs.evolve(row, written_at=now)
        written = await self._write(claim_row_key(organisation, key), fresh, row.version)
        if written.is_err():
            return Err(written.err())
        return Ok(attrs.evolve(fresh, version=written.ok()))

    async def read(self, organisation: str, key: str) -> Result[ClaimRow | None, TableError]:
        """Return the row of an idempotency key, None if there is none."""
        return await self._read_row(claim_row_key(organisation, key))

    async def load_answer(self, row: ClaimRow) -> Result[StoredAnswer, TableError]:
        """Return the stored answer of a row in state ``DONE``."""
        if row.answer is not None:
            return decode_answer(row.answer)
        content = await self.objects.get(row.object_digest)
        if content.is_err():
            return content
        if content.ok() is None:
            detail = f"no object {row.object_digest or '(none named)'} for the stored answer"
            return Err(TableError(TableErrorKind.INVALID, detail))
        return decode_answer(content.ok())

    async def read_and_rewrite(
        self, row_key: str, row: ClaimRow
    ) -> Result[RewriteOutcome, TableError]:
        """Read a row of this process, and rewrite it if the table has lost it."""
        found = await self._read_row(row_key)
        return found if found.is_err() else await self.rewrite_row(row_key, row, found.ok())

    async def rewrite_row(
        self, row_key: str, row: ClaimRow, current: ClaimRow | None
    ) -> Result[RewriteOutcome, TableError]:
        """Replace ``current`` with a row of this process if the table has lost that row.

        Notes
        -----
        Only a missing row, a cancellation or an earlier state of the same attempt is replaced. A
        row of another attempt may be a claim of the current era, under which a request runs.
        """
        for _ in range(WRITE_ATTEMPTS):
            outcome = _classify_current_row(row, current)
            if outcome is not None:
                return Ok(outcome)
            version = current.version if current else self.table.absent
            written = await self.committer.write(Put(row_key, encode_row(row), version))
            if written.is_ok():
                return Ok(RewriteOutcome.WRITTEN)
            if written.err().kind not in _POSSIBLY_CHANGED:
                return Err(written.err())
            found = await self._read_row(row_key)
            if found.is_err():
                return found
            current = found.ok()
        return Err(TableError(TableErrorKind.UNCERTAIN, f"{row_key}: not written again"))

    def _record_row(self, row_key: str, row: ClaimRow) -> None:
        if self.table.era:
            self.recent_claims.record_row(row_key, row)

    async def _replace(self, claim: Claim, row: ClaimRow) -> Result[None, TableError]:
        row_key = claim_row_key(claim.organisation, claim.key)
        self._record_row(row_key, row)
        written = await self._write(row_key, row, claim.row.version)
        if written.is_ok():
            return Ok(None)
        is_conflict = written.err().kind is TableErrorKind.CONFLICT
        if not is_conflict or self.table.era == era_of(claim.row.version):
            return Err(written.err())
        rewritten = await self.read_and_rewrite(row_key, row)
        if rewritten.is_ok() and rewritten.ok() is RewriteOutcome.TAKEN:
            return Err(TableError(TableErrorKind.CONFLICT, f"{row_key}: another attempt holds it"))
        return rewritten.map(lambda _: None)

    async def _write(
        self, row_key: str, row: ClaimRow, expected_version: int
    ) -> Result[int, TableError]:
        """Write a row if it has the expected version, and determine whether the write took effect.

        Notes
        -----
        A confirmation can be lost although the write took effect or takes effect later. If that
        counted as a failure, a claim could remain without a holder. If it counted as a success, a
        request could run that another process cancelled. The row is therefore read back. If it
        holds this write, the write counts. If it changed otherwise, this write can never take
        effect. If it is unchanged, the same write is sent again, and the later of the two fails.
        """
        operation = Put(row_key, encode_row(row), expected_version)
        unconfirmed = False
        for _ in range(WRITE_ATTEMPTS):
            written = await self.committer.write(operation)
            if written.is_ok():
                return written
            unconfirmed = unconfirmed or written.err().kind is TableErrorKind.UNCERTAIN
            if not unconfirmed:
                return written
            outcome = await self._read_back(row_key, row, expected_version)
            if outcome is not None:
                return outcome
        return Err(TableError(TableErrorKind.UNCERTAIN, f"{row_key}: no confirmation"))

    async def _read_back(
        self, row_key: str, row: ClaimRow, expected_version: int
    ) -> Result[int, TableError] | None:
        """Return the outcome of an unconfirmed write, None if it must be sent again."""
        found = await self._read_row(row_key)
        if found.is_err():
            return Err(TableError(TableErrorKind.UNCERTAIN, f"{row_key}: no confirmation"))
        current = found.ok()
        version = current.version if current else ABSENT
        if version <= expected_version:
            # Unchanged, or a stale read from before the expected version.
            return None
        # A cancellation does not identify its writer; after a restore it may be an earlier one.
        identifies_writer = bool(row.attempt_id) or era_of(version) == era_of(expected_version)
        if current is not None and identifies_writer and current.is_same_write(row):
            return Ok(version)
        return Err(TableError(TableErrorKind.CONFLICT, f"{row_key} changed meanwhile"))

    async def _read_row(self, row_key: str) -> Result[ClaimRow | None, TableError]:
        self.reads += 1
        rows = await self.table.get([row_key])
        if rows.is_err():
            return rows
        (row,) = rows.ok()
        return Ok(None) if row is None else decode_row(row)


def _classify_current_row(row: ClaimRow, current: ClaimRow | None) -> RewriteOutcome | None:
    """Return the outcome of a rewrite given the current row, None if it must be written."""
    if current is not None and current.is_same_write(row):
        return RewriteOutcome.PRESENT
    is_own = current is not None and current.is_of_attempt(row)
    if row.state is (ClaimState.RUNNING if is_own else ClaimState.CANCELLED):
        return RewriteOutcome.PRESENT
    if is_own or current is None or current.state is ClaimState.CANCELLED:
        return None
    return RewriteOutcome.TAKEN
