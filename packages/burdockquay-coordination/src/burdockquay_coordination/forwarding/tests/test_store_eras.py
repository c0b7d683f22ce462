"""Configuration versions and upstreams when the store is restored from a copy."""

import attrs
import pytest

from burdockquay_coordination.forwarding import (
    ConfigVersionTracker,
    ListedUpstream,
    UnreadableEntry,
    UpstreamChanges,
    UpstreamRegistry,
)
from burdockquay_coordination.forwarding._upstreams import (
    RELIST_WAIT_S,
    REMOVED_RETENTION_S,
    WITHHOLD_S,
)

RESTORED_AT_S = 100.0


def entry(era, revision, sequence, leaving=False, started_ms=None):
    return ListedUpstream(
        "a", "s", "10.0.0.1", 80, "a", 8, leaving, revision, started_ms, era, sequence
    )


def restored_listing(*listed, unreadable=()):
    return UpstreamChanges(True, listed, (), unreadable, RESTORED_AT_S, True)


def changed(*listed, removed=()):
    return UpstreamChanges(False, listed, removed, last_failure_at=RESTORED_AT_S)


def accepts_work(upstream_registry):
    return [item.id for item in upstream_registry.of_service("s") if item.accepts_work()]


@pytest.fixture
def upstream_registry():
    """Return a registry with one upstream that was read in the first era."""
    upstream_registry = UpstreamRegistry()
    upstream_registry.apply(UpstreamChanges(True, (entry(1, 50, 5),)), 0.0)
    return upstream_registry


def test_entry_with_a_lower_revision_is_applied_after_a_restore(upstream_registry):
    """An upstream starts draining; its revisions began again below the one that is known."""
    upstream_registry.apply(restored_listing(entry(2, 20, 4)), RESTORED_AT_S)
    upstream_registry.apply(changed(entry(2, 30, 6, leaving=True)), RESTORED_AT_S)
    assert accepts_work(upstream_registry) == []


@pytest.mark.parametrize("sequence", [4, 6])
def test_old_entry_of_the_copy_does_not_undo_draining(upstream_registry, sequence):
    upstream_registry.apply(changed(entry(1, 60, 6, leaving=True)), 90.0)
    upstream_registry.apply(restored_listing(entry(2, 50, sequence)), RESTORED_AT_S)
    assert accepts_work(upstream_registry) == []
    upstream_registry.apply(changed(entry(2, 70, 8)), RESTORED_AT_S + 1)
    assert accepts_work(upstream_registry) == ["a"], "its newer entry counts"


def test_late_entry_of_the_former_era_is_ignored(upstream_registry):
    upstream_registry.apply(restored_listing(entry(2, 20, 7, leaving=True)), RESTORED_AT_S)
    upstream_registry.apply(changed(entry(1, 90, 8)), RESTORED_AT_S)
    assert accepts_work(upstream_registry) == []


def test_upstream_with_an_unreadable_row_after_a_restore_gets_no_work(upstream_registry):
    upstream_registry.apply(
        restored_listing(unreadable=(UnreadableEntry("a", 20, 2),)), RESTORED_AT_S
    )
    assert accepts_work(upstream_registry) == []


def test_former_incarnation_in_the_copy_does_not_replace_the_present_one(upstream_registry):
    upstream_registry.apply(changed(entry(1, 60, 1, started_ms=2000)), 90.0)
    assert (
        upstream_registry.apply(restored_listing(entry(2, 50, 9, started_ms=1000)), RESTORED_AT_S)
        == []
    )
    assert [item.incarnation for item in upstream_registry.all()] == ["a@2000"]


@pytest.fixture
def registry_after_removal():
    """Return a registry whose only upstream was removed before the store was restored."""
    upstream_registry = UpstreamRegistry()
    upstream_registry.apply(UpstreamChanges(True, (entry(1, 50, 5, started_ms=2000),)), 0.0)
    upstream_registry.apply(UpstreamChanges(False, removed=("a",)), RESTORED_AT_S - 5)
    return upstream_registry


@pytest.mark.parametrize(("sequence", "started_ms"), [(5, 2000), (4, 2000), (9, 1000)])
def test_removed_upstream_gets_no_work_from_the_copy(registry_after_removal, sequence, started_ms):
    registry_after_removal.apply(
        restored_listing(entry(2, 40, sequence, started_ms=started_ms)), RESTORED_AT_S
    )
    assert accepts_work(registry_after_removal) == []
    assert list(registry_after_removal.withheld) == ["a"]
    registry_after_removal.apply(changed(removed=("a",)), RESTORED_AT_S + 3)
    registry_after_removal.settle(RESTORED_AT_S + WITHHOLD_S)
    assert accepts_work(registry_after_removal) == []


@pytest.mark.parametrize(("sequence", "started_ms"), [(6, 2000), (1, 3000)])
def test_removed_upstream_that_writes_again_gets_work(registry_after_removal, sequence, started_ms):
    registry_after_removal.apply(restored_listing(entry(2, 40, 5, started_ms=2000)), RESTORED_AT_S)
    registry_after_removal.apply(
        changed(entry(2, 70, sequence, started_ms=started_ms)), RESTORED_AT_S + 1
    )
    assert accepts_work(registry_after_removal) == ["a"]
    assert list(registry_after_removal.withheld) == []


def test_removed_upstream_that_stays_listed_gets_work_after_a_while(registry_after_removal):
    """The upstream is alive and had no reason to write more than its entry in the copy holds."""
    registry_after_removal.apply(restored_listing(entry(2, 40, 5, started_ms=2000)), RESTORED_AT_S)
    registry_after_removal.settle(RESTORED_AT_S + WITHHOLD_S)
    assert accepts_work(registry_after_removal) == ["a"]


def test_removed_upstream_listed_in_the_same_era_gets_work_at_once(registry_after_removal):
    registry_after_removal.apply(
        UpstreamChanges(True, (entry(1, 80, 5, started_ms=2000),)), RESTORED_AT_S
    )
    assert accepts_work(registry_after_removal) == [
        "a"
    ], "in the same era a listed upstream is available"
    late = RESTORED_AT_S + 2 * REMOVED_RETENTION_S
    registry_after_removal.apply(UpstreamChanges(False, removed=("a",)), late)
    assert len(registry_after_removal) == 0


def test_upstream_that_the_copy_lacks_is_kept_until_it_has_had_time_to_write(upstream_registry):
    upstream_registry.apply(restored_listing(), RESTORED_AT_S)
    assert accepts_work(upstream_registry) == ["a"] and list(upstream_registry.missing) == ["a"]
    upstream_registry.settle(RESTORED_AT_S + RELIST_WAIT_S)
    assert accepts_work(upstream_registry) == []


def test_withheld_upstream_is_released_once(registry_after_removal):
    registry_after_removal.apply(restored_listing(entry(2, 40, 5, started_ms=2000)), RESTORED_AT_S)
    registry_after_removal.settle(RESTORED_AT_S + WITHHOLD_S)
    registry_after_removal.apply(
        changed(attrs.evolve(entry(2, 90, 6, started_ms=2000))), RESTORED_AT_S + 11
    )
    assert len(registry_after_removal.of_service("s")) == 1


def test_older_configuration_is_behind_until_the_newest_is_shown():
    standing = ConfigVersionTracker()
    standing.record_shown_version(9, 1.0)
    standing.record_held_version(9, 1.0)
    standing.record_shown_version(7, 5.0)
    assert standing.is_behind and standing.behind_s(6.0) == 1.0
    assert not standing.is_outdated(60.0), "this process acts on the newest configuration"
    standing.record_shown_version(8, 6.0)
    assert standing.is_behind
    standing.record_shown_version(9, 7.0)
    assert not standing.is_behind


def test_process_has_time_to_read_a_newer_configuration():
    """A configuration and the message that it is in force arrive by different paths."""
    standing = ConfigVersionTracker()
    standing.record_shown_version(7, 1.0)
    standing.record_held_version(7, 1.0)
    standing.record_version_in_force(8, 12.0)
    assert standing.is_behind and not standing.is_outdated(12.9)
    assert standing.is_outdated(13.0)
    standing.record_held_version(8, 13.1)
    assert not standing.is_outdated(19.0)


@pytest.mark.parametrize("told_at", [0.5, 2.0])
def test_process_that_starts_with_an_old_configuration_gets_no_such_time(told_at):
    """The store shows an older configuration than is in force; the message arrives before or after.

    For a second the process would honour keys that were withdrawn long before it started.
    """
    standing = ConfigVersionTracker()
    standing.record_shown_version(7, 1.0)
    if told_at < 1.0:
        standing.record_version_in_force(8, told_at)
    standing.record_held_version(7, 1.0)
    standing.record_version_in_force(8, 2.0)
    assert standing.is_outdated(2.0)
