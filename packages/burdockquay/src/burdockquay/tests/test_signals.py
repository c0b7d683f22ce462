"""Tests of the signals that a process handles."""

import subprocess
import sys

import pytest

BUSY_S = 0.3

SIGNAL_AT_A_BUSY_LOOP_SCRIPT = """
import asyncio, os, signal, time
import uvloop
from burdockquay._early_signals import HANDLED, EarlySignals

def now():
    return time.clock_gettime(time.CLOCK_BOOTTIME)

async def main():
    handled = asyncio.get_running_loop().create_future()
    signals.attach_loop(asyncio.get_running_loop(), dict.fromkeys(HANDLED, handled.set_result))
    os.kill(os.getpid(), signal.SIGTERM)
    since = now()
    while now() - since < {busy_s}:
        pass
    print(await handled)

signals = EarlySignals()
signals.start_recording()
{runner}.run(main())
"""


@pytest.mark.parametrize("runner", ["asyncio", "uvloop"])
def test_time_at_a_busy_event_loop_counts_towards_the_age_of_a_signal(runner):
    """Guards against a stop that takes a busy process longer than its limit from the signal on."""
    script = SIGNAL_AT_A_BUSY_LOOP_SCRIPT.format(runner=runner, busy_s=BUSY_S)
    done = subprocess.run([sys.executable, "-c", script], capture_output=True, text=True)
    assert done.returncode == 0, done.stderr
    assert float(done.stdout) >= BUSY_S
