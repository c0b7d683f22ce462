"""Stand-ins for the scripts of the second review: the platform's store, engines and clients.

They need Python's standard library alone. Each script starts the forwarders as the deploy file does
and runs the stand-ins in its own process, on loopback addresses and the real clock.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import os
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent
HOST = "desk.example"
KEY = "key-of-one"
TENANT = "one"

BROKEN, HELD, NOT_RUN = 1, 0, 2


class Record:
    """What was sent, answered and run; written to ``record.txt`` in the folder of the case."""

    def __init__(self, case: str):
        self.path = ROOT / "review" / case / "record.txt"
        self.started = time.monotonic()
        self.lines: list[str] = []

    def add(self, text: str) -> None:
        """Add a line with the time since the start."""
        self.lines.append(f"{time.monotonic() - self.started:8.3f} {text}")

    def write(self) -> None:
        """Write the file."""
        self.path.write_text("\n".join(self.lines) + "\n")


class Message:
    """A request or an answer that was read from a connection."""

    def __init__(self, first: str, headers: dict[str, str], body: bytes):
        self.first = first
        self.headers = headers
        self.body = body

    @property
    def method(self) -> str:
        """Method of a request."""
        return self.first.split(" ")[0]

    @property
    def target(self) -> str:
        """Path and query of a request."""
        return self.first.split(" ")[1]

    @property
    def status(self) -> int:
        """Status of an answer."""
        return int(self.first.split(" ")[1])


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Read the head of a message; header names are in lower case."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_chunks(reader: asyncio.StreamReader) -> bytes:
    """Read a chunked body to its end."""
    body = b""
    while True:
        line = await reader.readline()
        if not line.endswith(b"\n"):
            raise asyncio.IncompleteReadError(line, None)
        size = int(line.split(b";")[0], 16)
        body += await reader.readexactly(size)
        await reader.readline()
        if not size:
            return body


async def read_message(reader: asyncio.StreamReader, to_end: bool = False) -> Message:
    """Read a whole message; an answer without a length ends with its connection."""
    first, headers = await read_head(reader)
    if headers.get("transfer-encoding", "").lower() == "chunked":
        return Message(first, headers, await read_chunks(reader))
    if "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
        return Message(first, headers, body)
    return Message(first, headers, await reader.read() if to_end else b"")


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection."""
    connection = writer.get_extra_info("socket")
    if connection is not None and connection.fileno() >= 0:
        # Without this the kernel would end it in order.
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class Server:
    """A server on a free loopback port."""

    def __init__(self):
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen."""
        await self.listen()

    async def listen(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Stop listening and reset all connections."""
        self._server.close()
        for writer in list(self.writers):
            reset(writer)

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            await self.serve(reader, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            reset(writer)
        except asyncio.CancelledError:
            # The case is over; the task ends as if it had served to the end.
            reset(writer)
        finally:
            self.writers.discard(writer)
            writer.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        raise NotImplementedError


class Store(Server):
    """The platform's metadata store: rows, a feed of their changes, and transactions."""

    def __init__(self):
        super().__init__()
        self.rows: dict[tuple[str, str, str], tuple[bytes | None, int]] = {}
        self.version = 1
        # Tables that are unavailable.
        self.away: set[str] = set()
        self._changed = asyncio.Condition()
        self._started = time.monotonic()

    async def put(self, table: str, key: str, value: Any) -> None:
        """Write a row on behalf of the operator or an engine; None removes it."""
        data = None if value is None else json.dumps(value).encode()
        async with self._changed:
            self.version += 1
            self.rows[table, "", key] = (data, self.version)
            self._changed.notify_all()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the calls on one connection."""
        while True:
            request = await read_message(reader)
            status, content = await self._answer(request)
            body = json.dumps(content | {"ver": self.version, "nowMs": self._now_ms()}).encode()
            writer.write(
                f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                f"Content-Length: {len(body)}\r\n\r\n".encode() + body
            )
            await writer.drain()

    def _now_ms(self) -> int:
        return round((time.monotonic() - self._started) * 1000)

    async def _answer(self, request: Message) -> tuple[int, dict[str, Any]]:
        await asyncio.sleep(0.004)
        split = urlsplit(request.target)
        query = {name: values[0] for name, values in parse_qs(split.query).items()}
        if query.get("table") in self.away or _tables(request) & self.away:
            return 503, {}
        if split.path == "/rows-get":
            return 200, self._get(query)
        if split.path == "/rows-feed":
            return 200, await self._feed(query)
        if split.path == "/rows-tx":
            return await self._transact(json.loads(request.body))
        if split.path == "/rows-parts":
            return 200, {"parts": []}
        return 404, {}

    def _get(self, query: dict[str, str]) -> dict[str, Any]:
        first, end = query.get("from", ""), query.get("to")
        found = [
            write_row(table, part, key, value, version)
            for (table, part, key), (value, version) in sorted(self.rows.items())
            if table == query["table"]
            and part == query.get("part", "")
            and value is not None
            and key >= first
            and (end is None or key < end)
        ]
        most = min(int(query.get("limit", 500)), 500)
        return {"rows": found[:most], "hasMore": len(found) > most}

    async def _feed(self, query: dict[str, str]) -> dict[str, Any]:
        table, after = query["table"], int(query["after"])

        def changed() -> list[tuple[tuple[str, str, str], tuple[bytes | None, int]]]:
            return [
                item for item in self.rows.items() if item[0][0] == table and item[1][1] > after
            ]

        async with self._changed:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(int(query["waitMs"]) / 1000):
                    await self._changed.wait_for(changed)
            found = sorted(changed(), key=lambda item: item[1][1])
            return {"rows": [write_row(*name, *state) for name, state in found]}

    async def _transact(self, change: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        async with self._changed:
            for row in change["expectedRevision"]:
                value, version = self.rows.get(row_name(row), (None, 0))
                if (0 if value is None else version) != row["ver"]:
                    return 412, {"rows": []}
            self.version += 1
            for row in change["setKeys"]:
                self.rows[row_name(row)] = (base64.b64decode(row["value"]), self.version)
            for row in change["remove"]:
                self.rows[row_name(row)] = (None, self.version)
            self._changed.notify_all()
        return 200, {}


def _tables(request: Message) -> set[str]:
    """Return the tables that a transaction writes to, or has conditions on."""
    if not request.body:
        return set()
    change = json.loads(request.body)
    return {row["table"] for rows in change.values() if isinstance(rows, list) for row in rows}


def row_name(row: dict[str, Any]) -> tuple[str, str, str]:
    """Return the table, part and key of a row in a transaction."""
    return row["table"], row.get("part", ""), row["key"]


def write_row(table: str, part: str, key: str, value: bytes | None, version: int) -> dict[str, Any]:
    """Return a row as the store writes it."""
    row = {"table": table, "part": part, "key": key, "ver": version}
    if value is None:
        return row | {"tombstone": True}
    return row | {"value": base64.b64encode(value).decode()}


Behaviour = Callable[["Engine", Message, asyncio.StreamReader, asyncio.StreamWriter], Awaitable]


class Engine(Server):
    """An engine that registers itself in the store and serves one request at a time a connection.

    ``runs`` has the ids of the requests that it has begun to work on, in order.
    """

    def __init__(
        self,
        store: Store,
        service: str,
        name: str,
        behaviour: Behaviour,
        record: Record,
        brief: bool = False,
    ):
        super().__init__()
        self.brief = brief
        self.store = store
        self.service = service
        self.name = name
        self.behaviour = behaviour
        self.record = record
        self.runs: list[str] = []
        self.entry: dict[str, Any] = {}

    async def start(self, **fields: Any) -> None:
        """Listen and register."""
        await self.listen()
        self.entry = {
            "service": self.service,
            "address": f"127.0.0.1:{self.port}",
            "zone": "praha-hall",
            "version": "v1",
            "slots": 64,
            "state": "ready",
            "coldRemainingMs": 0,
            "stage": "both",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "sequence": 1,
        } | fields
        await self.store.put("servers", self.name, self.entry)
        self._beats = asyncio.create_task(self._beat())

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(1.2)
            self.entry["sequence"] += 1
            await self.store.put("servers", self.name, self.entry)

    async def crash(self) -> None:
        """End at once, without a word to the store."""
        self._beats.cancel()
        await self.stop()

    async def list_as(self, **fields: Any) -> None:
        """Change the entry in the store."""
        self.entry |= fields
        self.entry["sequence"] += 1
        await self.store.put("servers", self.name, self.entry)

    async def unlist(self) -> None:
        """Remove the entry from the store."""
        self._beats.cancel()
        await self.store.put("servers", self.name, None)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve the requests on one connection."""
        while True:
            request = await read_message(reader)
            if request.target in ("/healthz", "/report"):
                writer.write(
                    f"HTTP/1.1 200 OK\r\nInstance-Id: {self.name}\r\n"
                    "Content-Length: 0\r\n\r\n".encode()
                )
                continue
            if request.headers.get("expect-instance") not in (None, self.name):
                writer.write(
                    f"HTTP/1.1 421 Misdirected Request\r\nInstance-Id: {self.name}\r\n"
                    "Content-Length: 0\r\n\r\n".encode()
                )
                continue
            id_ = request.headers.get("attempt-id", "")
            self.runs.append(id_)
            self.record.add(
                f"{self.name} runs {id_}" + ("" if self.brief else f": {request.first}")
            )
            await self.behaviour(self, request, reader, writer)
            await writer.drain()


def answer_bytes(request: Message, body: bytes, status: str = "200 OK") -> bytes:
    """Return an engine's whole answer to a plain request."""
    id_ = request.headers["attempt-id"]
    return (
        f"HTTP/1.1 {status}\r\nAttempt-Id: {id_}\r\nResponse-Seal: seal.{id_}\r\n"
        f"Content-Length: {len(body)}\r\n\r\n".encode() + body
    )


async def serve_plain(
    engine: Engine, request: Message, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Answer a plain request after some milliseconds."""
    await asyncio.sleep(0.02)
    writer.write(answer_bytes(request, f"{engine.name} {request.headers['attempt-id']}".encode()))


def chunk(data: bytes) -> bytes:
    """Return data as one chunk of a body."""
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


def stream_head(request: Message) -> bytes:
    """Return the head of an answer that is a stream."""
    id_ = request.headers["attempt-id"]
    return (
        f"HTTP/1.1 200 OK\r\nAttempt-Id: {id_}\r\nResponse-Seal: seal.{id_}\r\n"
        "Weight-Versions: 1\r\nContent-Type: text/event-stream\r\n"
        "Transfer-Encoding: chunked\r\n\r\n".encode()
    )


def serve_stream(events: int, gap_s: float) -> Behaviour:
    """Return a behaviour that answers with a stream of events."""

    async def serve(
        engine: Engine, request: Message, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await asyncio.sleep(0.03)
        writer.write(stream_head(request))
        first = int(request.headers.get("last-event-id") or 0) + 1
        for number in range(first, events + 1):
            writer.write(chunk(f"id: {number}\ndata: piece {number}\n\n".encode()))
            await writer.drain()
            await asyncio.sleep(gap_s)
        writer.write(b"0\r\n\r\n")

    return serve


def make_route(name: str, kind: str, service: str, **fields: Any) -> dict[str, Any]:
    """Return a route of the configuration; its prefix is its name."""
    return {
        "name": f"r-{name}",
        "host": HOST,
        "prefix": f"/{name}/",
        "kind": kind,
        "timeoutMs": 1000,
        "targetLatencyMs": 125,
        "priority": 2,
        "service": service,
        "maxAttempts": 2,
        "anonymous": False,
    } | fields


PROMPTS = {"sessionAffinity": True, "gapTargetMs": 300, "timeoutMs": 4000, "targetLatencyMs": 500}


def make_config(version: int, routes: list[dict[str, Any]], **fields: Any) -> dict[str, Any]:
    """Return a configuration with the two services of a small deployment."""
    engine = {
        "slots": 64,
        "kvCapacityTokens": 285722,
        "kvBytes": 18432,
        "linkMbps": 550000.0,
        "moves": True,
        "backups": True,
        "stride": 6,
        "most": 12,
        "pinMs": 4000.0,
        "holdMs": 2000.0,
        "handleS": 5.0,
        "models": [{"name": "m"}],
    }
    plain = {"healthPath": "/healthz", "protocol": "h1", "tls": False}
    return {
        "version": version,
        "routes": routes,
        "services": [
            plain | {"name": "lm-writers", "maxConnections": 370, "engine": engine},
            plain | {"name": "booking-desk", "maxConnections": 110},
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": TENANT, "apiKeys": [KEY], "priority": 1}],
    } | fields


class Forwarder:
    """A forwarder process, started with the command of the deploy file."""

    def __init__(self, store_port: int, name: str, folder: Path):
        self.store_port = store_port
        self.name = name
        self.folder = folder
        self.log: list[dict[str, Any]] = []
        self.errors: list[str] = []

    async def start(self) -> None:
        """Start the process and wait until it is ready."""
        settings = self.folder / f"{self.name}.jsonc"
        settings.write_text(json.dumps(self._settings(), indent=2))
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        environment |= {
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "SSL_CERT_FILE": "/dev/null",
            "SSL_CERT_DIR": "/nonexistent",
        }
        command = ["python3", "-S", "-m", "burdockquay.daemon", "forwarder", "--settings"]
        self.process = await asyncio.create_subprocess_exec(
            *command,
            str(settings),
            cwd=ROOT,
            env=environment,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
            limit=1 << 20,
        )
        self._listening = asyncio.get_running_loop().create_future()
        self._tasks = [
            asyncio.create_task(self._read_log()),
            asyncio.create_task(self._read_errors()),
        ]
        async with asyncio.timeout(15):
            self.port, self.status_port = await self._listening
            while await self.status("/readyz") != 200:
                await asyncio.sleep(0.05)

    def _settings(self) -> dict[str, Any]:
        return {
            "vm": self.name,
            "failure_domain": "praha-hall",
            "listen": "127.0.0.1:0",
            "status_listen": "127.0.0.1:0",
            "peer_listen": "127.0.0.1:0",
            "regions": {"praha-hall": "bohemia"},
            "link_mbps": 1000.0,
            "adapters": ["burdockquay_platform"],
            "log_level": "INFO",
            "withdrawal_ms": 5000,
            "keys_fail_closed": True,
            "drain_ms": 2000,
            "config_apply_ms": 2000,
            "retry_ratio": 0.2,
            "retry_burst": 58,
            "retry_window_s": 10,
            "stop_limit_s": 8,
            "platform": {"adapter": "rows", "address": f"127.0.0.1:{self.store_port}"},
        }

    async def _read_log(self) -> None:
        while line := await self.process.stdout.readline():
            with contextlib.suppress(ValueError):
                entry = json.loads(line)
                self.log.append(entry)
                if "status_port" in entry and not self._listening.done():
                    self._listening.set_result((entry["port"], entry["status_port"]))

    async def _read_errors(self) -> None:
        while line := await self.process.stderr.readline():
            self.errors.append(line.decode(errors="replace").rstrip())

    async def status(self, path: str) -> int:
        """Return the status of a page on the status address, 0 without an answer."""
        try:
            async with asyncio.timeout(2):
                reader, writer = await asyncio.open_connection("127.0.0.1", self.status_port)
                writer.write(
                    f"GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".encode()
                )
                answer = await read_message(reader)
                writer.close()
                return answer.status
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return 0

    def signal(self, number: int) -> None:
        """Send the process a signal."""
        self.process.send_signal(number)

    async def stop(self) -> None:
        """End the process."""
        for number in (signal.SIGCONT, signal.SIGKILL):
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(number)
        await self.process.wait()
        for task in self._tasks:
            task.cancel()


class Client:
    """A client that keeps one connection as long as the forwarder does."""

    def __init__(self, port: int, record: Record, brief: bool = False):
        self.port = port
        self.record = record
        self.brief = brief
        self._connection: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def open(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Return the connection."""
        if self._connection is None:
            async with asyncio.timeout(1):
                self._connection = await asyncio.open_connection("127.0.0.1", self.port)
        return self._connection

    def close(self) -> None:
        """Close the connection."""
        if self._connection is not None:
            self._connection[1].close()
            self._connection = None

    async def call(
        self,
        id_: str,
        target: str,
        method: str = "GET",
        deadline_ms: int = 1000,
        headers: bytes = b"",
        body: bytes = b"",
    ) -> Message | None:
        """Send a request and return its whole answer, None if there is none in time."""
        sent = f"{len(headers)} bytes more" if self.brief else f"{headers!r}"
        self.record.add(f"client sends {id_} to {self.port}: {method} {target} {sent}")
        head = (
            f"{method} {target} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {id_}\r\n"
            f"Deadline-Ms: {deadline_ms}\r\nX-Api-Key: {KEY}\r\n"
        ).encode()
        if body or method == "POST":
            head += f"Content-Length: {len(body)}\r\n".encode()
        try:
            reader, writer = await self.open()
            async with asyncio.timeout(deadline_ms / 1000 + 0.5):
                writer.write(head + headers + b"\r\n" + body)
                answer = await read_message(reader, to_end=True)
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            self.record.add(f"client gets no answer to {id_}: {type(error).__name__}")
            self.close()
            return None
        if answer.headers.get("connection", "").lower() == "close":
            self.close()
        names = ("attempt-id", "response-seal")
        shown = {name: answer.headers[name] for name in names if name in answer.headers}
        got = answer.first if self.brief else f"{answer.first} {shown} {answer.body[:120]!r}"
        self.record.add(f"client gets for {id_}: {got}")
        return answer


def run_case(case: str, work: Callable[[Record, Path, bool], Awaitable[int]]) -> None:
    """Run a case, write its record, and exit with its result."""
    record = Record(case)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    folder = Path(tempfile.mkdtemp(prefix="case-"))
    result = NOT_RUN
    try:
        result = asyncio.run(_limited(work, record, folder, trouble))
    except (Exception, asyncio.CancelledError) as error:  # noqa: BLE001
        record.add(f"the case could not run: {type(error).__name__}: {error}")
    finally:
        shutil.rmtree(folder, ignore_errors=True)
    names = {BROKEN: "the rule was broken", HELD: "the rule held", NOT_RUN: "could not run"}
    record.add(f"result {result}: {names[result]}")
    record.write()
    print(record.lines[-1])
    sys.exit(result)


async def _limited(
    work: Callable[[Record, Path, bool], Awaitable[int]],
    record: Record,
    folder: Path,
    trouble: bool,
) -> int:
    # A script that is told to stop still ends the processes that it started.
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
    async with asyncio.timeout(110):
        return await work(record, folder, trouble)
