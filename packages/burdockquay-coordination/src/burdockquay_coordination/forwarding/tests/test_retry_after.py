"""Time after which rejected callers retry."""

import random

import pytest

from burdockquay_coordination.forwarding import PeerAvailability, leaving_delay_s, retry_delay_s


def test_status_of_another_process_expires():
    """A process is cut off from the others just after it reported that it can serve.

    If callers were still referred there, they would use up their retries at processes that reject
    them too.
    """
    others = PeerAvailability()
    assert not others.can_serve(0.0)
    others.receive_update("one", True, 0.0)
    others.receive_update("two", False, 0.0)
    assert others.can_serve(1.0)
    assert not others.can_serve(5.0)
    others.receive_update("one", True, 5.0)
    others.forget("one")
    assert not others.can_serve(5.0)


@pytest.mark.parametrize("patience_s", [None, 0.0, 0.01, 1.0, 12.0])
def test_retries_are_spread_and_within_a_third_of_the_patience(patience_s):
    """Many patient callers are rejected at the same moment.

    With the same delay for all of them they would retry together and be rejected again.
    """
    rng = random.Random(1)
    longest = 2.0 if patience_s is None else patience_s / 3
    times = {retry_delay_s(patience_s, False, rng) for _ in range(50)}
    assert all(0 <= time <= longest for time in times)
    assert len(times) > 40 or patience_s == 0.0


def test_referred_callers_retry_almost_at_once():
    rng = random.Random(1)
    assert all(retry_delay_s(12.0, True, rng) <= 0.05 for _ in range(50))


@pytest.mark.parametrize(
    ("patience_s", "unnoticed_s", "has_neighbour", "shortest_s", "longest_s"),
    [
        (15.0, 2.0, False, 2.0, 2.3),
        (15.0, 2.0, True, 0.005, 0.05),
        (15.0, -0.5, False, 0.005, 0.05),
        (1.0, 2.0, False, 1.0, 1.0),
        (None, 2.0, False, 2.0, 2.3),
    ],
)
def test_caller_of_a_leaving_process_returns_once_it_reaches_another(
    patience_s, unnoticed_s, has_neighbour, shortest_s, longest_s
):
    """Guards against retries that the load balancer sends to the process that rejected them."""
    rng = random.Random(1)
    times = [leaving_delay_s(patience_s, unnoticed_s, has_neighbour, rng) for _ in range(50)]
    assert shortest_s <= min(times) and max(times) <= longest_s
