"""Tests of the conditions that are checked before the first byte of a send."""

from types import SimpleNamespace

import pytest

from burdockquay_coordination.forwarding import (
    EvacuationRow,
    ListedUpstream,
    UpstreamChanges,
    UpstreamRegistry,
)
from burdockquay_transport.forwarding._connections import EvacuatedError
from burdockquay_transport.forwarding._send_conditions import check_named_upstreams


@pytest.mark.parametrize("role", ["source", "backup"])
def test_header_names_no_evacuated_upstream(role):
    """Guards against a fetch or a copy at an upstream whose domain is evacuated meanwhile."""
    registry = UpstreamRegistry()
    entry = ListedUpstream("i-1", "writers", "10.0.0.1", 80, "b", 8, False, 1)
    registry.apply(UpstreamChanges(True, (entry,)), 1.0)
    named = {"source": None, "backup": None} | {role: registry.find("i-1")}
    placement = SimpleNamespace(source=named["source"])
    call = SimpleNamespace(sent=SimpleNamespace(placement=placement), backup=named["backup"])
    check_named_upstreams(call)
    registry.evacuations.apply([EvacuationRow("b", True, 5)], False, 1, 2.0)
    with pytest.raises(EvacuatedError):
        check_named_upstreams(call)
