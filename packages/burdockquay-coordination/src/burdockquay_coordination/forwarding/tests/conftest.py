"""Fixtures for the tests of the forwarder's decisions."""

import pytest

from burdockquay_coordination.forwarding import ListedUpstream, Upstream


@pytest.fixture
def make_upstream():
    """Return a factory of upstreams of one service."""

    def make(id_, failure_domain="a", leaving=False):
        return Upstream(
            ListedUpstream(id_, "writers", "10.0.0.1", 80, failure_domain, 8, leaving, 1)
        )

    return make
