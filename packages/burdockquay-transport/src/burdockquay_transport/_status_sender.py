"""Sends the state of a slot to its entries, within a budget of bytes."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Collection

from burdockquay_protocol import SlotStatus

from ._peer import PeerConnection

STATUS_BYTES = 60
"""Size of a status message on the wire, bytes."""

STATUS_BYTES_PER_S = 1000.0
"""Traffic that status messages to all entries together may cause, bytes a second."""


class StatusSender:
    """Tells the entries what has changed.

    Parameters
    ----------
    make_status : callable
        Returns the present :class:`SlotStatus`.
    find_peers : callable
        Returns the connected entries.
    interval_s : float
        Shortest time between two messages, seconds; more entries make it longer.
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
        self._wanted = asyncio.Event()

    def counts_changed(self) -> None:
        """Send the status when the budget allows."""
        self._wanted.set()

    def send_now(self) -> None:
        """Send the status at once, whatever the budget says."""
        status = self.make_status()
        for peer in self.find_peers():
            peer.post(status)

    async def run(self) -> None:
        """Send what has changed until cancelled; run as a task.

        Notes
        -----
        The pause comes before the message: a short request starts and ends within it, and what
        has not changed in the end need not be sent. Sending first put a message before each
        request's way to the upstream.
        """
        last = None
        while True:
            await self._wanted.wait()
            budget_s = STATUS_BYTES * len(self.find_peers()) / STATUS_BYTES_PER_S
            await asyncio.sleep(max(self.interval_s, budget_s))
            self._wanted.clear()
            status = self.make_status()
            if status != last:
                last = status
                self.send_now()
