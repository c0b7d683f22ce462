"""Claims in a table whose reads lag behind its writes."""

from result import Ok

from burdockquay_state import ClaimRequest, ClaimStore, MemoryObjectStore, MemoryTable


class LaggingTable(MemoryTable):
    """Table that answers reads from the state at the time when ``lag`` was called."""

    old = None

    def lag(self):
        self.old = dict(self._rows)

    async def get(self, keys):
        if self.old is None:
            return await super().get(keys)
        return Ok([self.old.get(key) for key in keys])


async def test_stale_read_does_not_count_as_a_cancellation():
    """An attempt is cancelled, the next one claims the key, and the entry loses the connection to
    its slot. A stale read then shows the entry the row from before the claim, as cancelled. The
    caller would get the answer that nothing ran while the request runs.
    """
    table = LaggingTable()
    claims = ClaimStore(table, MemoryObjectStore())
    cancelled = (await claims.cancel("parish", "k", 0, "d", now=0.0)).ok()
    table.lag()
    version = cancelled.row.version
    request = ClaimRequest("parish", "k", version, 2, "a2", "slot-1", "d", 60.0)
    assert (await claims.claim(request, now=1.0)).is_ok()
    assert (await claims.cancel("parish", "k", version, "d", now=2.0)).is_err()
