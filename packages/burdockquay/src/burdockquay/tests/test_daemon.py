"""The command line of the daemon and what it loads."""

import json
import subprocess
import sys

import pytest


def run_python(*arguments):
    return subprocess.run([sys.executable, *arguments], capture_output=True, text=True)


@pytest.mark.parametrize("role", ["entry", "slot"])
def test_a_role_loads_nothing_that_it_does_not_need(role):
    """Every library that is loaded stays in the memory of thousands of small VMs."""
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
def test_arguments_are_explained_and_tell_by_the_exit_status(arguments, code, said):
    done = run_python("-c", "from burdockquay.daemon import main; main()", *arguments)
    assert said in " ".join((done.stdout + done.stderr).split())
    assert done.returncode == code


SIGNALLED_WHILE_LOADING = """
import os, signal, socket, sys
import burdockquay.daemon as daemon

caller = socket.socket()

def be_signalled():
    port = int(sys.argv.pop())
    caller.connect(("127.0.0.1", port))
    caller.sendall(b"GET /x HTTP/1.1\\r\\nHost: a\\r\\n\\r\\n")
    for name in {signals}:
        os.kill(os.getpid(), getattr(signal, name))

listen = daemon.listen_early

def listen_early(address):
    early = listen(address)
    sys.argv.append(str(early.listening.getsockname()[1]))
    return early

daemon.listen_early = listen_early
daemon.use_bundle = be_signalled
try:
    daemon.main()
finally:
    print(caller.recv(100).split(b"\\r\\n")[0].decode())
"""


@pytest.mark.xfail(reason="listed in KNOWN-RED.txt")
@pytest.mark.parametrize("signals", [["SIGTERM"], ["SIGHUP", "SIGTERM"]])
def test_process_that_is_signalled_while_it_loads_answers_those_who_wait(tmp_path, signals):
    """Guards against a signal that ends a process before it can answer callers in its queue."""
    settings = {
        "vm": "edge-1",
        "failure_domain": "a",
        "listen": "127.0.0.1:0",
        "status_listen": "127.0.0.1:0",
        "adapters": ["burdockquay_platform"],
        "leave_delay_s": 0.1,
        "stop_limit_s": 10.0,
        "platform": {"adapter": "rows", "address": "127.0.0.1:1"},
    }
    path = tmp_path / "settings.jsonc"
    path.write_text(json.dumps(settings))
    script = SIGNALLED_WHILE_LOADING.format(signals=signals)
    done = run_python("-c", script, "forwarder", "--settings", str(path))
    assert done.returncode == 0, done.stderr
    assert done.stdout.splitlines()[-1].startswith("HTTP/1.1 503")
