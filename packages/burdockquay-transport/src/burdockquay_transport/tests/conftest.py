"""Fixtures for the tests of the transport."""

import pytest

from ._deployment import Deployment


@pytest.fixture
def deployment():
    """Return the class of deployments, which a test enters as a context manager."""
    return Deployment
