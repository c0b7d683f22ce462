"""ORDER: after the loss of all processes, streams go on at another software version."""

from __future__ import annotations

import asyncio
import pathlib
import re
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "1"))

from lab import LOOPBACK, Answer, Forwarder, Lab, make_route, read_answer, request_bytes, run_case

KEY = "key-of-huka270"
MACHINES = 4
STREAMS = 24
EVENTS = 9
EVENT_S = 0.2
DEADLINE_S = 4.0
RESTART_S = 1.0
"""Time until the platform starts a killed process again."""

RETRY_S = 1.4
"""Time after which a client takes its stream up again."""

MOST_MIXED = 2


def events_of(answer: Answer) -> list[tuple[int, str]]:
    """Return the number and the version of each event that a client has received whole."""
    found = re.findall(rb"id: (\d+)\ndata: piece \d+ of \w+ by (\w+)\n\n", answer.body)
    return [(int(number), version.decode()) for number, version in found]


class Client:
    """Asks for one stream, and takes it up once if its connection breaks."""

    def __init__(self, lab: Lab, number: int):
        self.lab = lab
        self.number = number
        self.events: list[tuple[int, str]] = []

    async def run(self, forwarders: list[Forwarder]) -> None:
        """Ask for the stream at one forwarder, and take it up at the next one."""
        begun = self.lab.record.now()
        first = f"first{self.number:011d}"
        answer = await self._ask(forwarders[self.number % MACHINES], first, DEADLINE_S)
        self.events = events_of(answer)
        if answer.complete or not self.events:
            return
        await asyncio.sleep(RETRY_S)
        last = self.events[-1][0]
        left_s = DEADLINE_S - (self.lab.record.now() - begun)
        forwarder = forwarders[(self.number + 1) % MACHINES]
        more = {"Last_Event_Id": str(last), "Resumes": first}
        answer = await self._ask(forwarder, f"again{self.number:011d}", left_s, **more)
        self.events += events_of(answer)

    async def _ask(self, forwarder: Forwarder, attempt: str, left_s: float, **more: str) -> Answer:
        answer = Answer()
        try:
            reader, writer = await asyncio.open_connection(LOOPBACK, forwarder.port)
            deadline_ms = round(left_s * 1000)
            request = request_bytes(attempt, "/lohu930/2f", "POST", KEY, deadline_ms, **more)
            writer.write(request)
            answer = await read_answer(reader, left_s)
            writer.close()
        except OSError as error:
            answer.error = type(error).__name__
        self.lab.record.write(f"client has for {attempt} from {forwarder.vm}: {answer}")
        return answer


async def add_engines(lab: Lab, numbers: tuple[int, ...], version: str) -> None:
    """Start engines of a software version."""
    for number in numbers:
        name = f"i-{number}"
        await lab.add_engine(name, "huvo11a", events=EVENTS, event_s=EVENT_S, version=version)
        lab.record.write(f"engine {name} of version {version} is ready")


async def release(lab: Lab) -> None:
    """Replace the two engines of version v1: the new ones start first, then the old ones leave."""
    await add_engines(lab, (5, 6), "v2")
    await asyncio.sleep(0.3)
    for name in ("i-3", "i-4"):
        await lab.store.put("servers", name, None)
        lab.record.write(f"the entry of {name} of version v1 is removed; it goes on serving")


async def lose_all(lab: Lab) -> None:
    """Kill all processes at once, and start them again."""
    lost = list(lab.forwarders)
    for item in lost:
        item.send_signal(signal.SIGKILL)
    await asyncio.gather(*(item.process.wait() for item in lost))
    await asyncio.sleep(RESTART_S)
    started = [Forwarder(lab, item.vm, item.port) for item in lost]
    lab.started += started
    doors = [lab.doors[item.vm] for item in started]
    await asyncio.gather(*(item.start(door) for item, door in zip(started, doors, strict=True)))
    lab.forwarders[:] = started
    lab.record.write("all forwarders listen again")


async def play(lab: Lab, trouble: bool) -> bool:
    """Return whether more than two streams hold events of two versions."""
    record = lab.record
    route = make_route(
        "/lohu930/",
        "streaming",
        "huvo11a",
        timeoutMs=round(DEADLINE_S * 1000),
        targetLatencyMs=500,
        gapTargetMs=300,
        priority=1,
        maxAttempts=2,
        streamResume=True,
    )
    await lab.publish([route], {"huka270": [KEY]})
    # An earlier release has replaced one half of the engines.
    await add_engines(lab, (1, 2), "v2")
    await add_engines(lab, (3, 4), "v1")
    await lab.start_forwarders(MACHINES)
    await asyncio.sleep(1.0)
    clients = [Client(lab, number) for number in range(STREAMS)]
    running = [asyncio.create_task(client.run(lab.forwarders)) for client in clients]
    await asyncio.sleep(0.3)
    await release(lab)
    await asyncio.sleep(0.3)
    if trouble:
        await lose_all(lab)
    await asyncio.gather(*running)
    mixed = 0
    for client in clients:
        versions = sorted({version for _, version in client.events})
        numbers = [number for number, _ in client.events]
        record.write(f"stream {client.number}: {len(numbers)} events by {', '.join(versions)}")
        mixed += len(versions) > 1
    record.write(f"{mixed} of {STREAMS} streams hold events of two software versions")
    return mixed > MOST_MIXED


run_case(__file__, play)
