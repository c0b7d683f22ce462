"""Tests that the plain service counts each effect, whether or not its answer arrives."""

import aiohttp
import pytest

from burdockquay_standins import ServiceParameters, ServiceStandin, service_digest

KEY = {"Idempotency-Key": "k1"}


async def hold(client, server):
    url = f"{server.url}/holds/chapel?day=3"
    async with client.post(url, data=b"family", headers=KEY) as response:
        return await response.json()


async def effects(client, server):
    async with client.get(f"{server.url}/effects") as response:
        return await response.json()


@pytest.mark.parametrize(("deduplicates", "count"), [(False, 2), (True, 1)])
async def test_repeated_key_has_one_effect_only_with_deduplication(client, deduplicates, count):
    async with ServiceStandin(ServiceParameters(deduplicates=deduplicates)) as server:
        first, second = await hold(client, server), await hold(client, server)
        assert first["digest"] == service_digest("POST", "/holds/chapel?day=3", b"family")
        assert (first == second) is deduplicates
        assert await effects(client, server) == {"k1": count}
        async with client.get(f"{server.url}/anything", headers=KEY) as response:
            assert (await response.json())["effect"] == 0
        assert await effects(client, server) == {"k1": count}


@pytest.mark.parametrize(("switch", "expected"), [("cut_before", {}), ("cut_after", {"k1": 1})])
async def test_cut_connection_leaves_the_effect_unknown(client, switch, expected):
    """The connection is aborted after the request was read, before or after its effect; the caller
    cannot see which."""
    async with ServiceStandin() as server:
        await client.post(f"{server.url}/faults", json={switch: 1})
        with pytest.raises(aiohttp.ClientError):
            await hold(client, server)
        assert await effects(client, server) == expected
        assert (await hold(client, server))["effect"] == len(expected) + 1
