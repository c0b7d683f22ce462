"""Tests that the batch keeps its limits and drops no token under any sequence of operations."""

from hypothesis import strategies as st
from hypothesis.stateful import Bundle, RuleBasedStateMachine, invariant, rule

from burdockquay_standins._batch import Batch, GeneratedSequence, SequenceState

PLACES = 3


class BatchMachine(RuleBasedStateMachine):
    sequences = Bundle("sequences")

    def __init__(self):
        super().__init__()
        self.batch = Batch(PLACES)
        self.all = []
        self.received_tokens = {}

    @rule(target=sequences, length=st.integers(2, 5), priority=st.integers(0, 2))
    def add(self, length, priority):
        tokens = [f"{len(self.all)}-{index}" for index in range(length)]
        sequence = GeneratedSequence(str(len(self.all)), tokens, 1, priority)
        self.all.append(sequence)
        self.received_tokens[sequence] = tokens[:1]
        self.batch.add(sequence)
        return sequence

    @rule(sequence=sequences)
    def pause(self, sequence):
        self.batch.pause(sequence)
        assert sequence.ended or sequence.state is SequenceState.PAUSED

    @rule(sequence=sequences)
    def resume(self, sequence):
        assert self.batch.resume(sequence) is not sequence.ended

    @rule(sequence=sequences)
    def cancel(self, sequence):
        ended_before = sequence.ended
        assert self.batch.cancel(sequence) is not ended_before
        assert sequence.ended

    @rule()
    def crash(self):
        self.batch.crash()
        assert all(sequence.ended for sequence in self.all)
        assert not self.batch.running and not self.batch.paused

    @rule()
    def step(self):
        running = len(self.batch.running)
        assert self.batch.step(0.001) == running
        for sequence in self.all:
            self.received_tokens[sequence] += sequence.take_new_tokens()

    @invariant()
    def capacity_is_kept_and_fully_used(self):
        running = self.batch.running
        states = [sequence.state for sequence in self.all]
        assert len(running) == len(set(running)) == states.count(SequenceState.RUNNING) <= PLACES
        assert self.batch.queued == states.count(SequenceState.QUEUED)
        assert not self.batch.queued or len(running) == PLACES

    @invariant()
    def tokens_are_in_order_without_gaps_or_repeats(self):
        for sequence in self.all:
            assert self.received_tokens[sequence] == sequence.tokens[: sequence.position]
            if sequence.state is SequenceState.FINISHED:
                assert self.received_tokens[sequence] == sequence.tokens


TestBatch = BatchMachine.TestCase


def test_queue_is_ordered_by_priority_then_arrival():
    batch = Batch(places=1)
    ranks = (0, 0, 5, 1, 5)
    sequences = [GeneratedSequence(str(i), ["a"], priority=p) for i, p in enumerate(ranks)]
    order = []
    for sequence in sequences:
        batch.add(sequence)
    while batch.running:
        order.append(batch.running[0].request)
        batch.step(0.001)
    assert order == ["0", "2", "4", "3", "1"]
