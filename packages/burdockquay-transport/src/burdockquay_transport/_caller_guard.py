"""Enforces the limits on callers' connections of one process."""

from __future__ import annotations

import asyncio
import contextlib
from collections import deque
from collections.abc import Callable, Iterator
from typing import TYPE_CHECKING

from aiohttp import web

from burdockquay_coordination import (
    CallerAccount,
    CallerAccounts,
    CallerPhase,
    CallerTerms,
    GiveUpReason,
    UnsentAnswer,
)
from burdockquay_protocol import ErrorKind, RequestError

from ._call_error import CallError
from ._events import Event, log_event

if TYPE_CHECKING:
    from ._bounded_callers import BoundedConnection

SWEEP_INTERVAL_S = 0.25
"""Interval between two checks of the times and the memory of connections, seconds."""

MAX_LATE_S = 0.5
"""Lateness of a check from which the process counts as not having run, seconds."""


MAX_LOG_LINES = 5
"""Lines about connections that are given up, between two checks; the metrics count all."""


class CallerGuard:
    """Accounts for the connections of callers, and closes those that take too much.

    Parameters
    ----------
    make_terms : callable
        Returns the :class:`CallerTerms` in force.
    now : callable
        Returns the time on the clock of the process, seconds.
    refuse : callable
        Returns the answer for a request that is refused before it is handled.
    count : callable
        Counts a connection that is given up, by the name of the reason.
    """

    def __init__(
        self,
        make_terms: Callable[[], CallerTerms],
        now: Callable[[], float],
        refuse: Callable[[RequestError], web.Response],
        count: Callable[[str], None],
    ):
        self.accounts = CallerAccounts(make_terms())
        self.now = now
        self.refuse = refuse
        self._make_terms = make_terms
        self._count = count
        self._unparsed: deque[BoundedConnection] = deque()
        self._paused_until = 0.0
        self._lines_left = MAX_LOG_LINES

    @property
    def terms(self) -> CallerTerms:
        """Limits in force."""
        self.accounts.terms = self._make_terms()
        return self.accounts.terms

    def open(
        self,
        give_up: Callable[[GiveUpReason], None],
        measure: Callable[[], UnsentAnswer],
    ) -> CallerAccount | None:
        """Return the account of a new connection; see :meth:`CallerAccounts.open`."""
        account = self.accounts.open(give_up, measure, self.now())
        if account is None:
            self.record_given_up(GiveUpReason.NO_PLACE, CallerPhase.NEW)
        return account

    def record_given_up(self, reason: GiveUpReason, phase: CallerPhase) -> None:
        """Count and log that a connection is given up; the log gets a limited number of lines."""
        self._count(reason.value)
        if not self._lines_left:
            return
        self._lines_left -= 1
        log_event(
            Event.CALLER_GIVEN_UP,
            reason=reason,
            phase=phase,
            connections=len(self.accounts),
            held_bytes=self.accounts.held,
        )

    def record_undelivered(self, size: int, received: int) -> None:
        """Log that a connection is closed before its caller has received so many bytes.

        Parameters
        ----------
        size : int
            Bytes of answers.
        received : int
            Bytes of requests that are not answered.
        """
        if self._lines_left:
            self._lines_left -= 1
            log_event(Event.ANSWER_UNDELIVERED, undelivered=size, received=received)

    async def reserve(self, account: CallerAccount, size: int) -> None:
        """Wait until there is room for an answer; the deadline of its request limits the wait."""
        while not self.accounts.try_reserve(account, size, self.now()):
            await asyncio.sleep(SWEEP_INTERVAL_S)

    @contextlib.contextmanager
    def count_request(self, service: str, organisation: str | None) -> Iterator[None]:
        """Count a request as long as the context lasts.

        Raises
        ------
        CallError
            If the organisation must leave the connections that are left to others.
        """
        user = (service, organisation)
        if not self.accounts.try_begin(user):
            detail = "most requests are of this organisation to this service"
            raise CallError(RequestError(ErrorKind.CALLER_LIMIT, detail))
        try:
            yield
        finally:
            self.accounts.end(user)

    def parse_later(self, connection: BoundedConnection) -> None:
        """Parse the pending data of a connection, one slice in an iteration of the event loop.

        The data of other connections is read between two slices, whatever the number of those that
        send data that takes long to parse.
        """
        self._unparsed.append(connection)
        if len(self._unparsed) == 1:
            asyncio.get_running_loop().call_soon(self._parse_next)

    def _parse_next(self) -> None:
        connection = self._unparsed.popleft()
        try:
            if connection.parse_slice():
                self._unparsed.append(connection)
        finally:
            if self._unparsed:
                asyncio.get_running_loop().call_soon(self._parse_next)

    async def run(self, on_checked: Callable[[], None] = lambda: None) -> None:
        """Check times and memory until cancelled.

        Parameters
        ----------
        on_checked : callable
            Called after each check.
        """
        last = self.now()
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            now = self.now()
            if now - last > SWEEP_INTERVAL_S + MAX_LATE_S:
                # What callers sent meanwhile was not read yet.
                self._paused_until = now
            last = now
            self._lines_left = MAX_LOG_LINES
            self.accounts.terms = self._make_terms()
            self.accounts.sweep(now, self._paused_until)
            on_checked()
