"""Runs one process of one role until a signal stops it."""

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
        The settings file, or a reading of it.
    early : EarlyListener or None
        Socket that already listens for callers; for a forwarder only.
    signals : EarlySignals or None
        Keeps the signals of a process that has been loading; None keeps them from now on.
    """
    if signals is None:
        signals = EarlySignals()
        signals.keep()
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
        # The last lines wait for others to be written with, and no loop comes back for them.
        flush_log()
        # The interpreter would look through all objects for garbage before it ends.
        gc.freeze()


def _set_up_logging(role: str, settings: Any) -> Callable[[], None]:
    """Begin to log, and return what writes the lines that wait."""
    if role == "forwarder":
        handler = setup_json_logging(settings.log_level, sys.stdout.fileno(), vm=settings.vm)
        return handler.pipe.flush_once
    return setup_logging(settings.log_level, sys.stderr).flush


async def _serve(process: Any, role: str, settings: Any, path: str, signals: EarlySignals) -> int:
    """Run a process until a signal stops it.

    The first SIGTERM or SIGINT begins a graceful shutdown; a second one ends it at once. SIGHUP
    reads the settings again.
    """
    stop_wanted: asyncio.Future[float] = asyncio.get_running_loop().create_future()
    kill_wanted = asyncio.Event()

    def on_signal(age_s: float) -> None:
        if stop_wanted.done():
            kill_wanted.set()
        else:
            stop_wanted.set_result(age_s)

    try:
        await process.start()
    except OSError as error:
        print(f"cannot listen: {error}", file=sys.stderr)
        return EXIT_ADDRESS
    ports = {"vm": settings.vm, "port": process.port, "status_port": process.status_port}
    if role != "forwarder":
        # A forwarder's standard output holds log lines alone; its event tells the port.
        print(json.dumps(ports), flush=True)
    reload = partial(_reload_settings, role, process, path)
    handlers = {signal.SIGTERM: on_signal, signal.SIGINT: on_signal, signal.SIGHUP: reload}
    signals.hand_over(asyncio.get_running_loop(), handlers)
    stopping = asyncio.create_task(process.stop(await stop_wanted))
    killing = asyncio.create_task(kill_wanted.wait())
    await asyncio.wait((stopping, killing), return_when=asyncio.FIRST_COMPLETED)
    if not stopping.done():
        stopping.cancel()
        await process.abort()
    else:
        stopping.result()
    killing.cancel()
    return EXIT_OK


def _reload_settings(role: str, process: Any, path: str, age_s: float) -> None:
    """Read the settings again, take over what a running process can, and tell what it cannot.

    Without a handler the signal would end the process, and every request with it.
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
    # Each role is imported alone: a slot has little memory and needs nothing of the entry.
    if role == "entry":
        from burdockquay_transport.entry import Entry

        return Entry(settings)
    if role == "forwarder":
        from burdockquay_transport.forwarding.forwarder import Forwarder

        return Forwarder(settings, early=early)
    from burdockquay_transport.slot import Slot

    return Slot(settings)
