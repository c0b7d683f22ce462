"""Interfaces to the platform: table service, object store and VM list.

Adapters are registered by name in :data:`table_services`, :data:`object_stores` and
:data:`vm_lists`, so that support for another platform needs only a new adapter.
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
"""Version of a row that does not exist, in a table that reports no era."""


@attrs.frozen
class Row:
    """Row of the table.

    Parameters
    ----------
    key : str
    value : bytes
    version : int
        Increases with every write of the row and with the era of the table; never :data:`ABSENT`.
        A row that was deleted and written again never has an earlier version; claims rely on this.
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
        :attr:`TableService.absent` requires that the row does not exist; None accepts any version.
        A version of an era other than the current one of the table never matches.
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
    """Require that the row under ``key`` has ``expected_version``, without writing it."""

    key: str
    expected_version: int


Operation = Put | Delete | Check


class TableErrorKind(enum.Enum):
    """Reason why a call of the table service failed."""

    CONFLICT = "conflict"
    """A condition did not hold; nothing was written."""
    UNAVAILABLE = "unavailable"
    """The service certainly did not carry out the call."""
    UNCERTAIN = "uncertain"
    """The service may have carried out the call: the answer was lost or late."""
    INVALID = "invalid"
    """The service rejected the call as malformed."""


@attrs.frozen
class TableError:
    """Error of a call of the table service.

    Parameters
    ----------
    kind : TableErrorKind
    detail : str
        Text for the log.
    conflicts : tuple of int
        With ``CONFLICT``: the indices of the operations whose condition did not hold.
    """

    kind: TableErrorKind
    detail: str = ""
    conflicts: tuple[int, ...] = ()


class TableService(ABC):
    """Transactional key-value table of the platform, with keys in string order.

    Notes
    -----
    The table may be restored from a copy that is some seconds old. Acknowledged writes since the
    copy are then lost, and their numbers are assigned again. The era, which every answer reports,
    distinguishes the states; it is part of every version (:func:`make_version`).
    """

    @property
    def era(self) -> int:
        """Latest era that an answer reported; 0 before the first, or if the table reports none."""
        return 0

    @property
    def absent(self) -> int:
        """Version of a row that does not exist, in the latest known era."""
        return make_version(self.era, 0)

    @abstractmethod
    async def get(self, keys: Sequence[str]) -> Result[list[Row | None], TableError]:
        """Return the row under each key, None where there is none."""

    @abstractmethod
    async def scan(
        self, prefix: str, after: str = "", limit: int = 1000
    ) -> Result[list[Row], TableError]:
        """Return up to ``limit`` rows under ``prefix`` whose keys sort after ``after``."""

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
    """Store for large values, with the digest of the content as the key."""

    @abstractmethod
    async def put(self, digest: str, content: bytes) -> Result[None, TableError]:
        """Store the content; idempotent."""

    @abstractmethod
    async def get(self, digest: str) -> Result[bytes | None, TableError]:
        """Return the content, None if there is none."""


class VmState(enum.Enum):
    """State of a VM as reported by the platform."""

    LIVE = "live"
    LEAVING = "leaving"


@attrs.frozen
class VmEntry:
    """Entry of the VM list.

    Parameters
    ----------
    vm : str
        Name of the VM; a replacement at the same address has a different name.
    role : str
        ``"entry"`` or ``"slot"``.
    host, port
        Address at which the process listens for peers.
    status_port : int
        Port at which the process serves health, readiness and status over HTTP.
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
    """List of VMs of the platform, which may lag behind the actual state."""

    @abstractmethod
    async def list(self) -> Result[list[VmEntry], TableError]:
        """Return the list as the platform currently reports it."""


table_services: Registry[type[TableService]] = Registry("table service")
object_stores: Registry[type[ObjectStore]] = Registry("object store")
vm_lists: Registry[type[VmList]] = Registry("VM list")
