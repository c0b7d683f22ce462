"""When streams get a copy of their memory."""

import pytest

from burdockquay_coordination.forwarding import LossRate


@pytest.mark.parametrize(
    ("lost", "answer_s", "upstreams", "pays"),
    [(0, 10.0, 5, False), (1, 0.5, 5, False), (1, 2.0, 5, True), (1, 2.0, 26, False)],
)
def test_copies_are_worthwhile_if_a_stream_is_likely_to_lose_its_upstream(
    lost, answer_s, upstreams, pays
):
    """Upstreams crash one after the other, and streams that must not run twice are lost with them.

    Copies save these streams, but cost memory and transfers for every stream while no upstream
    fails.
    """
    losses = LossRate()
    for number in range(lost):
        losses.record_loss(f"u{number}", 0.0)
    assert losses.is_copy_worthwhile(answer_s, upstreams, 1.0) == pays


def test_repeated_losses_of_one_incarnation_count_once():
    losses = LossRate()
    for _ in range(50):
        losses.record_loss("u1", 0.0)
    assert not losses.is_copy_worthwhile(0.5, 5, 0.1)
