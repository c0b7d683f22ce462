"""Fixtures of the transport's tests."""

import pytest

from ._deployment import Deployment


@pytest.fixture
def deployment():
    """A factory of deployments, to be entered by the test."""
    return Deployment
