"""What the log tells of the life of processes and connections."""

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


async def test_log_tells_when_processes_are_ready_leave_and_cannot_be_reached(deployment, log):
    """One slot leaves as planned and another vanishes; the entry must name each in its log, once.

    An operator would otherwise search the reason of refused requests in the dark.
    """
    async with deployment(engines=2) as running:
        await until(lambda: log.getvalue().count("E1003 process_ready") == 3)
        leaving, vanishing = running.slots
        left, vanished = leaving.identity.vm, vanishing.identity.vm
        await leaving.stop()
        await until(lambda: f"E1302 peer_disconnected vm={left}" in log.getvalue())
        # One that said that it leaves may be dialled once more, or is off the list before that.
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
