"""Test of what a forwarder loads before it serves callers."""

import subprocess
import sys

PROGRAM = """
import sys
import burdockquay_transport.forwarding.forwarder
print("burdockquay_transport._peer" in sys.modules, "websockets" in sys.modules)
"""


def test_modules_for_peers_are_not_loaded_before_callers_are_served():
    """Guards against a start that takes a tenth longer, in which callers wait."""
    run = subprocess.run([sys.executable, "-c", PROGRAM], capture_output=True, text=True)
    assert (run.stdout.split(), run.returncode) == (["False", "False"], 0)
