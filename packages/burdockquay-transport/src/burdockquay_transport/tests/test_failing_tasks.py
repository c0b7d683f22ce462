"""Tests of entries and slots whose background tasks fail."""

from burdockquay_coordination import ConfigurationReader, MembershipTracker
from burdockquay_state import OrganisationRecord

from ._deployment import chat_body, put_records, until


def fail_once(monkeypatch, owner, name):
    """Let a function raise at its next call; return the calls that failed."""
    function = getattr(owner, name)
    failed = []

    def fail(*args, **kwargs):
        if not failed:
            failed.append(args)
            raise ValueError("some fault")
        return function(*args, **kwargs)

    monkeypatch.setattr(owner, name, fail)
    return failed


EXPECTED = [("configuration", 1, True), ("vm_list", 1, True)]


def list_failed(processes):
    """Return the tasks that have failed: names, failures, and whether they run again."""
    return sorted(
        (name, task["failures"], task["running"])
        for process in processes
        for name, task in process.describe()["tasks"].items()
        if task["failures"]
    )


async def test_entry_and_slot_go_on_after_a_failure_of_their_tasks(deployment, monkeypatch):
    """One exception in the reading of the configuration or of the VM list ends it for good."""
    async with deployment() as running:
        read = fail_once(monkeypatch, ConfigurationReader, "read")
        await until(lambda: read)
        listed = fail_once(monkeypatch, MembershipTracker, "update_list")
        await running.add_engine()
        await until(lambda: listed)
        revision = await put_records(running.log, [OrganisationRecord("later", "cd" * 16, [])])
        processes = [*running.entries, *running.slots]
        await until(lambda: all(item.snapshot.revision >= revision for item in processes))
        await until(lambda: list_failed(processes) == EXPECTED)
        status, _ = await running.ask("/v1/chat/completions", chat_body())
        assert status == 200
