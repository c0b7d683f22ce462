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
    """Return a socket that listens for callers, or None if the settings hold no usable address.

    A faulty address is reported later, when all settings are checked or when the process itself
    starts to listen.
    """
    address = source.peek("listen")
    if not isinstance(address, str):
        return None
    try:
        return listen_early(address)
    except (OSError, ValueError, OverflowError):
        return None


def main() -> None:
    """Run the command line of the daemon.

    Notes
    -----
    A forwarder listens before it imports the modules that serve requests, see
    :class:`EarlyListener`, and loads them from a bundle if its installation has one, see
    :class:`BundleFinder`.

    The command line library takes several megabytes, which a process would occupy until it ends. It
    is imported only if needed: for help, for the version, or to report invalid arguments.
    """
    match sys.argv[1:]:
        case ["entry" | "slot" | "forwarder" as role, "--settings", path]:
            signals = EarlySignals()
            signals.start_recording()
            source = SettingsSource(path)
            early = open_early(source) if role == "forwarder" else None
            use_bundle()
            from ._run_process import run

            sys.exit(run(role, source, early, signals))
    from ._daemon_command import app

    sys.exit(app())


if __name__ == "__main__":
    main()
