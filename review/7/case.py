"""All processes are killed after a version of the engines could not be recorded and has left."""

import asyncio
import os
import re
import sys
from contextlib import AsyncExitStack
from pathlib import Path

from standins2 import (
    BROKEN,
    HELD,
    HOST,
    KEY,
    NOT_RUN,
    PROMPTS,
    Engine,
    Forwarder,
    Message,
    Record,
    Store,
    chunk,
    make_config,
    make_route,
    read_head,
    run_case,
    stream_head,
)

AWAY_S = 5.0
"""Time for which the table of the system's own records is away."""

STREAMS = 24
EVENTS = 30
GAP_S = 0.15
TABLE = "forwarder-streams"


def write_version(version: str):
    """Return a behaviour that writes streams whose pieces name the version of the engine."""

    async def serve(
        engine: Engine, request: Message, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await asyncio.sleep(0.03)
        writer.write(stream_head(request))
        first = int(request.headers.get("last-event-id") or 0) + 1
        for number in range(first, EVENTS + 1):
            writer.write(chunk(f"id: {number}\ndata: {version}\n\n".encode()))
            await writer.drain()
            await asyncio.sleep(GAP_S)
        writer.write(b"0\r\n\r\n")

    return serve


class Stream:
    """A stream that its client takes up once if it breaks off."""

    def __init__(self, number: int, record: Record):
        self.number = number
        self.record = record
        self.versions: list[tuple[int, str]] = []
        self.is_broken = False

    async def read(self, port: int, id_: str, more: bytes = b"") -> int:
        """Send the request and read events to the end; return the status."""
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        parts = f"Prefix-Hash: 5c1e07a2:800,{self.number:04x}:250\r\n"
        head = (
            f"POST /plan/2f HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {id_}\r\nX-Api-Key: {KEY}\r\n"
            f"Deadline-Ms: 12000\r\nModel: m\r\nToken-Count: 1050,80\r\n{parts}"
            "Content-Length: 8\r\n"
        ).encode()
        writer.write(head + more + b"\r\na prompt")
        self.record.add(f"client sends {id_} {more}")
        first, headers = await read_head(reader)
        status = int(first.split(" ")[1])
        self.record.add(f"client gets for {id_}: {first}")
        if status != 200:
            writer.close()
            return status
        data = b""
        try:
            while not data.endswith(b"0\r\n\r\n"):
                received = await reader.read(4096)
                if not received:
                    raise ConnectionResetError
                data += received
        finally:
            for id_text, version in re.findall(rb"id: (\d+)\ndata: (\S+)\n\n", data):
                self.versions.append((int(id_text), version.decode()))
            writer.close()
        return status

    async def run(self, forwarders: list[Forwarder], resume_at: asyncio.Event) -> None:
        """Begin the stream, and take it up if it breaks off."""
        id_ = f"plan-{self.number}"
        try:
            await self.read(forwarders[self.number % len(forwarders)].port, id_)
            return
        except OSError:
            self.is_broken = True
        last = self.versions[-1][0] if self.versions else 0
        self.record.add(f"{id_} broke off after event {last}")
        if not last:
            return
        await resume_at.wait()
        port = forwarders[(self.number + 1) % len(forwarders)].port
        more = f"Resumes: {id_}\r\nLast-Event-Id: {last}\r\n".encode()
        await self.read(port, f"{id_}-again", more)


async def lose_all(
    forwarders: list[Forwarder], store: Store, back_at: float, record: Record
) -> None:
    """Kill all processes, and start them again once the table is there."""
    for forwarder in forwarders:
        await forwarder.stop()
    record.add("all processes are killed")
    await asyncio.sleep(max(0.0, back_at - asyncio.get_running_loop().time()))
    if store.away:
        store.away.clear()
        record.add(f"the table {TABLE} is there again")
    for forwarder in forwarders:
        await forwarder.start()
    record.add("all processes are started again")
    await asyncio.sleep(0.7)


async def work(record: Record, folder: Path, trouble: bool) -> int:
    """Run the case."""
    async with AsyncExitStack() as stack:
        store = Store()
        await store.start()
        stack.push_async_callback(store.stop)
        streams = PROMPTS | {"timeoutMs": 12000, "streamResume": True}
        await store.put(
            "op",
            "config",
            make_config(7, [make_route("plan", "streaming", "lm-writers", **streams)]),
        )

        async def add(name: str, version: str) -> Engine:
            engine = Engine(store, "lm-writers", name, write_version(version), record)
            await engine.start(version=version)
            stack.push_async_callback(engine.stop)
            return engine

        first = [await add(f"i-{number}", "v1") for number in range(4)]
        forwarders = [Forwarder(store.port, f"edge-{number}", folder) for number in range(3)]
        for forwarder in forwarders:
            stack.push_async_callback(forwarder.stop)
            await forwarder.start()
        await asyncio.sleep(3)
        if trouble and os.environ.get("AWAY") != "0":
            store.away.add(TABLE)
            record.add(f"the table {TABLE} is away")
        away_since = asyncio.get_running_loop().time()
        # The release of half of the engines: the new ones start first, the old ones drain.
        new = [await add(f"i-{number}", "v2") for number in (10, 11)]
        record.add("engines of v2 are listed")
        await asyncio.sleep(0.5)
        for engine in first[:2]:
            await engine.list_as(state="draining")
        record.add("two of four engines of v1 are draining")
        await asyncio.sleep(0.5)
        resume_at = asyncio.Event()
        readers = [Stream(number, record) for number in range(STREAMS)]
        tasks = [asyncio.create_task(item.run(forwarders, resume_at)) for item in readers]
        await asyncio.sleep(1.5)
        # The release is taken back in the same way; these engines never report that they drain.
        for number in (20, 21):
            await add(f"i-{number}", "v1")
        await asyncio.sleep(0.3)
        for engine in new:
            await engine.unlist()
        record.add("engines of v2 are not listed any more; those of v1 are back")
        await asyncio.sleep(0.3)
        if trouble:
            await lose_all(forwarders, store, away_since + AWAY_S, record)
        resume_at.set()
        await asyncio.gather(*tasks, return_exceptions=True)
    joined = []
    for item in readers:
        kinds = [version for _, version in item.versions]
        record.add(f"plan-{item.number}: {len(kinds)} events, versions {sorted(set(kinds))}")
        if len(set(kinds)) > 1:
            joined.append(item.number)
    record.add(f"{sum(item.is_broken for item in readers)} streams broke off")
    record.add(f"streams of two versions: {joined}")
    if trouble and not any(item.is_broken for item in readers):
        return NOT_RUN
    return BROKEN if len(joined) > 2 else HELD


if __name__ == "__main__":
    sys.exit(run_case("7", work))
