"""Tests of the daemon's command line and of the modules that it loads."""

import subprocess
import sys

import pytest


def run_python(*arguments):
    return subprocess.run([sys.executable, *arguments], capture_output=True, text=True)


@pytest.mark.parametrize("role", ["entry", "slot"])
def test_role_loads_no_unneeded_modules(role):
    """Guards the memory use of thousands of small VMs, where each loaded library stays loaded."""
    other = {"entry": "slot", "slot": "entry"}[role]
    script = (
        "import sys, burdockquay.daemon\n"
        f"import burdockquay_transport.{role}\n"
        "print(*{name.split('.')[0] for name in sys.modules})\n"
        f"print('burdockquay_transport.{other}' in sys.modules)"
    )
    modules, other_loaded = run_python("-c", script).stdout.splitlines()
    unneeded = {"cyclopts", "rich", "numpy", "hypothesis", "burdockquay_standins"}
    assert unneeded & set(modules.split()) == set()
    assert other_loaded == "False"


@pytest.mark.parametrize(
    ("arguments", "code", "said"),
    [
        (["entry", "--settings", "/nonexistent"], 2, "cannot be read"),
        (["slot", "--settings=/nonexistent"], 2, "cannot be read"),
        (["forwarder", "--settings", "/nonexistent"], 2, "cannot be read"),
        (["entry"], 2, "requires an argument"),
        (["entyr", "--settings", "/nonexistent"], 2, 'Did you mean "entry"?'),
        (["--version"], 0, "0.1.0"),
        (["entry", "--help"], 0, "Settings file"),
    ],
)
def test_arguments_lead_to_the_expected_message_and_exit_code(arguments, code, said):
    done = run_python("-c", "from burdockquay.daemon import main; main()", *arguments)
    assert said in " ".join((done.stdout + done.stderr).split())
    assert done.returncode == code
