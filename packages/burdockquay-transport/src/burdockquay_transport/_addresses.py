"""Addresses in the notation of the settings."""

from __future__ import annotations

import socket


def split_address(address: str) -> tuple[str, int]:
    """Return host and port of an address.

    Examples
    --------
    >>> split_address("[::1]:7000")
    ('::1', 7000)
    """
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


def bound_address(bound: socket.socket) -> str:
    """Return the address that a socket is bound to, in the notation of the settings."""
    host, port = bound.getsockname()[:2]
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"


def bind_socket(host: str, port: int) -> socket.socket:
    """Return a TCP socket that is bound but does not listen yet.

    Parameters
    ----------
    host : str
        IP address.
    port : int
        0 for any free port.

    Raises
    ------
    OSError
        If the address is in use.
    """
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    bound = socket.socket(family, socket.SOCK_STREAM)
    try:
        bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        bound.bind((host, port))
    except OSError:
        bound.close()
        raise
    return bound
