"""Sends the status of a slot to its entries, within a traffic budget."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Collection

from burdockquay_protocol import SlotStatus

from ._peer import PeerConnection

STATUS_BYTES = 60
"""Size of a status message on the wire, bytes."""

STATUS_BYTES_PER_S = 1000.0
"""Limit on the traffic of status messages to all entries together, bytes per second."""


class StatusSender:
    """Sends status changes to the entries.

    Parameters
    ----------
    make_status : callable
        Returns the current :class:`SlotStatus`.
    find_peers : callable
        Returns the connected entries.
    interval_s : float
        Shortest time between two messages, seconds; longer with many entries, to keep to the
        traffic budget.
    """

    def __init__(
        self,
        make_status: Callable[[], SlotStatus],
        find_peers: Callable[[], Collection[PeerConnection]],
        interval_s: float,
    ):
        self.make_status = make_status
        self.find_peers = find_peers
        self.interval_s = interval_s
        self._changed = asyncio.Event()

    def counts_changed(self) -> None:
        """Schedule a status message for when the budget allows one."""
        self._changed.set()

    def send_now(self) -> None:
        """Send the status at once, regardless of the budget."""
        status = self.make_status()
        for peer in self.find_peers():
            peer.post(status)

    async def run(self) -> None:
        """Send status changes until cancelled; run as a task.

        Notes
        -----
        The delay comes before the message: a short request starts and ends within it, and a status
        that is unchanged at the end need not be sent. Sending first would put a status message
        ahead of each request that is passed to the upstream.
        """
        last = None
        while True:
            await self._changed.wait()
            budget_s = STATUS_BYTES * len(self.find_peers()) / STATUS_BYTES_PER_S
            await asyncio.sleep(max(self.interval_s, budget_s))
            self._changed.clear()
            status = self.make_status()
            if status != last:
                last = status
                self.send_now()
