"""How a call ends that has no whole answer of an upstream."""

from __future__ import annotations

from burdockquay_protocol import RequestError


class CallError(Exception):
    """A call ended without a whole answer; its caller gets the answer of the error's kind.

    Parameters
    ----------
    error : RequestError
    """

    def __init__(self, error: RequestError):
        super().__init__(error.kind.value)
        self.error = error
