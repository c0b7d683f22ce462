import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule
from result import Err, Ok

from burdockquay_coordination import SlotScheduler, Work
from burdockquay_coordination._preemption import MIN_RUN_S
from burdockquay_protocol import ClassDemand, ErrorKind
from burdockquay_state import ClassRecord, PolicyRecord

CLASSES = {
    "hold": ClassRecord(
        "hold", 100, 0.1, 0.1, 4.0, protected=True, preemptible=False, reserved_places=1
    ),
    "charge": ClassRecord("charge", 90, 0.1, 0.1, 4.0, protected=True, preemptible=False),
    "firm": ClassRecord("firm", 50, 0.1, 0.1, 4.0, preemptible=False, reserved_places=1),
    "draft": ClassRecord("draft", 10, 1.0, 0.1, 8.0, share=0.4),
    "summary": ClassRecord("summary", 1, 1.0, 0.1, 8.0, share=0.1),
}
FAR = 1e9


def work(number, class_name="draft", peer="e1", apart=False, deadline=FAR):
    return Work(f"r{number}", 1, peer, "north", class_name, f"d{number}", deadline, apart)


def scheduler(places=2, classes=CLASSES, **policy):
    return SlotScheduler(places, classes, {}, PolicyRecord(**policy))


def start(slot, now=0.0):
    """Run the scheduler until nothing is left to do, as after an event; return the steps."""
    done = []
    while True:
        before = len(done)
        for name in ("next_pause", "next_start", "next_resume", "next_grant"):
            one = getattr(slot, name)(now)
            if one is not None:
                done.append((name, one))
        if len(done) == before:
            return done


def begin(slot, *works):
    for one in works:
        assert slot.offer(one, 0, 0.0) == Ok(None)
        start(slot)


def test_protected_work_pauses_the_latest_start_of_the_lowest_class():
    """A protected request arrives while all places are taken by routine answers of unknown length.

    It must not wait until one of them ends.
    """
    slot = scheduler(places=3, reserve=False)
    begin(slot, work(1, "summary"), work(2, "summary"), work(3, "draft"))
    assert slot.offer(work(4, "hold"), 0, 1.0) == Ok(None)
    assert start(slot, 1.0) == [
        ("next_pause", work(2, "summary")),
        ("next_start", work(4, "hold")),
    ]
    slot.finish("r4", 1, 2.0)
    assert start(slot, 2.0) == [("next_resume", work(2, "summary"))]


def test_reserved_places_are_closed_to_lower_classes_only():
    slot = scheduler(places=3, preemption=False)
    begin(slot, work(1, "draft"))
    assert slot.offer(work(2, "draft"), 0, 0.0) == Err(ErrorKind.NO_PLACE)
    assert slot.offer(work(3, "firm"), 0, 0.0) == Ok(None)
    assert slot.offer(work(4, "hold"), 0, 0.0) == Ok(None)


def test_requests_that_can_be_paused_may_fill_every_place():
    slot = scheduler(places=3)
    begin(slot, work(1, "draft"), work(2, "draft"), work(3, "draft"))
    slot.finish("r3", 1, 0.0)
    assert slot.offer(work(4, "charge"), 0, 0.0) == Ok(None)
    slot.finish("r1", 1, 0.0)
    start(slot)
    # The remaining draft can be paused for a hold; afterwards only the last place is left for it.
    assert slot.offer(work(5, "firm"), 0, 0.0) == Ok(None)
    slot.finish("r2", 1, 0.0)
    assert slot.offer(work(6, "firm"), 0, 0.0) == Err(ErrorKind.NO_PLACE)
    slot.can_pause = False
    assert slot.offer(work(7, "draft"), 0, 0.0) == Err(ErrorKind.NO_PLACE)


def test_protected_work_pauses_one_request_despite_reservations_of_a_higher_class():
    """Routine answers fill an engine, a charge arrives, and one place is reserved for holds.

    The reservation is met as long as a routine answer can be paused for a hold. If it required an
    empty place, two answers would have to be paused for one charge, which would wait for both.
    """
    slot = scheduler(places=2)
    begin(slot, work(1, "draft"), work(2, "draft"))
    assert slot.offer(work(3, "charge"), 0, 0.0) == Ok(None)
    assert start(slot) == [("next_pause", work(2)), ("next_start", work(3, "charge"))]


def test_one_place_stays_open_to_every_class():
    slot = scheduler(places=1)
    assert slot.offer(work(1, "summary"), 0, 0.0) == Ok(None)


def test_expired_grant_frees_its_place():
    """An entry crashes or is paused before it uses a granted place.

    If the place stayed reserved, the upstream would permanently run one request less.
    """
    slot = scheduler(places=1)
    slot.set_demand("e1", [ClassDemand("draft", 1, 0.5)], 0.0)
    slot.set_demand("e2", [ClassDemand("draft", 1, 0.1)], 0.0)
    _, first = start(slot, 0.0)[0]
    assert (first.peer, slot.next_deadline(0.0)) == ("e1", first.expires_at)
    slot.expire(first.expires_at)
    _, second = start(slot, first.expires_at)[0]
    assert second.peer == "e2"
    late = slot.offer(work(1), first.grant, first.expires_at)
    assert late == Err(ErrorKind.NO_PLACE)
    assert slot.offer(work(2, peer="e2"), second.grant, first.expires_at) == Ok(None)


def test_a_class_below_its_share_is_granted_before_higher_ones():
    slot = scheduler(places=4, reserve=False)
    slot.set_demand("e1", [ClassDemand("firm", 50, 0.1), ClassDemand("draft", 50, 0.1)], 0.0)
    first_grants = start(slot)
    assert [one.class_name for _, one in first_grants] == ["firm"] * 4
    for number, (_, grant) in enumerate(first_grants):
        assert slot.offer(work(number, "firm"), grant.grant, 0.0) == Ok(None)
    start(slot)
    slot.charge("r0", 1, 100, 0.0)
    slot.finish("r0", 1, 0.0)
    slot.finish("r1", 1, 0.0)
    slot.finish("r2", 1, 0.0)
    # A share of 0.4 of four places is rounded up to two.
    assert [one.class_name for _, one in start(slot)] == ["draft", "draft", "firm"]


def test_suspects_run_one_after_the_other():
    slot = scheduler(places=4, reserve=False)
    begin(slot, work(1, apart=True), work(2, apart=True), work(3))
    assert slot.running(0.0) == [work(1, apart=True), work(3)]
    slot.finish("r1", 1, 1.0)
    assert start(slot, 1.0) == [("next_start", work(2, apart=True))]


def test_disconnected_entry_frees_its_grants_and_queued_work():
    """An entry crashes while the slot has queued work, running work and a granted place of it.

    Running work keeps its place until it is stopped upstream. Otherwise the upstream would be
    overloaded.
    """
    slot = scheduler(places=2, reserve=False, binding="slot_queue")
    begin(slot, work(1, peer="e2"), work(2))
    assert slot.offer(work(3), 0, 0.0) == Ok(None)
    assert slot.forget_peer("e1", 0.0) == [work(3), work(2)]
    assert slot.counts(0.0).running == 2
    assert slot.finish("r2", 1, 0.0)
    assert not slot.finish("r3", 1, 0.0)


def test_an_attempt_offered_twice_is_refused():
    slot = scheduler()
    begin(slot, work(1))
    with pytest.raises(ValueError, match="r1/1"):
        slot.offer(work(1), 0, 0.0)


peers = st.sampled_from(["e1", "e2"])
class_names = st.sampled_from(sorted(CLASSES))


class SlotMachine(RuleBasedStateMachine):
    """Compares a slot scheduler with a simple model of the accepted work."""

    @initialize(
        places=st.integers(1, 5),
        binding=st.sampled_from(["grant", "slot_queue"]),
        queue=st.sampled_from(["class_share", "fifo"]),
        preemption=st.booleans(),
        reserve=st.booleans(),
    )
    def set_up(self, places, **policy):
        self.policy = PolicyRecord(**policy)
        self.places = places
        self.slot = SlotScheduler(places, CLASSES, {}, self.policy)
        self.now = 0.0
        self.number = 0
        self.waiting = {}
        self.running = {}
        self.paused = {}
        self.resumed_at = {}
        self.grants = {}

    def apply_steps(self):
        for name, one in start(self.slot, self.now):
            getattr(self, name)(one)

    def next_start(self, one):
        self.running[one.request] = self.waiting.pop(one.request)

    def next_pause(self, one):
        record = CLASSES[one.class_name]
        assert self.policy.preemption
        assert record.preemptible
        assert not record.protected
        waits = [CLASSES[other.class_name] for other in self.waiting.values()]
        assert any(other.protected and other.priority > record.priority for other in waits)
        self.paused[one.request] = self.running.pop(one.request)

    def next_resume(self, one):
        self.running[one.request] = self.paused.pop(one.request)
        self.resumed_at[one.request] = self.now

    def next_grant(self, one):
        assert one.grant not in self.grants
        self.grants[one.grant] = one

    def held(self):
        return {**self.waiting, **self.running, **self.paused}

    def free_for(self, class_name):
        """Return the free places for a class, computed from the running and granted places."""
        record = CLASSES[class_name]
        taken = [one.class_name for one in self.running.values()]
        taken += [one.class_name for one in self.grants.values()]
        kept = sum(
            max(0, other.reserved_places - taken.count(other.name))
            for other in CLASSES.values()
            if other.priority > record.priority and self.policy.reserve
        )
        free = self.places - len(taken)
        fixed = taken
        if self.policy.preemption:
            if record.preemptible:
                return free
            fixed = [name for name in taken if not CLASSES[name].preemptible]
        return min(free, self.places - len(fixed) - min(kept, self.places - 1))

    def movable(self, record):
        """Return the running requests that a protected class may pause now."""
        if not self.policy.preemption or len(self.paused) >= self.places:
            return []
        return [
            one
            for one in self.running.values()
            if CLASSES[one.class_name].preemptible
            and CLASSES[one.class_name].priority < record.priority
            and self.now - self.resumed_at.get(one.request, -FAR) >= MIN_RUN_S
        ]

    @rule(class_name=class_names, peer=peers, apart=st.booleans(), use_grant=st.booleans())
    def offer(self, class_name, peer, apart, use_grant):
        self.number += 1
        one = work(self.number, class_name, peer, apart, self.now + 6.0)
        grants = [g for g in self.grants.values() if (g.peer, g.class_name) == (peer, class_name)]
        grant = grants[0].grant if use_grant and grants else 0
        free = self.free_for(class_name)
        movable = self.movable(CLASSES[class_name])
        grants_before = [
            other
            for other in self.grants.values()
            if CLASSES[other.class_name].priority < CLASSES[class_name].priority
        ]
        answer = self.slot.offer(one, grant, self.now)
        if grant:
            del self.grants[grant]
        if answer == Ok(None):
            self.waiting[one.request] = one
        else:
            assert answer == Err(ErrorKind.NO_PLACE)
            assert not grant
            assert self.policy.binding == "grant"
            if CLASSES[class_name].protected:
                assert not movable
                assert free <= 0 or self.protected_demand()
                if self.policy.preemption and free == 0 and not self.protected_demand():
                    assert all(CLASSES[one.class_name].protected for one in grants_before)
        self.drop_revoked()
        self.apply_steps()

    def protected_demand(self):
        return any(CLASSES[name].protected for name in self.slot._demands.classes)

    def drop_revoked(self):
        for number in [number for number in self.grants if number not in self.slot._places.grants]:
            revoked = self.grants.pop(number)
            assert not CLASSES[revoked.class_name].protected

    @rule(peer=peers, demand=st.dictionaries(class_names, st.integers(1, 5), max_size=4))
    def demand(self, peer, demand):
        classes = [ClassDemand(name, count, 0.5) for name, count in demand.items()]
        self.slot.set_demand(peer, classes, self.now)
        before = set(self.grants)
        self.apply_steps()
        for name in CLASSES:
            fresh = [self.grants[number] for number in set(self.grants) - before]
            granted = [g for g in fresh if (g.peer, g.class_name) == (peer, name)]
            assert len(granted) <= demand.get(name, 0)

    @precondition(lambda self: self.running or self.paused)
    @rule(data=st.data())
    def finish(self, data):
        request = data.draw(st.sampled_from(sorted({**self.running, **self.paused})))
        assert self.slot.finish(request, 1, self.now)
        assert not self.slot.finish(request, 1, self.now)
        self.running.pop(request, None)
        self.paused.pop(request, None)
        self.apply_steps()

    @precondition(lambda self: self.running)
    @rule(data=st.data(), tokens=st.integers(1, 5000))
    def generate(self, data, tokens):
        request = data.draw(st.sampled_from(sorted(self.running)))
        self.slot.charge(request, 1, tokens, self.now)

    @precondition(lambda self: self.grants)
    @rule(data=st.data())
    def return_grant(self, data):
        number = data.draw(st.sampled_from(sorted(self.grants)))
        del self.grants[number]
        self.slot.return_grant(number, self.now)
        self.apply_steps()

    @rule(seconds=st.sampled_from([0.01, 0.5, 3.0]))
    def wait(self, seconds):
        self.now += seconds
        for one in self.slot.expire(self.now):
            del self.waiting[one.request]
        self.grants = {n: one for n, one in self.grants.items() if one.expires_at > self.now}
        self.apply_steps()

    @rule(peer=peers)
    def handle_disconnect(self, peer):
        lost = {one.request for one in self.slot.forget_peer(peer, self.now)}
        assert lost == {one.request for one in self.held().values() if one.peer == peer}
        self.waiting = {name: one for name, one in self.waiting.items() if one.peer != peer}
        self.grants = {n: one for n, one in self.grants.items() if one.peer != peer}
        self.apply_steps()

    @rule(kept=st.sets(class_names), queue=st.sampled_from(["class_share", "fifo"]))
    def reconfigure(self, kept, queue):
        """Withdraw classes temporarily and change the queue policy."""
        policy = PolicyRecord(
            binding=self.policy.binding,
            queue=queue,
            preemption=self.policy.preemption,
            reserve=self.policy.reserve,
        )
        left = {name: CLASSES[name] for name in kept}
        self.slot.configure(self.places, left, {}, policy, self.now)
        self.slot.configure(self.places, CLASSES, {}, policy, self.now)
        self.apply_steps()

    @invariant()
    def model_and_invariants_hold(self):
        if not hasattr(self, "slot"):
            return
        counts = self.slot.counts(self.now)
        assert counts.queued == len(self.waiting)
        assert counts.running == len(self.running)
        assert counts.paused == len(self.paused)
        assert counts.granted == len(self.grants)
        assert counts.running + counts.granted <= self.places
        assert self.slot.protected_shed == 0
        assert sum(one.apart for one in {**self.running, **self.paused}.values()) <= 1
        waits = {one.class_name for one in self.waiting.values() if not one.apart}
        waits |= {one.class_name for one in self.paused.values()}
        waits |= self.slot._demands.classes
        assert all(self.free_for(class_name) <= 0 for class_name in waits)


SlotMachine.TestCase.settings = settings(max_examples=120, stateful_step_count=40)
TestSlotMachine = SlotMachine.TestCase
