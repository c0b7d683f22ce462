"""Order in which prompts that wait start."""

import itertools

from burdockquay_coordination.forwarding import HoldReason, PromptQueue, _placing, _waiting
from burdockquay_coordination.forwarding._choice import rank_preferred_upstreams

from .prompt_samples import TARGETS, long_prompt, make_waiting, place, short_prompt


def test_late_urgent_request_starts_before_a_less_urgent_one_in_time(upstreams, model):
    """Guards against urgent requests that wait until they are refused while others start."""
    queue = PromptQueue()
    late = make_waiting(long_prompt(1), 0.0, urgency=0, target_s=0.25)
    other = make_waiting(long_prompt(2), 1.0, urgency=1, target_s=0.5)
    queue.add(other)
    queue.add(late)
    starts = [start.waiting for start in queue.take_starts(upstreams, model, TARGETS, 1.0)]
    assert starts == [late, other]


def test_late_urgent_request_starts_behind_the_backlog_that_others_may_have(upstreams, model):
    """Guards against upstreams that are kept busy by less urgent requests alone."""
    queue = PromptQueue()
    late = make_waiting(long_prompt(1), 0.0, urgency=0, target_s=0.25)
    queue.add(late)
    queue.add(make_waiting(long_prompt(2), 1.0, urgency=1, target_s=0.5))
    for upstream in upstreams:
        upstream.pending.add("others", 5_000, 1.0)
    start = queue.take_start(upstreams, model, TARGETS, 1.0)
    assert start is not None and start.waiting is late


def test_less_urgent_requests_get_turns_while_late_urgent_ones_wait(upstreams, model):
    """Guards against a burst of urgent requests that stops all others until it is over."""
    queue = PromptQueue()
    for number in range(3 * _waiting.MAX_CANDIDATES_PER_ROUND):
        queue.add(make_waiting(short_prompt(number), 0.0, urgency=0, target_s=0.25))
    for number in range(5):
        queue.add(make_waiting(long_prompt(number), 1.0, urgency=1, target_s=9.0))
    ranks = []
    while len(ranks) < 3 * (_waiting.MAX_PASSED_OVER + 1):
        starts = queue.take_starts(upstreams, model, TARGETS, 1.0)
        ranks += [start.waiting.rank for start in itertools.islice(starts, 10)]
    turns = [number for number, rank in enumerate(ranks) if rank == 1]
    assert turns[0] == _waiting.MAX_PASSED_OVER
    assert turns[1] - turns[0] == _waiting.MAX_PASSED_OVER + 1


def test_urgent_requests_in_time_go_before_all_others(upstreams, model):
    """Guards against turns of less urgent requests that make urgent ones late."""
    queue = PromptQueue()
    for number in range(3 * _waiting.MAX_PASSED_OVER):
        queue.add(make_waiting(short_prompt(number), 0.0, urgency=0, target_s=9.0))
    queue.add(make_waiting(long_prompt(), 0.0, urgency=1, target_s=9.0))
    starts = [start.waiting.rank for start in queue.take_starts(upstreams, model, TARGETS, 0.0)]
    assert starts == sorted(starts) and len(starts) == 3 * _waiting.MAX_PASSED_OVER + 1


def test_requests_in_time_are_evaluated_where_many_late_ones_of_their_rank_wait(upstreams, model):
    """Guards against requests that become late because only older ones are evaluated."""
    queue = PromptQueue()
    for number in range(2 * _waiting.MAX_CANDIDATES_PER_ROUND):
        queue.add(make_waiting(short_prompt(number), 0.0, urgency=0, target_s=0.25))
    in_time = make_waiting(short_prompt(-1), 1.0, urgency=0, target_s=0.25)
    queue.add(in_time)
    assert queue.take_start(upstreams, model, TARGETS, 1.0).waiting is in_time


def test_urgent_prompt_uses_a_free_place_beyond_its_preferred_upstreams(make_upstream, model):
    """Guards against urgent requests that wait for full upstreams while others have places."""
    model.processes = _placing.LARGE_FLEET_PROCESSES
    upstreams = [make_upstream(f"u{number}") for number in range(20)]
    prompt = short_prompt()
    free = rank_preferred_upstreams(upstreams, prompt.key, 20)[-1]
    for upstream in upstreams:
        upstream.outstanding = 0 if upstream is free else upstream.entry.places
    assert place(upstreams, prompt, model, 0.0).upstream is free


def test_start_names_the_more_urgent_requests_that_still_wait(upstreams, model):
    """A log without them cannot tell why an urgent request was refused while others started."""
    queue = PromptQueue()
    urgent = make_waiting(long_prompt(1), 0.0, urgency=0, target_s=0.5)
    urgent.tried = [item.id for item in upstreams]
    queue.add(urgent)
    queue.add(make_waiting(long_prompt(2), 0.0, urgency=1, target_s=0.5))
    passed_over = queue.take_start(upstreams, model, TARGETS, 0.0).passed_over
    assert (passed_over.count, passed_over.oldest) == (1, urgent)
    assert passed_over.reasons == {HoldReason.NO_UPSTREAM: 1}
