"""Exception for calls without a complete answer."""

from __future__ import annotations

from typing import Any

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


def error_body(error: RequestError) -> dict[str, Any]:
    """Return the JSON body of an error answer."""
    answer = error.answer
    message = f"{answer.text} {error.detail}".strip()
    return {
        "error": {
            "type": error.kind.value,
            "code": error.kind.value,
            "message": message,
            "run": answer.run.value,
            "retry_after_s": answer.retry_after_s,
        }
    }
