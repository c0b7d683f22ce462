"""Log events about the life cycle of processes and connections."""

import io

import pytest

from burdockquay_transport import setup_logging

from ._deployment import until


@pytest.fixture
def log():
    text = io.StringIO()
    handler = setup_logging("INFO", text)
    yield text
    handler.pop_application()


async def test_readiness_draining_and_unreachable_slots_are_logged_once(deployment, log):
    """One slot shuts down gracefully and another disappears; the entry logs each of them once.

    Without these lines an operator could not find the cause of refused requests.
    """
    async with deployment(engines=2) as running:
        await until(lambda: log.getvalue().count("E1003 process_ready") == 3)
        leaving, vanishing = running.slots
        left, vanished = leaving.identity.vm, vanishing.identity.vm
        await leaving.stop()
        await until(lambda: f"E1302 peer_disconnected vm={left}" in log.getvalue())
        # A draining slot may be reconnected to once more, or is removed from the list before that.
        await vanishing.close()
        await until(lambda: f"E1309 peer_unreachable vm={vanished}" in log.getvalue())
        lines = log.getvalue().splitlines()

    def count(words):
        return sum(words in line for line in lines)

    assert count(f"E1310 slot_leaving vm={left}") == count("E1310") == 1
    assert count(f"E1309 peer_unreachable vm={vanished}") == 1
    assert count(f"E1309 peer_unreachable vm={left}") <= 1
    assert count("E1003 process_ready") == 3
    assert count("E1308") == 0
