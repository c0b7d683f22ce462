"""The demo runs the main job on real processes."""

import subprocess
import sys
from pathlib import Path

DEMO = Path(__file__).parent.parent / "examples" / "demo.py"


def test_short_demo_gives_only_right_answers():
    command = [sys.executable, str(DEMO), "--seconds", "1"]
    done = subprocess.run(command, capture_output=True, text=True, timeout=120)
    assert done.returncode == 0, done.stdout + done.stderr
    assert "Attainment of latency targets" in done.stdout
    assert "Wrong answers 0, holds with a wrong effect 0" in done.stdout
