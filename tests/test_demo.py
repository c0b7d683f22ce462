"""End-to-end tests of the demo on real processes."""

import subprocess
import sys
from pathlib import Path

DEMO = Path(__file__).parent.parent / "examples" / "demo.py"


def test_short_demo_gives_no_wrong_answers():
    command = [sys.executable, str(DEMO), "--seconds", "1"]
    done = subprocess.run(command, capture_output=True, text=True, timeout=120)
    assert done.returncode == 0, done.stdout + done.stderr
    assert "Attainment of latency targets" in done.stdout
    assert "Wrong answers 0, holds with a wrong effect 0, " in done.stdout


def test_wrong_answers_give_a_failing_exit_status():
    # Guards against a command-line library that returns the status instead of exiting with it.
    code = (
        "import runpy, sys, uvloop; uvloop.run = lambda work: work.close() or 1; "
        f"sys.argv = ['demo']; runpy.run_path({str(DEMO)!r}, run_name='__main__')"
    )
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, timeout=60)
    assert done.returncode == 1, done.stderr
