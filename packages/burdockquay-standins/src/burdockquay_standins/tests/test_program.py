"""Tests of the stand-ins as programs: the port line, exit on a signal, invalid parameters."""

import json
import signal
import subprocess
import sys
import urllib.request

import pytest


def launch(*arguments):
    command = [sys.executable, "-m", "burdockquay_standins", *arguments]
    return subprocess.Popen(command, stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True)


@pytest.mark.parametrize("kind", ["engine", "service", "platform"])
def test_program_prints_its_port_and_exits_on_a_signal(kind):
    with launch(kind, "--port", "0") as program:
        try:
            line = json.loads(program.stdout.readline())
            assert line["standin"] == kind
            with urllib.request.urlopen(f"http://127.0.0.1:{line['port']}/stats") as answer:
                assert json.load(answer)
        finally:
            program.send_signal(signal.SIGTERM)
        assert program.wait() == 0


def test_program_reports_a_parameter_out_of_range():
    with launch("engine", "--places", "0") as program:
        _, errors = program.communicate()
    assert program.returncode == 2
    assert "places: expected an integer from 1 to 4096, got 0" in errors
