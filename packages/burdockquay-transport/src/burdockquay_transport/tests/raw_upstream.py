"""Requests to an upstream behind a slot that writes the bytes of its answers itself."""

import asyncio
import itertools

from burdockquay_standins import RawServer

from ._deployment import chat_body, until

HEALTHY = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"

PATHS = {
    "engine": ("drafting", "/v1/chat/completions"),
    "service": ("booking", "/services/booking/holds"),
}


async def ask(deployment, kind, behaviours):
    """Return the answers to requests that an upstream handles by one behaviour after the other."""
    group, path = PATHS[kind]
    handled = itertools.cycle(behaviours)

    async def behave(request, connection):
        if request.target == "/healthz":
            await connection.write(HEALTHY)
            return
        await next(handled)(request, connection)

    async with RawServer(behave) as server, deployment(engines=0, entries=0) as running:
        await running.add_slot("raw", group, f"http://127.0.0.1:{server.port}")
        await running.add_entry("entry-0")
        await until(lambda: running.is_connected(running.entries[0]))
        asked = [
            running.ask(path, chat_body(), X_Deadline_Seconds="5", Idempotency_Key=f"h-{number}")
            for number in range(len(behaviours))
        ]
        replies = await asyncio.gather(*asked)
        sent = sum(request.target != "/healthz" for request in server.received)
    assert sent >= len(replies)
    return replies


def is_unknown(status, body):
    """Return whether an answer leaves open whether the request has run."""
    return status >= 400 and body["error"]["run"] == "unknown"
