"""Settings of the test run: hypothesis is deterministic, so that results are reproducible."""

import os

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
