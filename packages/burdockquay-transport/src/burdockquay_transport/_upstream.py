"""Clients of the upstreams: what a slot does to run one attempt, whatever the upstream is.

Clients register in :data:`upstream_clients` under the kind of upstream that group records name.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import AsyncIterator

import aiohttp
import attrs

from burdockquay_protocol import AnswerEnd, AnswerHead, ErrorKind, Run
from burdockquay_state import Registry


@attrs.frozen
class Token:
    """Text that an engine generated, with the number of tokens in it."""

    text: str
    count: int = 1


@attrs.frozen
class BodyPiece:
    """Piece of the body of a plain answer."""

    data: bytes


AnswerPart = AnswerHead | Token | BodyPiece | AnswerEnd


class UpstreamError(Exception):
    """An attempt failed at the upstream.

    Parameters
    ----------
    kind : ErrorKind
    detail : str
    sent : bool
        False if the upstream certainly did not get the request.
    crashed : bool
        Whether the upstream itself seems to have gone down.
    """

    def __init__(self, kind: ErrorKind, detail: str, sent: bool, crashed: bool = False):
        super().__init__(detail)
        self.kind = kind
        self.detail = detail
        self.sent = sent
        self.crashed = crashed


class UpstreamClient(ABC):
    """A slot's connection to its upstream.

    Parameters
    ----------
    url : str
        Base URL of the upstream.
    sessions : UpstreamSessions
    """

    can_pause = False
    """Whether a running request can be paused and resumed."""

    can_resume_answers = False
    """Whether an answer can be continued behind tokens that another upstream generated."""

    def __init__(self, url: str, sessions: UpstreamSessions):
        self.url = url.rstrip("/")
        self.sessions = sessions

    @abstractmethod
    def call(self, run: Run, priority: int) -> AsyncIterator[AnswerPart]:
        """Send the request and yield its answer: head, pieces, end.

        Raises
        ------
        UpstreamError
            If the answer does not come to its end.
        """

    @abstractmethod
    async def probe(self) -> bool:
        """Return whether the upstream serves one small request."""

    async def measure(self, model: str) -> float | None:
        """Return the time between tokens of one small request, seconds, None if unknown."""
        return None

    async def pause(self, request: str) -> bool:
        """Pause a running request; False if the upstream does not run it."""
        return False

    async def resume(self, request: str) -> bool:
        """Resume a paused request; False if the upstream does not hold it."""
        return False

    async def cancel(self, request: str) -> None:
        """Tell the upstream that nobody waits for the answer."""
        return


upstream_clients: Registry[type[UpstreamClient]] = Registry("upstream kind")

PROBE_TIMEOUT = aiohttp.ClientTimeout(total=2.0)
CONTROL_TIMEOUT = aiohttp.ClientTimeout(total=2.0)


def make_session(reuse_connections: bool) -> aiohttp.ClientSession:
    """Return a client session without a limit on connections.

    Parameters
    ----------
    reuse_connections : bool
        False for requests that must not fail because an idle connection was closed under them:
        nobody could tell whether they had run.
    """
    connector = aiohttp.TCPConnector(limit=0, force_close=not reuse_connections)
    timeout = aiohttp.ClientTimeout(total=None, connect=2.0)
    return aiohttp.ClientSession(connector=connector, timeout=timeout, auto_decompress=False)


class UpstreamSessions:
    """The two client sessions of a slot: with connections kept, and with a fresh one each time."""

    def __init__(self):
        self.kept = make_session(reuse_connections=True)
        self.fresh = make_session(reuse_connections=False)

    def for_run(self, run: Run) -> aiohttp.ClientSession:
        """Return the session for an attempt."""
        return self.kept if run.idempotent else self.fresh

    async def close(self) -> None:
        """Close both."""
        await self.kept.close()
        await self.fresh.close()
