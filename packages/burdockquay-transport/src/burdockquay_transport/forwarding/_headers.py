"""Removal of hop-by-hop headers."""

from __future__ import annotations

from collections.abc import Collection, Mapping

from multidict import CIMultiDict

HOP_BY_HOP_HEADERS = frozenset(
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
"""Hop-by-hop headers, and the content length, which is set again on the next connection."""


def end_to_end_headers(headers: Mapping[str, str], drop: Collection[str] = ()) -> CIMultiDict[str]:
    """Return the end-to-end headers of a message, for the next connection.

    Parameters
    ----------
    headers : mapping
        Each header may occur several times.
    drop : collection of str
        Names, in lower case, of further headers to leave out.

    Examples
    --------
    >>> headers = {"Connection": "close, X-Hop", "X-Hop": "1", "X-End": "2"}
    >>> dict(end_to_end_headers(headers))
    {'X-End': '2'}
    """
    named = {part.strip().lower() for part in headers.get("Connection", "").split(",")}
    passed: CIMultiDict[str] = CIMultiDict()
    for name, value in headers.items():
        lower = name.lower()
        if lower not in HOP_BY_HOP_HEADERS and lower not in named and lower not in drop:
            passed.add(name, value)
    return passed
