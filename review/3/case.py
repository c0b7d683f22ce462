"""DRAIN: forwarders go on sending to an engine that leaves while the pollers are dark."""

from __future__ import annotations

import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "1"))

from lab import (
    LOOPBACK,
    CouldNotRunError,
    Engine,
    Forwarder,
    Lab,
    make_route,
    read_answer,
    request_bytes,
    run_case,
)

KEY = "key-of-huka270"
MACHINES = 6
MOST_DARK = 4
"""Machines that ``herd_kill`` takes of six, as the bench plays its share of 0.6."""

DARK_S = 3.5
DRAIN_S = 2.0
LINGER_S = 0.5
"""Time for which the engine serves beyond ``drainMs`` before it exits."""

WORK_S = 0.0225
STABLE_S = 3.0
INTERVAL_S = 0.02


class Traffic:
    """Sends requests of two kinds to some forwarders, one by one at a steady rate."""

    def __init__(self, lab: Lab, forwarders: list[Forwarder]):
        self.lab = lab
        self.forwarders = forwarders
        self.sent: dict[str, Forwarder] = {}
        self.failed: list[str] = []
        self._tasks: list[asyncio.Task] = []

    async def run(self, until_s: float) -> None:
        """Send until a time and wait for all answers."""
        number = 0
        while self.lab.record.now() < until_s:
            for forwarder in self.forwarders:
                number += 1
                kind = ("unsafe", "safe")[number % 2]
                self._tasks.append(
                    asyncio.create_task(self._send(f"{kind}{number:010d}", forwarder))
                )
            await asyncio.sleep(INTERVAL_S)
        await asyncio.gather(*self._tasks)

    async def _send(self, attempt: str, forwarder: Forwarder) -> None:
        self.sent[attempt] = forwarder
        is_unsafe = attempt.startswith("unsafe")
        path, method = ("/pule252/2f", "POST") if is_unsafe else ("/puxa403/2f", "GET")
        try:
            reader, writer = await asyncio.open_connection(LOOPBACK, forwarder.port)
            writer.write(request_bytes(attempt, path, method, KEY, 1000))
            answer = await read_answer(reader, 1.5)
            writer.close()
        except OSError as error:
            self.lab.record.write(f"client cannot reach {forwarder.vm}: {type(error).__name__}")
            return
        if answer.status != 200 or not answer.complete:
            self.failed.append(attempt)
            self.lab.record.write(f"client has for {attempt} from {forwarder.vm}: {answer}")


async def find_pollers(lab: Lab) -> list[Forwarder]:
    """Return the forwarders that hold a call for changes of the list of engines now."""
    names: set[str] = set()
    for _ in range(10):
        names |= lab.store.pollers("servers")
        await asyncio.sleep(0.01)
    lab.record.write(f"the list of engines is polled by {', '.join(sorted(names))}")
    if len(names) > MOST_DARK:
        raise CouldNotRunError("more machines poll than may be dark")
    return [item for item in lab.forwarders if item.vm in names]


async def leave(lab: Lab, engine: Engine) -> float:
    """Let an engine report that it drains and exit later; return when that was acknowledged."""
    await lab.store.put("servers", engine.name, engine.entry("draining"))
    acknowledged = lab.record.now()
    lab.record.write(f"the store has acknowledged that {engine.name} is draining")

    async def exit_later() -> None:
        await asyncio.sleep(DRAIN_S + LINGER_S)
        await engine.exit()
        await lab.store.put("servers", engine.name, None)

    engine.exiting = asyncio.create_task(exit_later())
    return acknowledged


async def play(lab: Lab, trouble: bool) -> bool:
    """Return whether a request reached the engine too late."""
    record = lab.record
    routes = [
        make_route("/pule252/", "unsafe", "wuno96b"),
        make_route("/puxa403/", "safe", "wuno96b", maxAttempts=2),
    ]
    await lab.publish(routes, {"huka270": [KEY]})
    engines = [await lab.add_engine(f"i-{n}", "wuno96b", work_s=WORK_S) for n in (1, 2, 3)]
    await lab.start_forwarders(MACHINES)
    await asyncio.sleep(STABLE_S + 0.5)
    traffic = Traffic(lab, list(lab.forwarders))
    sending = asyncio.create_task(traffic.run(record.now() + 6.0))
    await asyncio.sleep(0.5)
    # A release: the new engine starts first, the old one drains.
    await lab.add_engine("i-4", "wuno96b", work_s=WORK_S)
    record.write("the new engine i-4 is ready")
    await asyncio.sleep(0.3)
    pollers = await find_pollers(lab)
    traffic.forwarders = [item for item in lab.forwarders if item not in pollers]
    if trouble:
        for item in pollers:
            item.send_signal(signal.SIGSTOP)
    dark_since = record.now()
    await asyncio.sleep(0.3)
    acknowledged = await leave(lab, engines[0])
    await asyncio.sleep(dark_since + DARK_S - record.now())
    if trouble:
        for item in pollers:
            item.send_signal(signal.SIGKILL)
    await sending
    await engines[0].exiting
    # The rule holds for machines in touch, which those that were dark are not.
    in_touch = [item for item in lab.forwarders if not (trouble and item in pollers)]
    late = [
        run
        for run in engines[0].runs
        if run["at"] - acknowledged > DRAIN_S and traffic.sent[run["id"]] in in_touch
    ]
    for run in late:
        record.write(
            f"DRAIN {run['id']} from {traffic.sent[run['id']].vm} reached i-1 "
            f"{run['at'] - acknowledged:.3f} s after the acknowledgement"
        )
    cut = [run["id"] for run in late if run["id"] in traffic.failed]
    record.write(
        f"{len(late)} requests reached i-1 later than {DRAIN_S} s after the acknowledgement; "
        f"{len(cut)} of them were cut off by its exit and failed: {', '.join(cut) or 'none'}"
    )
    return bool(late)


run_case(__file__, play)
