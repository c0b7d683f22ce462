"""Short run of random heads of answers; benchmarks/fuzz_heads.py runs longer ones."""

import random

import aiohttp
import pytest

from burdockquay_standins import fuzz_heads
from burdockquay_transport import BoundedConnector


@pytest.mark.parametrize("connector", [BoundedConnector, aiohttp.TCPConnector])
async def test_malformed_heads_are_refused_by_the_product_alone(connector):
    """Guards against a malformed head that is accepted, and a search that finds none."""
    result = await fuzz_heads(connector(), random.Random(1), 400)
    assert result.accepted > 100
    assert bool(result.faults) == (connector is aiohttp.TCPConnector)
