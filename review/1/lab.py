"""Stand-ins for the platform, the engines and the clients, and the forwarders under test.

Standard library only. All addresses are loopback addresses, all ports are free ones.
"""

from __future__ import annotations

import asyncio
import base64
import json
import os
import pathlib
import shutil
import signal
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "ficu95.example"
LOOPBACK = "127.0.0.1"

EXIT_BROKEN = 10
"""Not 1, with which the interpreter ends after an error; ``run.sh`` turns it into 1."""

EXIT_COULD_NOT_RUN = 2


class CouldNotRunError(Exception):
    """The case cannot run on this machine."""


class Record:
    """Writes what was sent, answered and run, with seconds since the start of the case."""

    def __init__(self, path: pathlib.Path):
        self._file = path.open("w")
        self._begun = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start of the case."""
        return time.monotonic() - self._begun

    def write(self, text: str) -> None:
        """Write one line."""
        self._file.write(f"{self.now():8.3f}  {text}\n")
        self._file.flush()


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes] | None:
    """Return the first line, the headers and the body of a message, None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")[:-2]
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = b""
    if "chunked" in headers.get("transfer-encoding", ""):
        while size := int((await reader.readline()).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readline()
        await reader.readline()
    else:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    return first, headers, body


def make_answer(status: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return a complete answer with a length."""
    lines = [f"HTTP/1.1 {status}", *(f"{name}: {value}" for name, value in headers.items())]
    return "\r\n".join([*lines, f"Content-Length: {len(body)}", "", ""]).encode() + body


class Store:
    """The platform's store: rows, conditional transactions and the feed of changes."""

    def __init__(self, record: Record):
        self.record = record
        self.ver = 0
        self.rows: dict[tuple[str, str], tuple[int, str | None]] = {}
        self.waiting: dict[tuple[str, str], int] = {}
        self._changed = asyncio.Condition()
        self._servers: list[asyncio.Server] = []

    async def open_door(self, caller: str) -> str:
        """Return an address of the store for one caller, so that its calls can be told apart."""

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            try:
                while (message := await read_message(reader)) is not None:
                    writer.write(await self._answer(caller, *message))
                    await writer.drain()
            except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
                pass
            finally:
                writer.close()

        server = await asyncio.start_server(serve, LOOPBACK, 0)
        self._servers.append(server)
        return f"{LOOPBACK}:{server.sockets[0].getsockname()[1]}"

    async def put(self, table: str, key: str, value: object | None) -> None:
        """Write a row on behalf of the operator or an engine; None removes it."""
        text = None if value is None else json.dumps(value)
        encoded = None if text is None else base64.b64encode(text.encode()).decode()
        await self._apply([(table, key, encoded)])

    def pollers(self, table: str) -> set[str]:
        """Return the callers whose calls for changes of a table are held now."""
        return {who for (who, of), count in self.waiting.items() if of == table and count}

    async def _apply(self, changes: list[tuple[str, str, str | None]]) -> None:
        self.ver += 1
        for table, key, value in changes:
            self.rows[table, key] = (self.ver, value)
        async with self._changed:
            self._changed.notify_all()

    def _changes(self, table: str, after: int) -> list[dict]:
        found = [
            (ver, key, value)
            for (of, key), (ver, value) in self.rows.items()
            if of == table and ver > after
        ]
        return [self._row(table, key, ver, value) for ver, key, value in sorted(found)]

    def _row(self, table: str, key: str, ver: int, value: str | None) -> dict:
        row = {"table": table, "part": "", "key": key, "ver": ver}
        return row | ({"tombstone": True} if value is None else {"value": value})

    async def _answer(self, caller: str, first: str, headers: dict[str, str], body: bytes) -> bytes:
        method, target, _ = first.split(" ", 2)
        path, _, query = target.partition("?")
        values = dict(item.split("=", 1) for item in query.split("&") if "=" in item)
        await asyncio.sleep(0.004)
        if path == "/rows-get":
            return self._get(values)
        if path == "/rows-feed":
            return await self._feed(caller, values)
        if path == "/rows-tx" and method == "POST":
            return await self._transact(json.loads(body))
        return make_answer("404 Not Found", {})

    def _get(self, values: dict[str, str]) -> bytes:
        first, end = _unquote(values.get("from", "")), _unquote(values.get("to", ""))
        rows = [
            self._row(table, key, ver, value)
            for (table, key), (ver, value) in sorted(self.rows.items())
            if table == _unquote(values["table"])
            and value is not None
            and key >= first
            and (not end or key < end)
        ]
        return self._reply({"rows": rows, "hasMore": False})

    async def _feed(self, caller: str, values: dict[str, str]) -> bytes:
        table, after = _unquote(values["table"]), int(values["after"])
        until = time.monotonic() + int(values["waitMs"]) / 1000
        self.waiting[caller, table] = self.waiting.get((caller, table), 0) + 1
        try:
            while not (rows := self._changes(table, after)):
                left = until - time.monotonic()
                if left <= 0:
                    break
                try:
                    async with asyncio.timeout(left), self._changed:
                        await self._changed.wait()
                except TimeoutError:
                    break
        finally:
            self.waiting[caller, table] -= 1
        return self._reply({"rows": rows, "hasMore": False})

    async def _transact(self, change: dict) -> bytes:
        for row in change["expectedRevision"]:
            ver, value = self.rows.get((row["table"], row["key"]), (0, None))
            if row["ver"] != (0 if value is None else ver):
                return make_answer("412 Precondition Failed", {}, b'{"rows":[]}')
        changes = [(row["table"], row["key"], row["value"]) for row in change["setKeys"]]
        changes += [(row["table"], row["key"], None) for row in change["remove"]]
        await self._apply(changes)
        return self._reply({})

    def _reply(self, content: dict) -> bytes:
        content |= {"ver": self.ver, "nowMs": round(time.monotonic() * 1000, 3)}
        return make_answer(
            "200 OK", {"Content-Type": "application/json"}, json.dumps(content).encode()
        )


def _unquote(text: str) -> str:
    from urllib.parse import unquote_plus

    return unquote_plus(text)


class Engine:
    """An engine: runs requests that name it, and drops a run whose connection closes."""

    def __init__(
        self,
        record: Record,
        name: str,
        service: str,
        events: int = 0,
        event_s: float = 0.0,
        work_s: float = 0.02,
        version: str = "v1",
    ):
        self.record = record
        self.name = name
        self.service = service
        self.events = events
        self.event_s = event_s
        self.work_s = work_s
        self.version = version
        self.runs: list[dict] = []
        self.exiting: asyncio.Task | None = None
        self._sequence = 0
        self._connections: set[asyncio.Task] = set()

    async def open(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, LOOPBACK, 0)
        self.address = f"{LOOPBACK}:{self._server.sockets[0].getsockname()[1]}"

    def entry(self, state: str = "ready") -> dict:
        """Return the entry of the engine in the store."""
        self._sequence += 1
        return {
            "service": self.service,
            "address": self.address,
            "zone": "praha-hall",
            "version": self.version,
            "slots": 64,
            "state": state,
            "coldRemainingMs": 0,
            "sequence": self._sequence,
        }

    async def exit(self) -> None:
        """Stop listening and break off what runs, as the end of the engine's process does."""
        self.record.write(f"engine {self.name} exits")
        self._server.close()
        for task in self._connections:
            task.cancel()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        self._connections.add(task)
        task.add_done_callback(self._connections.discard)
        try:
            while (message := await read_message(reader)) is not None:
                first, headers, body = message
                await self._run(first, headers, body, reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _run(
        self,
        first: str,
        headers: dict[str, str],
        body: bytes,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        attempt = headers.get("attempt-id", "")
        if headers.get("expect-instance") not in (None, self.name):
            writer.write(
                make_answer(
                    "421 Misdirected Request", {"Instance-Id": self.name, "Not-Executed": "1"}
                )
            )
            await writer.drain()
            return
        run = {"id": attempt, "at": self.record.now(), "first": first, "headers": headers}
        self.runs.append(run)
        self.record.write(f"engine {self.name} ({self.service}) runs {attempt}")
        head = {"Attempt-Id": attempt, "Response-Seal": f"seal.{self.name}.{attempt}"}
        if not self.events:
            await asyncio.sleep(self.work_s)
            writer.write(make_answer("200 OK", head, f"done {attempt}".encode()))
            await writer.drain()
            return
        lines = [f"{name}: {value}" for name, value in head.items()]
        lines += ["Content-Type: text/event-stream", "Transfer-Encoding: chunked", "", ""]
        writer.write(("HTTP/1.1 200 OK\r\n" + "\r\n".join(lines)).encode())
        done = int(headers.get("last-event-id", "0"))
        for number in range(done + 1, self.events + 1):
            await asyncio.sleep(self.event_s)
            if reader.at_eof() or writer.transport.is_closing():
                self.record.write(
                    f"engine {self.name} drops {attempt} before event {number}: connection closed"
                )
                run["dropped"] = self.record.now()
                raise ConnectionError
            text = f"piece {number} of {attempt} by {self.version}"
            event = f"id: {number}\ndata: {text}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        run["ended"] = self.record.now()
        self.record.write(f"engine {self.name} has sent all {self.events} events of {attempt}")


class Answer:
    """What a client has received for one request."""

    def __init__(self):
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b""
        self.complete = False
        self.error = ""

    def __str__(self) -> str:
        how = "complete" if self.complete else f"NOT complete ({self.error})"
        return f"status {self.status}, {len(self.body)} bytes, {how}"


def request_bytes(
    attempt: str, path: str, method: str, key: str, deadline_ms: int, **more: str
) -> bytes:
    """Return the bytes of a client's request."""
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST}",
        f"Attempt-Id: {attempt}",
        f"Deadline-Ms: {deadline_ms}",
        f"X-Api-Key: {key}",
        *(f"{name.replace('_', '-')}: {value}" for name, value in more.items()),
    ]
    if method == "POST":
        lines.append("Content-Length: 2")
    return ("\r\n".join([*lines, "", ""]) + ("{}" if method == "POST" else "")).encode()


async def read_answer(reader: asyncio.StreamReader, limit_s: float) -> Answer:
    """Return what comes back for one request."""
    answer = Answer()
    try:
        async with asyncio.timeout(limit_s):
            await _read_into(answer, reader)
    except TimeoutError:
        answer.error = "the client's time is over"
    except (asyncio.IncompleteReadError, ConnectionError, ValueError) as error:
        answer.error = f"connection ended: {type(error).__name__}"
    return answer


async def _read_into(answer: Answer, reader: asyncio.StreamReader) -> None:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.split("\r\n")[:-2]
    answer.status = int(first.split(" ")[1])
    for line in lines:
        name, _, value = line.partition(":")
        answer.headers[name.strip().lower()] = value.strip()
    if "chunked" in answer.headers.get("transfer-encoding", ""):
        while size := int((await reader.readuntil(b"\r\n"))[:-2], 16):
            answer.body += await reader.readexactly(size)
            await reader.readuntil(b"\r\n")
        await reader.readuntil(b"\r\n")
    else:
        answer.body = await reader.readexactly(int(answer.headers.get("content-length", "0")))
    answer.complete = True


class Forwarder:
    """One forwarder process, started with the command of the deploy file."""

    def __init__(self, lab: Lab, vm: str, port: int = 0):
        self.lab = lab
        self.vm = vm
        self.port = port
        self.status_port = 0
        self.process: asyncio.subprocess.Process | None = None
        self._listening = asyncio.Event()

    async def start(self, store: str) -> None:
        """Start the process and wait until it listens."""
        settings = {
            "vm": self.vm,
            "failure_domain": "praha-hall",
            "listen": f"{LOOPBACK}:{self.port}",
            "status_listen": f"{LOOPBACK}:0",
            "peer_listen": f"{LOOPBACK}:0",
            "regions": {"praha-hall": "bohemia"},
            "adapters": ["burdockquay_platform"],
            "log_level": "INFO",
            "withdrawal_ms": 5000,
            "keys_fail_closed": True,
            "retry_ratio": 0.2,
            "retry_burst": 58,
            "retry_window_s": 10,
            "stop_limit_s": 8,
            "platform": {"adapter": "rows", "address": store},
        }
        path = self.lab.folder / f"{self.vm}.jsonc"
        path.write_text(json.dumps(settings, indent=2))
        environment = {name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ}
        environment |= {
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "SSL_CERT_FILE": "/dev/null",
            "SSL_CERT_DIR": "/nonexistent",
        }
        self.process = await asyncio.create_subprocess_exec(
            *("python3", "-S", "-m", "burdockquay.daemon", "forwarder", "--settings", str(path)),
            cwd=ROOT,
            env=environment,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.PIPE,
            stderr=(self.lab.folder / f"{self.vm}.err").open("w"),
            limit=1 << 20,
        )
        self._reading = asyncio.create_task(self._read_log())
        try:
            async with asyncio.timeout(20):
                await self._listening.wait()
        except TimeoutError:
            raise CouldNotRunError(f"{self.vm} does not listen") from None

    async def _read_log(self) -> None:
        with (self.lab.folder / f"{self.vm}.log").open("wb") as log:
            async for line in self.process.stdout:
                log.write(line)
                log.flush()
                if not self._listening.is_set() and b"status_port" in line:
                    entry = json.loads(line)
                    self.port, self.status_port = _find_ports(entry)
                    self._listening.set()

    def send_signal(self, number: int) -> None:
        """Send a signal to the process."""
        name = signal.Signals(number).name
        self.lab.record.write(f"{name} to {self.vm}")
        self.process.send_signal(number)

    async def status(self) -> dict:
        """Return what ``/status`` shows, an empty dict if it does not answer."""
        try:
            async with asyncio.timeout(2):
                reader, writer = await asyncio.open_connection(LOOPBACK, self.status_port)
                writer.write(b"GET /status HTTP/1.1\r\nHost: s\r\nConnection: close\r\n\r\n")
                answer = await read_answer(reader, 2)
                writer.close()
            return json.loads(answer.body)
        except (OSError, TimeoutError, ValueError):
            return {}

    async def is_ready(self) -> bool:
        """Return whether ``/readyz`` answers 200."""
        try:
            reader, writer = await asyncio.open_connection(LOOPBACK, self.status_port)
            writer.write(b"GET /readyz HTTP/1.1\r\nHost: s\r\nConnection: close\r\n\r\n")
            answer = await read_answer(reader, 1)
            writer.close()
        except OSError:
            return False
        return answer.status == 200

    async def end(self) -> None:
        """Kill the process if it still runs."""
        if self.process is None:
            return
        if self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        await self.process.wait()
        await self._reading


def _find_ports(entry: dict) -> tuple[int, int]:
    found = entry
    while "status_port" not in found:
        found = next(item for item in found.values() if isinstance(item, dict))
    return int(found["port"]), int(found["status_port"])


class Lab:
    """The processes and stand-ins of one case."""

    def __init__(self, case: pathlib.Path):
        self.record = Record(case / "record.txt")
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="burdockquay-review-"))
        self.store = Store(self.record)
        self.engines: list[Engine] = []
        self.forwarders: list[Forwarder] = []
        self.started: list[Forwarder] = []
        self.doors: dict[str, str] = {}
        self.version = 0

    async def add_engine(self, name: str, service: str, **options: float | str) -> Engine:
        """Start an engine and write its entry."""
        engine = Engine(self.record, name, service, **options)
        await engine.open()
        self.engines.append(engine)
        await self.store.put("servers", name, engine.entry())
        return engine

    async def publish(self, routes: list[dict], tenants: dict[str, list[str]]) -> None:
        """Write the next version of the configuration; the acknowledgement is at the return."""
        self.version += 1
        services = sorted({route["service"] for route in routes})
        await self.store.put(
            "op",
            "config",
            {
                "version": self.version,
                "routes": routes,
                "services": [
                    {"name": name, "healthPath": "/healthz", "maxConnections": 370}
                    for name in services
                ],
                "limits": {
                    "maxHeaderBytes": 16384,
                    "maxBodyBytes": 4194304,
                    "headerTimeoutMs": 5000,
                    "idleTimeoutMs": 30000,
                },
                "tenants": [{"name": name, "apiKeys": keys} for name, keys in tenants.items()],
            },
        )
        self.record.write(f"the store has acknowledged configuration {self.version}")

    async def start_forwarders(self, count: int) -> None:
        """Start forwarders and wait until all are ready and connected to each other."""
        for number in range(1, count + 1):
            self.forwarders.append(Forwarder(self, f"edge-{number}"))
        for forwarder in self.forwarders:
            self.doors[forwarder.vm] = await self.store.open_door(forwarder.vm)
        self.started += self.forwarders
        await asyncio.gather(*(item.start(self.doors[item.vm]) for item in self.forwarders))
        until = time.monotonic() + 20
        while time.monotonic() < until:
            seen = await asyncio.gather(*(item.status() for item in self.forwarders))
            ready = await asyncio.gather(*(item.is_ready() for item in self.forwarders))
            if all(ready) and all(item.get("peers") == count - 1 for item in seen):
                self.record.write(f"{count} forwarders are ready and connected to each other")
                return
            await asyncio.sleep(0.1)
        raise CouldNotRunError("the forwarders are not ready and connected after 20 s")

    async def close(self) -> None:
        """End all processes and remove the temporary folder."""
        await asyncio.gather(*(item.end() for item in self.started))
        if os.environ.get("KEEP"):
            print(self.folder, file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def make_route(prefix: str, kind: str, service: str, **fields: object) -> dict:
    """Return a route of the configuration."""
    return {
        "name": f"r-{prefix.strip('/')}",
        "host": HOST,
        "prefix": prefix,
        "kind": kind,
        "timeoutMs": 1000,
        "targetLatencyMs": 100,
        "priority": 2,
        "service": service,
        "maxAttempts": 1,
        "anonymous": False,
    } | fields


def run_case(case: str, play: Callable[[Lab, bool], Awaitable[bool]]) -> None:
    """Play a case and exit with ``EXIT_BROKEN``, 0 if the rule held, or ``EXIT_COULD_NOT_RUN``."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    folder = pathlib.Path(case).resolve().parent

    async def main() -> int:
        lab = Lab(folder)
        lab.record.write(f"begins, with TROUBLE={int(trouble)}")
        playing = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, playing.cancel)
        try:
            async with asyncio.timeout(105):
                is_broken = await play(lab, trouble)
        except (Exception, asyncio.CancelledError) as error:
            lab.record.write(f"could not run: {type(error).__name__} {error}")
            return EXIT_COULD_NOT_RUN
        finally:
            await lab.close()
        lab.record.write("the rule was BROKEN" if is_broken else "the rule held")
        return EXIT_BROKEN if is_broken else 0

    sys.exit(asyncio.run(main()))
