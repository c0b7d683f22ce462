"""State machine of streams that begin and are resumed while versions and processes change."""

import attrs
import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from burdockquay_coordination.forwarding import (
    CONFIRM_INTERVAL_S,
    OriginEvidence,
    StreamVersions,
)
from burdockquay_state import Position

from ...tests.machines import assert_finds_fault
from . import stream_fleet
from .stream_fleet import StreamFleet

PICKS = st.integers(0, 20)
VERSIONS = ["v1", "v2", "1.0-rc"]


class StreamMachine(RuleBasedStateMachine):
    """Releases, kills, restarts and cuts, in any order, while callers resume streams."""

    @initialize(processes=st.integers(2, 7), seed=st.integers(0, 999))
    def begin(self, processes, seed):
        self.fleet = StreamFleet(processes, seed)
        self.streams = []

    def pick(self, number):
        names = sorted(self.fleet.processes)
        return names[number % len(names)]

    @rule(seconds=st.floats(0.02, 2.0))
    def wait(self, seconds):
        self.fleet.advance(seconds)

    @rule(number=PICKS, count=st.integers(1, 4))
    def begin_streams(self, number, count):
        """Begin streams at several processes; each caller has its first event after a moment."""
        for index in range(count):
            self.streams.append(self.fleet.begin(self.pick(number + index)))
        self.fleet.advance(0.03)

    @precondition(lambda self: self.streams)
    @rule(number=PICKS, which=PICKS)
    def resume(self, number, which):
        self.fleet.resume(self.pick(number), self.streams[which % len(self.streams)])

    @precondition(lambda self: self.streams)
    @rule(number=PICKS)
    def resume_newest(self, number):
        """Let the callers of the newest streams return to one process."""
        for stream in self.streams[-4:]:
            self.fleet.resume(self.pick(number), stream)

    @rule()
    def watch(self):
        """Let the processes watch the service for longer than streams are kept."""
        self.fleet.advance(61.0)
        self.streams = []

    @rule(number=PICKS, is_down=st.booleans())
    def set_store_down(self, number, is_down):
        """Let streams have begun at all versions before the store is out of reach."""
        if not self.fleet.is_store_down:
            self.fleet.recorded.update(self.fleet.versions)
        self.fleet.is_store_down = is_down

    @precondition(lambda self: not self.fleet.is_store_down)
    @rule(number=PICKS)
    def lose_all(self, number):
        """Lose all processes, and let callers resume at one that has just started."""
        self.fleet.lose_all()
        for stream in self.streams[-4:]:
            self.fleet.resume(self.pick(number), stream)
        self.streams = []

    @precondition(lambda self: self.fleet.takes_writes)
    @rule(number=PICKS)
    def lose_all_after_release(self, number):
        """Lose all processes when the version that began the streams has just left."""
        self.fleet.heal(self.pick(number))
        self.fleet.set_versions(VERSIONS[:1])
        self.streams = [self.fleet.begin(self.pick(number))]
        self.fleet.set_versions(VERSIONS[1:2])
        self.lose_all(number)

    @precondition(lambda self: not self.fleet.is_store_down)
    @rule(number=PICKS)
    def lose_store_after_release(self, number):
        """Lose the store when the version that began the streams has just been replaced."""
        self.fleet.set_versions(VERSIONS[:1])
        self.watch()
        self.streams = [self.fleet.begin(self.pick(number))]
        self.fleet.set_versions(VERSIONS[1:2])
        self.fleet.is_store_down = True
        self.fleet.advance(0.03)
        self.fleet.resume(self.pick(number + 1), self.streams[0])

    @precondition(lambda self: not self.fleet.is_store_down)
    @rule(count=st.integers(1, 3))
    def release(self, count):
        self.fleet.set_versions(VERSIONS[:count])

    @precondition(lambda self: not self.fleet.is_store_down)
    @rule(which=st.integers(0, 2))
    def replace_version(self, which):
        """Let another version serve alone at once, and a process start that knows no other."""
        self.fleet.set_versions([VERSIONS[which]])
        self.fleet.advance(0.03)
        self.fleet.start()
        for stream in self.streams[-4:]:
            self.fleet.resume(self.pick(0), stream)

    @precondition(lambda self: not self.fleet.is_store_down)
    @rule()
    def finish_release(self):
        """Let only the newest version serve; others were beside it before."""
        self.fleet.set_versions(VERSIONS[:2])
        for name in sorted(self.fleet.processes):
            self.streams.append(self.fleet.begin(name))
        self.fleet.advance(0.03)
        self.fleet.set_versions(VERSIONS[1:2])

    # Two peers keep a record beside the process that began the stream: with one loss at a time, and
    # records as old as the streams that callers resume, one of them is left.
    @precondition(lambda self: len(self.fleet.processes) > 3)
    @rule(number=PICKS)
    def kill_and_restart(self, number):
        self.streams = self.streams[-4:]
        self.fleet.end(self.pick(number))
        for stream in self.streams:
            self.fleet.resume(self.pick(number), stream)
        self.streams = []
        self.fleet.start()

    @rule(fail=st.booleans())
    def set_writes(self, fail):
        self.fleet.set_writes(fail)

    @rule(number=PICKS)
    def delay(self, number):
        """Withhold the changes of the list from a process that is connected to the others."""
        self.fleet.delay(self.pick(number))

    @rule(number=PICKS)
    def suspend(self, number):
        self.fleet.suspend(self.pick(number))

    @precondition(lambda self: not self.fleet.is_store_down)
    @rule(number=PICKS, is_suspended=st.booleans(), has_left=st.booleans(), fail=st.booleans())
    def release_beside_one_behind(self, number, is_suspended, has_left, fail):
        """Begin a stream at a version that one process cannot know, and resume it there."""
        behind, ahead = self.pick(number), self.pick(number + 1)
        self.fleet.set_versions(VERSIONS[:1])
        (self.fleet.suspend if is_suspended else self.fleet.delay)(behind)
        self.fleet.set_writes(fail)
        self.fleet.set_versions(VERSIONS[1:2])
        self.streams.append(self.fleet.begin(ahead))
        if has_left:
            self.fleet.set_versions(VERSIONS[:1])
        self.fleet.advance(0.03)
        self.fleet.resume(behind, self.streams[-1])

    @precondition(lambda self: not self.fleet.is_store_down)
    @rule(number=PICKS, has_left=st.booleans(), is_late=st.booleans())
    def release_without_contact(self, number, has_left, is_late):
        """Let the process that began the stream lose all contact before it is resumed."""
        behind, ahead = self.pick(number), self.pick(number + 1)
        self.fleet.set_versions(VERSIONS[:1])
        if is_late:
            self.fleet.delay(behind)
        self.fleet.set_writes(fail=True)
        self.fleet.set_versions(VERSIONS[1:2])
        self.fleet.cut(ahead)
        self.streams.append(self.fleet.begin(ahead))
        if has_left:
            self.fleet.set_versions(VERSIONS[:1])
        self.fleet.advance(0.03)
        self.fleet.resume(behind, self.streams[-1])

    @rule(number=PICKS)
    def cut(self, number):
        self.fleet.cut(self.pick(number))

    @rule()
    def heal(self):
        for name in sorted(self.fleet.processes):
            self.fleet.heal(name)

    @invariant()
    def check_no_stream_is_joined(self):
        if hasattr(self, "fleet"):
            assert self.fleet.joined == 0


MACHINE_SETTINGS = settings(max_examples=150, stateful_step_count=40)


def test_no_stream_goes_on_at_another_version():
    run_state_machine_as_test(StreamMachine, settings=MACHINE_SETTINGS)


class LossMachine(StreamMachine):
    """The same beside failures of the store that keep a version out of all tables."""

    @rule(number=PICKS)
    def maintain(self, number):
        """Let a process keep the checkpoint; after a partition, there are several that do."""
        self.fleet.maintain(self.pick(number))

    @rule(records=st.booleans(), checkpoint=st.booleans())
    def set_tables_away(self, records, checkpoint):
        self.fleet.are_records_away = records
        self.fleet.is_checkpoint_away = checkpoint

    @rule(are_late=st.booleans())
    def set_late_writes(self, are_late):
        self.fleet.are_writes_late = are_late

    @rule()
    def discard_history(self):
        self.fleet.discard_history()

    @precondition(lambda self: not self.fleet.is_store_down)
    @rule(lost=st.integers(0, 4))
    def restore_copy(self, lost):
        self.fleet.restore_copy(lost)

    @precondition(lambda self: not self.fleet.is_store_down)
    @rule(number=PICKS, seconds=st.floats(0.0, 3.0))
    def lose_all_twice(self, number, seconds):
        """Lose all processes again right after their start, or after one has vouched for all."""
        self.fleet.lose_all()
        self.fleet.advance(seconds)
        self.fleet.maintain(self.pick(number))
        self.lose_all(number)

    @precondition(lambda self: not self.fleet.is_store_down)
    @rule(number=PICKS)
    def leave_one(self, number):
        """Lose all processes but one."""
        kept = self.pick(number)
        for name in sorted(self.fleet.processes):
            if name != kept:
                self.fleet.end(name)
                self.fleet.start()
        for stream in self.streams[-4:]:
            self.fleet.resume(self.pick(number + 1), stream)

    @precondition(lambda self: not self.fleet.is_store_down)
    @rule(
        number=PICKS,
        warm=st.booleans(),
        whole=st.booleans(),
        is_checkpoint_away=st.booleans(),
        is_behind=st.booleans(),
        is_discarded=st.booleans(),
    )
    def release_and_return(self, number, warm, whole, is_checkpoint_away, is_behind, is_discarded):
        """Lose all processes when a version without a record has left, and the next ones, too."""
        fleet, name = self.fleet, self.pick(number)
        fleet.set_versions(VERSIONS[:1])
        self.heal()
        if warm:
            self.begin_streams(number, 2)
        fleet.maintain(name)
        fleet.are_records_away, fleet.is_checkpoint_away = True, is_checkpoint_away
        if is_behind:
            fleet.delay(name)
        fleet.set_versions(VERSIONS[1:2] if whole else VERSIONS[:2])
        if is_behind:
            fleet.cut(self.pick(number + 1))
        for _ in range(4):
            self.streams.append(fleet.begin(self.pick(number + 1)))
        fleet.advance(0.03)
        fleet.maintain(name)
        fleet.set_versions(VERSIONS[:1])
        fleet.advance(CONFIRM_INTERVAL_S)
        fleet.maintain(name)
        fleet.are_records_away = fleet.is_checkpoint_away = False
        if is_discarded:
            fleet.discard_history()
        for _ in range(2):
            fleet.lose_all()
            self.resume_newest(number)
            fleet.maintain(self.pick(number))


def test_no_stream_goes_on_where_nobody_is_left_that_knows_its_version():
    """Guards against a stream joined by a record that lacks the version of its beginning."""
    run_state_machine_as_test(LossMachine, settings=MACHINE_SETTINGS)


OUTAGES = ["none", "are_records_away", "is_checkpoint_away", "is_store_down", "do_writes_fail"]


@pytest.mark.parametrize("replaced", [False, True], ids=["same", "replaced"])
@pytest.mark.parametrize("outage", OUTAGES)
def test_streams_of_one_version_are_resumed_after_the_loss_of_all(outage, replaced):
    """Guards against refusals after each loss of all processes, whatever fails before it."""
    fleet = StreamFleet(3, seed=1)
    fleet.set_versions(["v1"])
    for _ in range(10):
        fleet.advance(1.0)
        fleet.maintain(sorted(fleet.processes)[0])
    setattr(fleet, outage, True)
    streams = [fleet.begin(name) for name in sorted(fleet.processes)]
    if replaced:
        fleet.replace_entries()
    fleet.advance(5.0)
    setattr(fleet, outage, False)
    for _ in range(2):
        fleet.lose_all()
        for stream in streams:
            for name in sorted(fleet.processes):
                assert fleet.resume(name, stream) == "v1"
        fleet.maintain(sorted(fleet.processes)[0])


def forget_versions_at_an_update(monkeypatch):
    original = StreamVersions.observe

    def observe(self, service, versions, now):
        self._seen_at.pop(service, None)
        self._present.pop(service, None)
        return original(self, service, versions, now)

    monkeypatch.setattr(StreamVersions, "observe", observe)


def resume_anywhere(monkeypatch):
    monkeypatch.setattr(
        StreamFleet, "_find", lambda self, process, stream: self.rng.choice(process.versions)
    )


def trust_the_list_without_contact(monkeypatch):
    def find(self, process, stream):
        known = original(self, process, stream)
        return process.versions[0] if known is None and process.is_cut else known

    original = StreamFleet._find
    monkeypatch.setattr(StreamFleet, "_find", find)


def trust_the_present_list(monkeypatch):
    monkeypatch.setattr(
        StreamFleet, "possible_versions", lambda self, process: set(process.versions)
    )
    trust_the_record(monkeypatch)


def trust_the_list_and_the_record(monkeypatch):
    monkeypatch.setattr(StreamFleet, "read_list", lambda self, process: {})


def trust_a_list_that_is_not_current(monkeypatch):
    def only_origin(self):
        return original(attrs.evolve(self, is_current=True))

    original = OriginEvidence.only_origin
    monkeypatch.setattr(OriginEvidence, "only_origin", only_origin)


def trust_a_list_without_what_has_left(monkeypatch):
    monkeypatch.setattr(StreamVersions, "note_missed", lambda self, now: None)


def trust_the_record(monkeypatch):
    monkeypatch.setattr(StreamVersions, "is_covered", lambda self, now: True)


def ignore_entries_that_came_and_went(monkeypatch):
    monkeypatch.setattr(stream_fleet, "find_unknown_removed", lambda checkpoint, removed: ())


def trust_history_that_is_gone(monkeypatch):
    def read_changes(self, after):
        return dict(self.changes[max(after, self.discarded) :])

    monkeypatch.setattr(StreamFleet, "read_changes", read_changes)


def vouch_for_an_unknown_time(monkeypatch):
    def make_checkpoint(self, process):
        if not process.streams.is_covered(self.now):
            process.streams.cover((), self.now)
        return original(self, process)

    original = StreamFleet._make_checkpoint
    monkeypatch.setattr(StreamFleet, "_make_checkpoint", make_checkpoint)


def vouch_for_changes_not_seen(monkeypatch):
    def make_checkpoint(self, process):
        made = original(self, process)
        position = Position(self.era, len(self.changes))
        return made and attrs.evolve(made, position=position)

    original = StreamFleet._make_checkpoint
    monkeypatch.setattr(StreamFleet, "_make_checkpoint", make_checkpoint)


LOSS_FAULTS = [
    trust_the_record,
    ignore_entries_that_came_and_went,
    trust_history_that_is_gone,
    vouch_for_an_unknown_time,
    vouch_for_changes_not_seen,
]

FAULTS = [
    trust_the_list_and_the_record,
    trust_a_list_that_is_not_current,
    trust_a_list_without_what_has_left,
    trust_the_present_list,
    forget_versions_at_an_update,
    resume_anywhere,
    trust_the_list_without_contact,
]


@pytest.mark.parametrize("fault", FAULTS, ids=lambda fault: fault.__name__)
def test_machine_finds_a_planted_fault(monkeypatch, fault):
    fault(monkeypatch)
    assert_finds_fault(StreamMachine, MACHINE_SETTINGS, max_examples=400)


@pytest.mark.parametrize("fault", LOSS_FAULTS, ids=lambda fault: fault.__name__)
def test_machine_of_losses_finds_a_planted_fault(monkeypatch, fault):
    fault(monkeypatch)
    assert_finds_fault(LossMachine, MACHINE_SETTINGS, max_examples=1000)


def test_streams_are_resumed_after_the_loss_of_a_process():
    """Guards against refusals of streams whose version two peers have been told."""
    fleet = StreamFleet(6, seed=1)
    fleet.set_versions(["v1", "v2"])
    for _ in range(50):
        names = sorted(fleet.processes)
        stream = fleet.begin(names[0])
        fleet.advance(0.05)
        fleet.end(names[0])
        assert fleet.resume(names[1], stream) == stream.version
        fleet.start()
    assert fleet.unknown == 0


def test_records_that_a_process_keeps_alone_are_lost_with_it(monkeypatch):
    """Plants a fault that the test above must find."""
    monkeypatch.setattr(stream_fleet, "RECORD_OWNERS", 0)
    with pytest.raises(AssertionError):
        test_streams_are_resumed_after_the_loss_of_a_process()
