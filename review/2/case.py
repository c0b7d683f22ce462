"""LOST: a forwarder that has got SIGTERM passes on a late first request and cuts its stream."""

from __future__ import annotations

import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "1"))

from lab import LOOPBACK, Lab, make_route, read_answer, request_bytes, run_case

KEY = "key-of-huka270"
DEADLINE_MS = 12_000
EVENTS = 49
EVENT_S = 0.12
GRACE_S = 8.0
SENT_NO_LATER_S = 3.0
FIRST_USED_S = (3.3, 3.8, 4.5, 5.5)
"""When the connections that were opened in advance carry their first request, after SIGTERM."""


async def play(lab: Lab, trouble: bool) -> bool:
    """Return whether a request was passed on and its connection ended without a whole answer."""
    record = lab.record
    route = make_route(
        "/pufi791/",
        "streaming",
        "huvo11a",
        timeoutMs=DEADLINE_MS,
        targetLatencyMs=250,
        gapTargetMs=200,
        priority=0,
    )
    await lab.publish([route], {"huka270": [KEY]})
    for number in (1, 2, 3):
        await lab.add_engine(f"i-{number}", "huvo11a", events=EVENTS, event_s=EVENT_S)
    await lab.start_forwarders(2)
    stopped = lab.forwarders[0]

    async def send(attempt: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter):
        record.write(f"client sends {attempt} to {stopped.vm}")
        writer.write(request_bytes(attempt, "/pufi791/2f", "POST", KEY, DEADLINE_MS))
        sent = record.now()
        answer = await read_answer(reader, DEADLINE_MS / 1000)
        record.write(f"client has for {attempt}: {answer}, after {record.now() - sent:.3f} s")
        writer.close()
        return attempt, sent, record.now(), answer

    async def use_later(attempt: str, after_s: float, opened):
        await asyncio.sleep(after_s)
        return await send(attempt, *opened)

    # Ordinary streams, which the process completes before it ends.
    before = []
    for number in range(3):
        opened = await asyncio.open_connection(LOOPBACK, stopped.port)
        before.append(asyncio.create_task(send(f"before{number:010d}", *opened)))
        await asyncio.sleep(0.3)
    # Connections that clients open now and use a little later.
    spare = [await asyncio.open_connection(LOOPBACK, stopped.port) for _ in FIRST_USED_S]
    record.write(f"{len(spare)} clients have opened a connection to {stopped.vm}")
    await asyncio.sleep(1.0)
    if trouble:
        stopped.send_signal(signal.SIGTERM)
    signalled = record.now()
    later = [
        asyncio.create_task(use_later(f"later{number:011d}", after_s, opened))
        for number, (after_s, opened) in enumerate(zip(FIRST_USED_S, spare, strict=True))
    ]
    results = await asyncio.gather(*before, *later, return_exceptions=True)
    broken = 0
    for result in results:
        if isinstance(result, BaseException):
            # The connection was closed before the request was written: nothing was accepted.
            record.write(f"a client could not send: {type(result).__name__}")
            continue
        attempt, sent, ended, answer = result
        run = next((run for item in lab.engines for run in item.runs if run["id"] == attempt), None)
        if answer.complete or run is None:
            continue
        if ended - sent >= DEADLINE_MS / 1000 - 0.2 or ended - signalled > GRACE_S + 1.0:
            continue
        if sent - signalled <= SENT_NO_LATER_S:
            # Excused: the engine was still at work in the last sixth of graceS.
            record.write(f"{attempt} was cut, sent {sent - signalled:.3f} s after SIGTERM: excused")
            continue
        broken += 1
        record.write(
            f"LOST {attempt}: sent {sent - signalled:.3f} s after SIGTERM, passed on to an engine, "
            f"cut {ended - signalled:.3f} s after SIGTERM, {(ended - sent):.3f} s of its "
            f"{DEADLINE_MS / 1000:.0f} s used"
        )
    return broken > 0


run_case(__file__, play)
