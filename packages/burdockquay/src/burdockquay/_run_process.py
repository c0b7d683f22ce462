"""Entry point that runs one process of a role until a signal stops it."""

from __future__ import annotations

import asyncio
import gc
import json
import signal
import sys
from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import TYPE_CHECKING, Any

import uvloop

from burdockquay_transport import Event, log_event, setup_json_logging, setup_logging

from ._early_signals import EarlySignals
from ._settings_file import load_settings
from ._settings_source import SettingsSource

if TYPE_CHECKING:
    from burdockquay_transport._early_listener import EarlyListener

EXIT_OK = 0
EXIT_SETTINGS = 2
EXIT_ADDRESS = 3


def run(
    role: str,
    source: SettingsSource | str | Path,
    early: EarlyListener | None = None,
    signals: EarlySignals | None = None,
) -> int:
    """Run one process until it is stopped; return the exit code.

    Parameters
    ----------
    role : str
        ``"entry"``, ``"slot"`` or ``"forwarder"``.
    source : SettingsSource, str or Path
        Path of the settings file, or a source that may have read it already.
    early : EarlyListener or None
        Socket that already listens for callers; for a forwarder only.
    signals : EarlySignals or None
        Recorder of the signals that arrived while the process was loading; with None, recording
        starts here.
    """
    if signals is None:
        signals = EarlySignals()
        signals.start_recording()
    if not isinstance(source, SettingsSource):
        source = SettingsSource(str(source))
    loaded = load_settings(source, role)
    if loaded.is_err():
        for fault in loaded.err():
            print(fault, file=sys.stderr)
        return EXIT_SETTINGS
    settings = loaded.ok().settings
    flush_log = _set_up_logging(role, settings)
    log_event(Event.PROCESS_STARTED, role=role, vm=settings.vm, settings=source.path)
    for fault in loaded.ok().renamed:
        log_event(Event.SETTING_RENAMED, fault=str(fault))
    process = _make_process(role, settings, early)
    try:
        return uvloop.run(_serve(process, role, settings, source.path, signals))
    finally:
        # Buffered log lines are normally written by the event loop, which has ended.
        flush_log()
        # Exempts all objects from the garbage collection that the interpreter runs at exit.
        gc.freeze()


def _set_up_logging(role: str, settings: Any) -> Callable[[], None]:
    """Configure logging and return a function that flushes buffered lines."""
    if role == "forwarder":
        handler = setup_json_logging(settings.log_level, sys.stdout.fileno(), vm=settings.vm)
        return handler.pipe.flush_available
    return setup_logging(settings.log_level, sys.stderr).flush


async def _serve(process: Any, role: str, settings: Any, path: str, signals: EarlySignals) -> int:
    """Run a process until a signal stops it.

    The first SIGTERM or SIGINT starts a graceful shutdown; a second one aborts it. SIGHUP reloads
    the settings.
    """
    stop_requested: asyncio.Future[float] = asyncio.get_running_loop().create_future()
    abort_requested = asyncio.Event()

    def on_signal(age_s: float) -> None:
        if stop_requested.done():
            abort_requested.set()
        else:
            stop_requested.set_result(age_s)

    try:
        await process.start()
    except OSError as error:
        print(f"cannot listen: {error}", file=sys.stderr)
        return EXIT_ADDRESS
    ports = {"vm": settings.vm, "port": process.port, "status_port": process.status_port}
    if role != "forwarder":
        # The standard output of a forwarder holds log lines only; one of its events has the port.
        print(json.dumps(ports), flush=True)
    reload = partial(_reload_settings, role, process, path)
    handlers = {signal.SIGTERM: on_signal, signal.SIGINT: on_signal, signal.SIGHUP: reload}
    signals.attach_loop(asyncio.get_running_loop(), handlers)
    stopping = asyncio.create_task(process.stop(await stop_requested))
    aborting = asyncio.create_task(abort_requested.wait())
    await asyncio.wait((stopping, aborting), return_when=asyncio.FIRST_COMPLETED)
    if not stopping.done():
        stopping.cancel()
        await process.abort()
    else:
        stopping.result()
    aborting.cancel()
    return EXIT_OK


def _reload_settings(role: str, process: Any, path: str, age_s: float) -> None:
    """Reload the settings, apply those a running process can change, and log if others changed.

    Without a handler the signal would end the process and all its requests.
    """
    loaded = load_settings(path, role)
    if loaded.is_err():
        for fault in loaded.err():
            log_event(Event.SETTINGS_FAULT, fault=str(fault))
        return
    settings = loaded.ok().settings
    in_force = process.reload(settings)
    log_event(Event.SETTINGS_RELOADED, needs_restart=settings != in_force)


def _make_process(role: str, settings: Any, early: EarlyListener | None) -> Any:
    # Imports only the given role: a slot has little memory and needs no module of the entry.
    if role == "entry":
        from burdockquay_transport.entry import Entry

        return Entry(settings)
    if role == "forwarder":
        from burdockquay_transport.forwarding.forwarder import Forwarder

        return Forwarder(settings, early=early)
    from burdockquay_transport.slot import Slot

    return Slot(settings)
