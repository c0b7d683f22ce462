"""The interfaces to the platform: table service, object store and VM list.

Adapters register under a name in :data:`table_services`, :data:`object_stores` and
:data:`vm_lists`, so that another platform needs a new adapter and no change elsewhere.
"""

from __future__ import annotations

import enum
from abc import ABC, abstractmethod
from collections.abc import Sequence

import attrs
from result import Result

from ._registry import Registry
from ._versions import make_version

ABSENT = 0
"""The version of a row that does not exist, in a table that names no era."""


@attrs.frozen
class Row:
    """A row of the table.

    Parameters
    ----------
    key : str
    value : bytes
    version : int
        Grows with every write of the row and with the era of the table; never :data:`ABSENT`. A
        row that was deleted and written again never shows a version that it had before: claims
        rely on it.
    """

    key: str
    value: bytes
    version: int


@attrs.frozen
class Put:
    """Write ``value`` under ``key`` if the row has ``expected_version``.

    Parameters
    ----------
    expected_version : int or None
        :attr:`TableService.absent` demands that there be no row; None accepts any version. A
        version of another era than the table's is never met.
    """

    key: str
    value: bytes
    expected_version: int | None = None


@attrs.frozen
class Delete:
    """Delete the row under ``key`` if it has ``expected_version``."""

    key: str
    expected_version: int | None = None


@attrs.frozen
class Check:
    """Demand that the row under ``key`` has ``expected_version``; write nothing."""

    key: str
    expected_version: int


Operation = Put | Delete | Check


class TableErrorKind(enum.Enum):
    """Why a call of the table service failed."""

    CONFLICT = "conflict"
    """A condition did not hold; nothing was written."""
    UNAVAILABLE = "unavailable"
    """The service certainly did not carry the call out."""
    UNCERTAIN = "uncertain"
    """The service may have carried the call out: the answer was lost or late."""
    INVALID = "invalid"
    """The service refused the call as malformed."""


@attrs.frozen
class TableError:
    """A failed call of the table service.

    Parameters
    ----------
    kind : TableErrorKind
    detail : str
        For the log.
    conflicts : tuple of int
        With ``CONFLICT``: the positions of the operations whose condition did not hold.
    """

    kind: TableErrorKind
    detail: str = ""
    conflicts: tuple[int, ...] = ()


class TableService(ABC):
    """Transactional key-value table of the platform. Keys are ordered as strings.

    Notes
    -----
    The table may come back from a copy some seconds old. Acknowledged writes since the copy are
    gone then, and their numbers are given out again. The era, which every answer names, tells the
    states apart; it is part of every version (:func:`make_version`).
    """

    @property
    def era(self) -> int:
        """The latest era that an answer has named; 0 before any, or if the table names none."""
        return 0

    @property
    def absent(self) -> int:
        """The version of a row that does not exist, in the latest era known."""
        return make_version(self.era, 0)

    @abstractmethod
    async def get(self, keys: Sequence[str]) -> Result[list[Row | None], TableError]:
        """Return the row under each key, None where there is none."""

    @abstractmethod
    async def scan(
        self, prefix: str, after: str = "", limit: int = 1000
    ) -> Result[list[Row], TableError]:
        """Return up to ``limit`` rows under ``prefix`` whose keys sort behind ``after``."""

    @abstractmethod
    async def transact(
        self, operations: Sequence[Operation]
    ) -> Result[list[int | None], TableError]:
        """Carry out all operations or none.

        Returns
        -------
        Result of list of int or None
            The new version of each row written, None for a deletion or a check.
        """


class ObjectStore(ABC):
    """Store of large values under the digest of their content."""

    @abstractmethod
    async def put(self, digest: str, content: bytes) -> Result[None, TableError]:
        """Store the content; storing it again is harmless."""

    @abstractmethod
    async def get(self, digest: str) -> Result[bytes | None, TableError]:
        """Return the content, None if there is none."""


class VmState(enum.Enum):
    """What the platform says of a VM."""

    LIVE = "live"
    LEAVING = "leaving"


@attrs.frozen
class VmEntry:
    """One line of the VM list.

    Parameters
    ----------
    vm : str
        Name of the VM; a replacement on the same address has another name.
    role : str
        ``"entry"`` or ``"slot"``.
    host, port
        Where the process listens for peers.
    status_port : int
        Where the process answers HTTP: health, readiness, status.
    failure_domain : str
    group : str
        Upstream group that a slot serves; empty for an entry.
    state : VmState
    """

    vm: str
    role: str
    host: str
    port: int
    status_port: int
    failure_domain: str
    group: str = ""
    state: VmState = VmState.LIVE

    @property
    def address(self) -> tuple[str, int]:
        """Host and port where the process listens for peers."""
        return (self.host, self.port)


class VmList(ABC):
    """The platform's lagging list of VMs."""

    @abstractmethod
    async def list(self) -> Result[list[VmEntry], TableError]:
        """Return the list as the platform shows it now."""


table_services: Registry[type[TableService]] = Registry("table service")
object_stores: Registry[type[ObjectStore]] = Registry("object store")
vm_lists: Registry[type[VmList]] = Registry("VM list")
