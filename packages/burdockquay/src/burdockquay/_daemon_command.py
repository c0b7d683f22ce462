"""Command line of the daemon: help, version and messages about invalid arguments."""

from __future__ import annotations

from pathlib import Path

from cyclopts import App

from ._run_process import run

app = App(name="burdockquayd", help="Run one process of burdockquay.", version="0.1.0")


@app.command
def entry(*, settings: Path) -> int:
    """Run an entry: the process that callers connect to.

    Parameters
    ----------
    settings : Path
        Settings file, JSON with comments.
    """
    return run("entry", settings)


@app.command
def slot(*, settings: Path) -> int:
    """Run a slot: the process that runs next to one upstream.

    Parameters
    ----------
    settings : Path
        Settings file, JSON with comments.
    """
    return run("slot", settings)


@app.command
def forwarder(*, settings: Path) -> int:
    """Run a forwarder: the process that forwards callers' requests to upstreams unchanged.

    Parameters
    ----------
    settings : Path
        Settings file, JSON with comments.
    """
    return run("forwarder", settings)
