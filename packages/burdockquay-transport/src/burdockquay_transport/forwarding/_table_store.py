"""Interface through which the platform's tables are read."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable

import attrs
from result import Result

from burdockquay_protocol import ChangedRow
from burdockquay_state import Position, TableError


@attrs.frozen
class TableReading:
    """Rows of a table at one time.

    Parameters
    ----------
    rows : tuple of ChangedRow
    position : Position
        In the history of the platform's store at that time; later changes continue from here.
    as_of : float
        A time at which the rows were valid, on the clock of this process.
    store_s : float or None
        Time on the platform's clock in the answer, seconds; None if it has none.
    """

    rows: tuple[ChangedRow, ...]
    position: Position
    as_of: float
    store_s: float | None = None


class TableStore(ABC):
    """Interface through which an adapter reads the platform's tables."""

    now: Callable[[], float]

    @abstractmethod
    async def read_table(self, table: str) -> Result[TableReading, TableError]:
        """Return all rows of a table."""

    @abstractmethod
    async def wait_for_rows(
        self, table: str, after: Position, wait_s: float
    ) -> Result[TableReading, TableError]:
        """Return the rows that changed after a position, as soon as there is one.

        Returns
        -------
        Result of TableReading, TableError
            A reading of another era than ``after`` does not continue from there. The error
            ``CONFLICT`` means that the history does not reach back to ``after``.
        """

    @abstractmethod
    def to_local_time(self, store_s: float, era: int) -> float | None:
        """Convert a time on the platform's clock to the clock of this process.

        Parameters
        ----------
        store_s : float
            Seconds.
        era : int
            Of the store whose clock showed the time: the clock may be another one after the store
            was restored.

        Returns
        -------
        float or None
            A time that is certainly not later; None if that is unknown.
        """
