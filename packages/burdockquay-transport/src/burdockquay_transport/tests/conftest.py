"""Fixtures for the tests of the transport."""

import asyncio

import pytest
import uvloop

from ._deployment import Deployment

LOOPS = {"asyncio": asyncio.new_event_loop, "uvloop": uvloop.new_event_loop}


def pytest_asyncio_loop_factories(config, item):
    """Run the tests of planned stops on both event loops, since they close connections
    differently."""
    if "stopping" in item.module.__name__:
        return LOOPS
    return {"asyncio": LOOPS["asyncio"]}


@pytest.fixture
def deployment():
    """Return the class of deployments, which a test enters as a context manager."""
    return Deployment
