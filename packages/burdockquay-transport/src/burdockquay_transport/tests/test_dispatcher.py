import subprocess
import sys

import pytest

import burdockquay_transport._engine_client  # noqa: F401
import burdockquay_transport._service_client  # noqa: F401
from burdockquay_transport._dispatcher import PAUSING_KINDS
from burdockquay_transport._upstream import upstream_clients

SUBMIT = """
import random
from types import SimpleNamespace
import burdockquay_transport.entry
from burdockquay_coordination import AdmissionController
from burdockquay_state import ClassRecord, GroupRecord, Snapshot
from burdockquay_transport._dispatcher import GroupDispatcher
draft = ClassRecord("draft", 10, 1.0, 0.1, 8.0)
snapshot = Snapshot(classes={"draft": draft}, groups={"engines": GroupRecord("engines")})
clock = SimpleNamespace(now=lambda: 0.0)
dispatcher = GroupDispatcher(
    "engines", snapshot, "medeu", clock, random.Random(1), AdmissionController(), lambda vm: True
)
organisation = SimpleNamespace(name="north")
spec = SimpleNamespace(
    request="r", organisation=organisation, service_class=draft, deadline=9.0, prefix=()
)
call = SimpleNamespace(spec=spec, started_at=0.0, delivered=[], avoid=set(), link=None)
dispatcher.submit(call, 0.0)
print(len(dispatcher.queue))
"""


@pytest.mark.parametrize("kind", upstream_clients.names())
def test_pausing_kinds_match_the_upstream_clients(kind):
    assert upstream_clients.get(kind).can_pause == (kind in PAUSING_KINDS)


def test_entry_without_upstream_clients_accepts_routine_requests():
    """An entry process loads fewer modules than a test run, which has loaded the upstream clients.

    An entry that looked up such a client answered every routine request with an internal error,
    while all tests passed.
    """
    done = subprocess.run(
        [sys.executable, "-c", SUBMIT], capture_output=True, text=True, timeout=60
    )
    assert (done.stdout, done.returncode) == ("1\n", 0), done.stderr
