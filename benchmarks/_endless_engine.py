"""Upstream that answers without an end until the connection is closed; ends with its input."""

from __future__ import annotations

import socket
import sys
import threading

PIECE = b"x" * 65536
SEALED = "Response-Seal: s1\r\n"
CHUNKED = "Transfer-Encoding: chunked\r\n\r\n"
EVENTS = SEALED + "Content-Type: text/event-stream\r\n" + CHUNKED


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


ANSWERS: dict[str, tuple[str, bytes]] = {
    "chunks": ("500 Broken\r\n" + CHUNKED, _chunk(PIECE)),
    "length": ("500 Broken\r\nContent-Length: 99999999999\r\n\r\n", PIECE),
    "until_close": ("500 Broken\r\n\r\n", PIECE),
    "refusal": ("503 Full\r\nNot-Executed: 1\r\n" + CHUNKED, _chunk(PIECE)),
    "interim": ("", b"HTTP/1.1 100 Continue\r\n\r\n" * 2600),
    "event": ("200 OK\r\n" + EVENTS + "4\r\ndata\r\n", _chunk(PIECE)),
    "comments": ("200 OK\r\n" + EVENTS, _chunk(b": still here\n\n" * 4600)),
    "chunk_size": ("500 Broken\r\n" + CHUNKED, b"0" * 65536),
    "chunk_extension": ("500 Broken\r\n" + CHUNKED + "5;", PIECE),
    "empty_lines": ("", b"\r\n" * 32768),
    "garbage": ("", PIECE),
    "headers": ("500 Broken\r\n", b"X-Some: text\r\n" * 4600),
}
"""By name, what an answer begins with, and what follows it again and again."""


def _serve(connection: socket.socket, name: str) -> None:
    begin, piece = ANSWERS[name]
    try:
        while True:
            received = b""
            while b"\r\n\r\n" not in received:
                data = connection.recv(65536)
                if not data:
                    return
                received += data
            if begin:
                connection.sendall(f"HTTP/1.1 {begin}".encode())
            while True:
                connection.sendall(piece)
    except OSError:
        # The forwarder has closed the connection.
        return
    finally:
        connection.close()


def main() -> None:
    """Serve on a free port, which is printed."""
    listening = socket.create_server(("127.0.0.1", 0))
    print(listening.getsockname()[1], flush=True)
    threading.Thread(target=_accept, args=(listening, sys.argv[1]), daemon=True).start()
    sys.stdin.read()


def _accept(listening: socket.socket, name: str) -> None:
    while True:
        connection, _ = listening.accept()
        threading.Thread(target=_serve, args=(connection, name), daemon=True).start()


if __name__ == "__main__":
    main()
