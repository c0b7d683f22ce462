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
    """A slot leaves and is gone, and the log of the entry must name it, once for each turn.

    An operator would otherwise search the reason of refused requests in the dark.
    """
    async with deployment(engines=2) as running:
        await until(lambda: log.getvalue().count("E1003 process_ready") == 3)
        await running.slots[0].stop()
        gone = running.slots[0].identity.vm
        await until(lambda: f"E1309 peer_unreachable vm={gone}" in log.getvalue())
        lines = log.getvalue().splitlines()
    assert sum("E1310 slot_leaving" in line for line in lines) == 1
    assert sum("E1309 peer_unreachable" in line for line in lines) == 1
    assert sum("E1003 process_ready" in line for line in lines) == 3
    assert not any("E1308" in line for line in lines)
