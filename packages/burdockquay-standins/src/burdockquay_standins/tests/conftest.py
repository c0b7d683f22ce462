"""Fixtures for an HTTP client and a request body."""

import aiohttp
import pytest


@pytest.fixture
async def client():
    async with aiohttp.ClientSession() as session:
        yield session


@pytest.fixture
def body():
    return {
        "model": "standin",
        "messages": [{"role": "user", "content": "How much magnesium a day? " * 20}],
        "stream": True,
        "max_tokens": 40,
    }
