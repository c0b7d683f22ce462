"""Records may name only existing policies."""

import cbor2

from burdockquay_coordination import ConfigurationHolder, placement_policies, queue_policies
from burdockquay_protocol import LogEntry, LogPart
from burdockquay_state import (
    PLACEMENT_POLICIES,
    QUEUE_POLICIES,
    MemoryTable,
    PolicyRecord,
    RecordLog,
)


def test_names_in_records_and_registries_agree():
    assert queue_policies.names() == QUEUE_POLICIES
    assert placement_policies.names() == PLACEMENT_POLICIES


async def test_record_that_names_an_unknown_policy_is_refused():
    refusal = await RecordLog(MemoryTable()).put([PolicyRecord(placement="scorde")], "me", 0, 0.0)
    assert "scorde" in str(refusal.err())


def test_policy_of_a_newer_release_fails_no_process():
    """Operators put a record that names a policy of a newer release while old processes run.

    If an old process looked up the name, the task that applies the configuration would fail, and no
    later change would be applied.
    """
    holder = ConfigurationHolder()
    body = cbor2.dumps({"name": "default", "placement": "of-next-year"})
    entry = LogEntry(1, "policy", "default", {1: body}, "me", 0.0)
    outcome = holder.apply(LogPart(0, [entry], False, 1), 0.0)
    assert holder.revision == 1
    assert "of-next-year" in str(outcome.faults[0])
    assert holder.snapshot.policy == PolicyRecord()
