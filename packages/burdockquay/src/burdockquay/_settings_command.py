"""The sub-command ``burdockquay settings``."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Literal

from cyclopts import App

from ._settings_file import load_settings

EXIT_OK = 0
EXIT_FAULTS = 1

settings_app = App(name="settings", help="Check settings files of the daemon.")


@settings_app.command
def check(role: Literal["entry", "slot", "forwarder"], file: Path) -> int:
    """Check a settings file and print all its faults.

    Exit code 0 means that the daemon would accept the file, 1 that it would not.

    Parameters
    ----------
    role
        Role of the process that the settings are for.
    file
        Path of the settings file.
    """
    loaded = load_settings(file, role)
    if loaded.is_err():
        for fault in loaded.err():
            print(fault, file=sys.stderr)
        return EXIT_FAULTS
    for rename in loaded.ok().renamed:
        print(f"warning: {rename}", file=sys.stderr)
    print(f"{file}: settings of role {role!r} are sound")
    if role == "forwarder":
        _print_mechanisms(loaded.ok().settings.mechanisms_off)
    return EXIT_OK


def _print_mechanisms(off: list[str]) -> None:
    from burdockquay_coordination.forwarding import Mechanism

    for mechanism in Mechanism:
        print(f"  {mechanism}: {'off' if mechanism in off else 'on'}")
