"""Storage of suspicions in the table, for processes that start after a crash."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Sequence

import attrs
import cbor2
from result import Err, Ok, Result

from burdockquay_protocol import Suspicion
from burdockquay_state import (
    Delete,
    Put,
    Row,
    TableError,
    TableErrorKind,
    TableService,
)

KEY_PREFIX = "suspicion/"
"""Prefix of the row keys."""

SAVE_ATTEMPTS = 3
"""Attempts to write a row that other processes change concurrently."""

RELOAD_INTERVAL_S = 2.0
"""Mean interval between attempts to read the rows while the table is unavailable, seconds."""


class SuspicionStore:
    """Stores suspicions in table rows that outlive the processes that detected a crash.

    Parameters
    ----------
    table : TableService

    Notes
    -----
    Processes exchange suspicions in messages. If all of them were replaced, the next repeat of the
    request would crash upstreams again; the rows prevent that. They are written only at crashes,
    which are rare, and read once by each process when it starts.
    """

    def __init__(self, table: TableService):
        self.table = table

    async def save(self, suspicions: Sequence[Suspicion], now: float) -> Result[None, TableError]:
        """Write suspicions; larger values in an existing row are kept."""
        for suspicion in suspicions:
            saved = await self._save_one(suspicion)
            if isinstance(saved, Err):
                return saved
        return Ok(None)

    async def load(self, now: float) -> Result[list[Suspicion], TableError]:
        """Return the suspicions in force, and delete rows that have expired."""
        found: list[Suspicion] = []
        after = ""
        while True:
            page = await self.table.scan(KEY_PREFIX, after)
            if isinstance(page, Err):
                return page
            rows = page.ok()
            if not rows:
                return Ok(found)
            after = rows[-1].key
            found += await self._drop_expired(rows, now)

    async def _drop_expired(self, rows: list[Row], now: float) -> list[Suspicion]:
        read = [(row, _decode(row)) for row in rows]
        for row, suspicion in read:
            if suspicion is None or suspicion.expires_at <= now:
                # Conditional on the version: a concurrent crash may renew the row.
                await self.table.transact([Delete(row.key, row.version)])
        return [one for _, one in read if one is not None and one.expires_at > now]

    async def _save_one(self, suspicion: Suspicion) -> Result[None, TableError]:
        key = KEY_PREFIX + suspicion.digest
        result: Result = Ok(None)
        for _ in range(SAVE_ATTEMPTS):
            rows = await self.table.get([key])
            if isinstance(rows, Err):
                return rows
            (row,) = rows.ok()
            merged = _merge(suspicion, _decode(row) if row else None)
            version = row.version if row else self.table.absent
            result = await self.table.transact([Put(key, _encode(merged), version)])
            if isinstance(result, Ok):
                return Ok(None)
            if result.err().kind is not TableErrorKind.CONFLICT:
                return result
        return result


async def load_with_retries(
    store: SuspicionStore, clock: Callable[[], float], rng: random.Random
) -> list[Suspicion]:
    """Return the suspicions in force, retrying until the table answers."""
    while True:
        loaded = await store.load(clock())
        if isinstance(loaded, Ok):
            return loaded.ok()
        await asyncio.sleep(RELOAD_INTERVAL_S * rng.uniform(0.5, 1.5))


def _merge(one: Suspicion, other: Suspicion | None) -> Suspicion:
    if other is None:
        return one
    return attrs.evolve(
        one,
        crashes=max(one.crashes, other.crashes),
        alone=max(one.alone, other.alone),
        expires_at=max(one.expires_at, other.expires_at),
    )


def _encode(suspicion: Suspicion) -> bytes:
    return cbor2.dumps([suspicion.crashes, suspicion.alone, suspicion.expires_at])


def _decode(row: Row) -> Suspicion | None:
    """Return the suspicion of a row; None if the row cannot be decoded."""
    try:
        crashes, alone, expires_at = cbor2.loads(row.value)
        return Suspicion(
            row.key.removeprefix(KEY_PREFIX), int(crashes), int(alone), float(expires_at)
        )
    except (cbor2.CBORDecodeError, ValueError, TypeError):
        return None
