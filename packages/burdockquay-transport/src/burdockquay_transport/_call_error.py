"""Exception for calls without a complete answer."""

from __future__ import annotations

from burdockquay_protocol import RequestError


class CallError(Exception):
    """A call ended without a complete answer; its caller gets the answer for the kind of error.

    Parameters
    ----------
    error : RequestError
    """

    def __init__(self, error: RequestError):
        super().__init__(error.kind.value)
        self.error = error
