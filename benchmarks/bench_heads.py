"""Processor time to receive the head of an answer, by its number of lines, with its checks."""

from __future__ import annotations

import asyncio
import time

from _report import print_result, print_table
from aiohttp.client_proto import ResponseHandler

from burdockquay_transport._bounded_answers import BoundedResponseHandler

LINES = (1, 8, 40)
ANSWERS = 2000
ROUNDS = 15


class IdleTransport(asyncio.Transport):
    """Transport of a connection on which nothing is written."""

    def is_closing(self) -> bool:
        """Return that it is open."""
        return False


def measure_head_us(kind: type[ResponseHandler], lines: int) -> float:
    """Return the processor time of one answer, the best of several rounds, microseconds."""
    protocol = kind(asyncio.get_running_loop())
    protocol.connection_made(IdleTransport())
    fields = "".join(f"X-Note-{number}: text of a field\r\n" for number in range(lines))
    data = f"HTTP/1.1 200 OK\r\n{fields}Content-Length: 4\r\n\r\ndone".encode()
    times = []
    for _ in range(ROUNDS):
        begun = time.process_time()
        for _ in range(ANSWERS):
            protocol.set_response_params(read_until_eof=True)
            protocol.data_received(data)
            protocol._buffer.clear()
        times.append((time.process_time() - begun) / ANSWERS * 1e6)
    return min(times)


async def main() -> None:
    rows = [
        [
            lines,
            measure_head_us(ResponseHandler, lines),
            measure_head_us(BoundedResponseHandler, lines),
        ]
        for lines in LINES
    ]
    print_table("Processor time of one head, us", ["lines", "parser alone", "with checks"], rows)
    print_result({f"head_us_{lines}_lines": checked for lines, _, checked in rows})


if __name__ == "__main__":
    asyncio.run(main())
