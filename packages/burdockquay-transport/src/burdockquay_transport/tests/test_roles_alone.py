"""Each role as a process loads it: without the modules of the other."""

import subprocess
import sys

import pytest

LIST_KINDS = """
import burdockquay_transport.{role}
from burdockquay_transport._upstream import upstream_clients
print(*upstream_clients.names())
"""


@pytest.mark.parametrize("role", ["entry", "slot"])
def test_role_alone_knows_the_kinds_of_upstream(role):
    """An entry process loads only what an entry needs. What a slot's modules register is then
    missing, and every request would end with an internal error, although all is well where one
    process holds both roles.
    """
    command = [sys.executable, "-c", LIST_KINDS.format(role=role)]
    done = subprocess.run(command, capture_output=True, text=True, check=True)
    assert done.stdout.split() == ["engine", "service"]
