"""Each role in a process of its own, without the modules of the other role."""

import subprocess
import sys

import pytest

LIST_KINDS = """
import burdockquay_transport.{role}
from burdockquay_transport._upstream import upstream_clients
print(*upstream_clients.names())
"""


@pytest.mark.parametrize("role", ["entry", "slot"])
def test_role_alone_registers_all_kinds_of_upstream(role):
    """An entry process loads only the modules of an entry. If only the modules of a slot registered
    the upstream clients, every request would end with an internal error, although all tests with
    both roles in one process pass.
    """
    command = [sys.executable, "-c", LIST_KINDS.format(role=role)]
    done = subprocess.run(command, capture_output=True, text=True, check=True)
    assert done.stdout.split() == ["engine", "service"]
