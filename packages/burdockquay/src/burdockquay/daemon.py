"""The daemon ``burdockquayd``: one process of one role.

Exit codes: 0 after a shutdown, 1 after an internal error, 2 for wrong arguments or settings, 3 if
an address cannot be listened on.
"""

from __future__ import annotations

import sys

from burdockquay_transport._early_listener import EarlyListener, listen_early

from ._bundle import use_bundle
from ._early_signals import EarlySignals
from ._settings_source import SettingsSource


def open_early(source: SettingsSource) -> EarlyListener | None:
    """Return a socket that listens for callers, None if the settings do not tell where.

    What is wrong with the address is told when the whole settings are checked, or when the process
    listens itself.
    """
    address = source.peek("listen")
    if not isinstance(address, str):
        return None
    try:
        return listen_early(address)
    except (OSError, ValueError, OverflowError):
        return None


def main() -> None:
    """Run the daemon's command line.

    Notes
    -----
    A forwarder listens before it loads what serves, see :class:`EarlyListener`, and loads it from a
    bundle where its installation has one, see :class:`BundleFinder`.

    The library for command lines takes several megabytes, which a process would keep for its life.
    It is only loaded if it has something to do: help, version, or a mistake to explain.
    """
    match sys.argv[1:]:
        case ["entry" | "slot" | "forwarder" as role, "--settings", path]:
            signals = EarlySignals()
            signals.keep()
            source = SettingsSource(path)
            early = open_early(source) if role == "forwarder" else None
            use_bundle()
            from ._run_process import run

            sys.exit(run(role, source, early, signals))
    from ._daemon_command import app

    sys.exit(app())


if __name__ == "__main__":
    main()
