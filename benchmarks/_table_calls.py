"""Table calls made for the configuration, counted at an in-memory table."""

from __future__ import annotations

from typing import Any

from _records import organisation_record

from burdockquay_state import MemoryTable, RecordLog, make_record_change

COMMIT_RECORDS = 50
RECORDS = (100, 1100)


async def count_table_calls() -> list[dict[str, Any]]:
    """Return, for several numbers of records, the table calls of a change, a start and a poll."""
    table = MemoryTable()
    log = RecordLog(table)
    rows, low = [], 0
    for high in RECORDS:
        for start in range(low, high, COMMIT_RECORDS):
            records = [
                organisation_record(f"org-{i}") for i in range(start, start + COMMIT_RECORDS)
            ]
            (
                await log.commit([make_record_change([item], 0) for item in records], "bench", 0.0)
            ).unwrap()
        rows.append({"records": high, **await _count(table, log)})
        low = high
    return rows


async def _count(table: MemoryTable, log: RecordLog) -> dict[str, int]:
    current = (await log.get("organisation", "org-0")).unwrap().entry
    reads, writes = table.reads, table.writes
    changed = organisation_record("org-0", requests_per_s=current.revision + 1.0)
    (await log.put([changed], "bench", current.revision, 0.0)).unwrap()
    counts = {"change_reads": table.reads - reads, "change_writes": table.writes - writes}
    reads = table.reads
    (await log.read_all()).unwrap()
    counts["start_reads"] = table.reads - reads
    reads = table.reads
    (await log.head()).unwrap()
    counts["poll_reads"] = table.reads - reads
    return counts
