"""Which headers concern one connection only."""

from __future__ import annotations

from collections.abc import Collection, Mapping

from multidict import CIMultiDict

ONE_CONNECTION = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
"""Headers of one connection, and the length, which is set anew on the next one."""


def pass_on_headers(headers: Mapping[str, str], drop: Collection[str] = ()) -> CIMultiDict[str]:
    """Return the headers of a message that go on to the next connection.

    Parameters
    ----------
    headers : mapping
        Each header may stand several times.
    drop : collection of str
        Names, in lower case, that do not go on for other reasons.

    Examples
    --------
    >>> headers = {"Connection": "close, X-Hop", "X-Hop": "1", "X-End": "2"}
    >>> dict(pass_on_headers(headers))
    {'X-End': '2'}
    """
    named = {part.strip().lower() for part in headers.get("Connection", "").split(",")}
    passed: CIMultiDict[str] = CIMultiDict()
    for name, value in headers.items():
        lower = name.lower()
        if lower not in ONE_CONNECTION and lower not in named and lower not in drop:
            passed.add(name, value)
    return passed
