"""Write the bundle of the modules that a forwarder loads at start."""

import importlib
import sys

from burdockquay._bundle import BUNDLE_PATH, write_bundle

START = (
    "burdockquay._run_process",
    "burdockquay_transport.forwarding.forwarder",
    "burdockquay_transport.forwarding._peers",
    "burdockquay_platform",
)
"""Modules whose import loads all others."""

for module in START:
    importlib.import_module(module)
print(write_bundle(BUNDLE_PATH, sorted(sys.modules)), "modules in the bundle")
