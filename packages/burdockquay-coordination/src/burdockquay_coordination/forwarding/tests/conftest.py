"""Fixtures for the tests of the forwarder's decisions."""

import pytest

from burdockquay_coordination.forwarding import (
    EngineModel,
    FirstTokenModel,
    ListedUpstream,
    Upstream,
)


@pytest.fixture
def make_upstream():
    """Return a factory of upstreams of one service."""

    def make(id_, failure_domain="a", leaving=False):
        return Upstream(
            ListedUpstream(id_, "writers", "10.0.0.1", 80, failure_domain, 8, leaving, 1)
        )

    return make


@pytest.fixture
def model():
    """Model of engines that read 50,000 tokens a second."""
    model = EngineModel()
    model.first_token = FirstTokenModel(0.02, 1 / 50_000)
    return model


@pytest.fixture
def upstreams(make_upstream):
    """Four upstreams."""
    return [make_upstream(f"u{number}") for number in range(4)]
