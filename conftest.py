"""Settings of the test run: hypothesis is deterministic, so that results are reproducible."""

import gc
import os

import pytest
from hypothesis import HealthCheck, settings

settings.register_profile(
    "ci",
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=50,
    print_blob=True,
    suppress_health_check=[HealthCheck.too_slow, HealthCheck.data_too_large],
)
settings.load_profile(os.environ.get("BURDOCKQUAY_HYPOTHESIS_PROFILE", "ci"))


@pytest.fixture(scope="module", autouse=True)
def garbage_collected():
    """Run the finalizers of earlier modules' garbage before the tests of a module.

    If the collector runs during ``ast.parse``, which hypothesis and some tests call, and a
    finalizer formats a traceback, which parses a line too, Python 3.11 raises SystemError: AST
    constructor recursion depth mismatch.
    """
    gc.collect()
