"""Processes that a benchmark starts, calls over HTTP and ends by their process ids."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import sys
import tempfile
import time
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import attrs

START_LIMIT_S = 30.0
STOP_LIMIT_S = 5.0
START_DELAY_S = 0.1
"""Time from the start command for the callers to their first request, seconds."""
LOG_TAIL_CHARACTERS = 2000
BIN = Path(sys.executable).parent


class StartError(RuntimeError):
    """A process did not report that it listens."""


@attrs.define
class Process:
    """A started process that listens on loopback.

    Parameters
    ----------
    name : str
    process : asyncio.subprocess.Process
    log : Path
        File that receives its standard error.
    listening : dict
        Decoded line that it printed once it listened, with its ports.
    """

    name: str
    process: asyncio.subprocess.Process
    log: Path
    listening: dict[str, Any] = attrs.field(factory=dict)
    _drain: asyncio.Task | None = None

    @property
    def url(self) -> str:
        """Base URL of its main port."""
        return f"http://127.0.0.1:{self.listening['port']}"

    @property
    def status_url(self) -> str:
        """Base URL of the port that answers ``/readyz`` and ``/status``."""
        port = self.listening.get("status_port", self.listening["port"])
        return f"http://127.0.0.1:{port}"

    @property
    def running(self) -> bool:
        """Whether the process has not ended."""
        return self.process.returncode is None

    async def read_listening(self) -> None:
        """Wait for the line that reports the ports.

        Raises
        ------
        StartError
            If the process exits or prints nothing in time; the message contains the end of its
            log.
        """
        try:
            line = await asyncio.wait_for(self.process.stdout.readline(), START_LIMIT_S)
            self.listening = json.loads(line)
        except (TimeoutError, ValueError) as error:
            raise StartError(f"{self.name} does not listen: {self.log_tail()}") from error
        self._drain = asyncio.create_task(self._discard_output())

    def log_tail(self) -> str:
        """Return the end of the process's standard error."""
        return self.log.read_text(errors="replace")[-LOG_TAIL_CHARACTERS:]

    def terminate(self) -> None:
        """Send SIGTERM to the process."""
        if self.running:
            with contextlib.suppress(ProcessLookupError):
                self.process.terminate()

    def kill(self) -> None:
        """Send SIGKILL to the process."""
        if self.running:
            with contextlib.suppress(ProcessLookupError):
                self.process.kill()

    async def wait(self, limit_s: float = STOP_LIMIT_S) -> int:
        """Return the exit status; a process that does not end in time is killed."""
        try:
            await asyncio.wait_for(self.process.wait(), limit_s)
        except TimeoutError:
            self.kill()
            await self.process.wait()
        if self._drain is not None:
            self._drain.cancel()
        return self.process.returncode

    async def _discard_output(self) -> None:
        while await self.process.stdout.read(4096):
            pass


class Processes:
    """Starts processes and stops all of them.

    Parameters
    ----------
    directory : Path
        Directory for settings and logs.
    """

    def __init__(self, directory: Path):
        self.directory = directory
        self.environment = _environment()
        self.started: list[Process] = []

    async def start(self, name: str, command: Sequence[str]) -> Process:
        """Start a command and wait until it listens."""
        process = await self.launch(name, command)
        await process.read_listening()
        return process

    async def start_callers(
        self, names: Sequence[str], commands: Sequence[Sequence[str]]
    ) -> list[Process]:
        """Start caller programs and, once all are ready, send them a common start time.

        Notes
        -----
        On a busy machine a program may take seconds to start. With a start time fixed beforehand,
        it would send all overdue calls at once, and the burst would look like a fault of the system
        under test.
        """
        callers = await asyncio.gather(*map(self.launch, names, commands))
        await asyncio.gather(*(caller.read_listening() for caller in callers))
        start_at = time.monotonic() + START_DELAY_S
        for caller in callers:
            caller.process.stdin.write(f"{start_at}\n".encode())
        return callers

    async def launch(self, name: str, command: Sequence[str]) -> Process:
        """Start a command and return immediately."""
        log = self.directory / f"{name}.log"
        with log.open("ab") as errors:
            started = await asyncio.create_subprocess_exec(
                *command,
                stdin=asyncio.subprocess.PIPE,
                stdout=asyncio.subprocess.PIPE,
                stderr=errors,
                env=self.environment,
            )
        process = Process(name, started, log)
        self.started.append(process)
        return process

    async def stop_all(self) -> None:
        """Terminate every process in reverse order of start, and kill those that do not exit."""
        for process in reversed(self.started):
            process.terminate()
        await asyncio.gather(*(process.wait() for process in self.started))
        self.started.clear()


def wait_for_start() -> float:
    """Report that a caller program is ready, and return its start time on the monotonic clock."""
    print(json.dumps({"ready": True}), flush=True)
    return float(sys.stdin.readline())


def _environment() -> dict[str, str]:
    """Return the environment of the processes, with compiled modules cached.

    If Python is set to write no compiled modules, each of about sixty processes would compile every
    module again, which takes longer than the measurement. In that case the cache is kept in the
    directory for temporary files.
    """
    environment = {k: v for k, v in os.environ.items() if k != "PYTHONDONTWRITEBYTECODE"}
    if sys.dont_write_bytecode:
        cache = Path(tempfile.gettempdir()) / f"burdockquay-modules-{os.getuid()}"
        environment.setdefault("PYTHONPYCACHEPREFIX", str(cache))
    return environment


def standin_command(kind: str, parameters: Any = None) -> list[str]:
    """Return the command of a stand-in, with the fields of an attrs object as options."""
    command = [sys.executable, "-m", "burdockquay_standins", kind, "--port", "0"]
    for name, value in attrs.asdict(parameters).items() if parameters is not None else ():
        option = "--" + name.replace("_", "-")
        if isinstance(value, bool):
            command += [option] if value else []
        elif isinstance(value, list):
            command += [part for item in value for part in (option, str(item))]
        else:
            command.append(f"{option}={value}")
    return command


def daemon_command(role: str, settings: Path) -> list[str]:
    """Return the command of an entry or a slot."""
    return [str(BIN / "burdockquayd"), role, "--settings", str(settings)]
