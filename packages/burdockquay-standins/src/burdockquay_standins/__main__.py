"""Program that runs one stand-in and prints its port as one JSON line once it listens."""

from __future__ import annotations

import asyncio
import json
import signal
import sys
from typing import Annotated

import uvloop
from cyclopts import App, Parameter

from burdockquay_state import InvalidParameterError

from . import (
    EngineParameters,
    EngineStandin,
    PlatformParameters,
    PlatformStandin,
    ServiceParameters,
    ServiceStandin,
)
from ._server import StandinServer

app = App(name="burdockquay_standins", help="Stand-ins for tests, benchmarks and the demo.")
_FLAT = Parameter(name="*")


@app.command
def engine(
    parameters: Annotated[EngineParameters, _FLAT] = EngineParameters(),  # noqa: B008
    *,
    host: str = "127.0.0.1",
    port: int = 0,
) -> None:
    """Run a stand-in for a model engine."""
    uvloop.run(_serve("engine", EngineStandin, parameters, host, port))


@app.command
def service(
    parameters: Annotated[ServiceParameters, _FLAT] = ServiceParameters(),  # noqa: B008
    *,
    host: str = "127.0.0.1",
    port: int = 0,
) -> None:
    """Run a stand-in for a plain service."""
    uvloop.run(_serve("service", ServiceStandin, parameters, host, port))


@app.command
def platform(
    parameters: Annotated[PlatformParameters, _FLAT] = PlatformParameters(),  # noqa: B008
    *,
    host: str = "127.0.0.1",
    port: int = 0,
) -> None:
    """Run a stand-in for the table service, object store and VM list."""
    uvloop.run(_serve("platform", PlatformStandin, parameters, host, port))


async def _serve(
    kind: str, standin: type[StandinServer], parameters: object, host: str, port: int
) -> None:
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    async with standin(parameters, host, port) as server:
        print(json.dumps({"standin": kind, "host": host, "port": server.port}), flush=True)
        await stopped.wait()


def main() -> None:
    """Run the command line; exit with code 2 and a message if a parameter is out of range."""
    try:
        app()
    except InvalidParameterError as error:
        print(error, file=sys.stderr)
        sys.exit(2)


if __name__ == "__main__":
    main()
