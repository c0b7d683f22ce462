"""Placement policies: which of an entry's slots a request is sent to."""

from __future__ import annotations

import math
import random
from abc import ABC, abstractmethod
from collections.abc import Sequence

from burdockquay_state import Registry

from ._types import Candidate, PlacementRequest

placement_policies: Registry[type[PlacementPolicy]] = Registry("placement policy")
"""Placement policies by name."""


class PlacementPolicy(ABC):
    """Base class of the placement policies, which choose a slot among candidates.

    Notes
    -----
    Candidates of weight 0 are ejected, and the request failed before on the candidates that it
    avoids. Both are chosen only if nothing else is left, avoided ones before ejected ones: an
    upstream that failed one request still serves others, an ejected one is known to be bad.
    """

    def choose(
        self,
        candidates: Sequence[Candidate],
        request: PlacementRequest,
        now: float,
        rng: random.Random,
    ) -> Candidate | None:
        """Return a candidate, or None if there is none."""
        usable = [one for one in candidates if one.weight > 0] or list(candidates)
        fresh = [one for one in usable if one.vm not in request.avoid] or usable
        if len(fresh) < 2:
            return fresh[0] if fresh else None
        return self._choose(fresh, request, now, rng)

    @abstractmethod
    def _choose(
        self,
        candidates: Sequence[Candidate],
        request: PlacementRequest,
        now: float,
        rng: random.Random,
    ) -> Candidate:
        """Return one of two or more candidates."""


@placement_policies.register("random")
class RandomPlacement(PlacementPolicy):
    """Chooses uniformly at random."""

    def _choose(self, candidates, request, now, rng):
        return rng.choice(candidates)


@placement_policies.register("round_robin")
class RoundRobinPlacement(PlacementPolicy):
    """Cycles through the candidates in the order of their names."""

    def __init__(self) -> None:
        self._last = ""

    def _choose(self, candidates, request, now, rng):
        first = min(candidates, key=lambda one: one.vm)
        later = (one for one in candidates if one.vm > self._last)
        chosen = min(later, key=lambda one: one.vm, default=first)
        self._last = chosen.vm
        return chosen


@placement_policies.register("least_reported")
class LeastReportedPlacement(PlacementPolicy):
    """Chooses the candidate with the smallest reported load per place."""

    def _choose(self, candidates, request, now, rng):
        return min(candidates, key=lambda one: (one.reported / one.places, one.vm))


@placement_policies.register("two_choices")
class TwoChoicesPlacement(PlacementPolicy):
    """Chooses from two random candidates the one with the smaller reported load per place."""

    def _choose(self, candidates, request, now, rng):
        return min(rng.sample(candidates, 2), key=lambda one: one.reported / one.places)


@placement_policies.register("scored")
class ScoredPlacement(PlacementPolicy):
    """Chooses from a random sample the candidate with the smallest expected cost.

    Parameters
    ----------
    sample : int
        Number of candidates that are compared.
    age_s : float
        Time constant with which a reported load loses its influence, seconds.
    prefix_gain : float
        Cost reduction for a fully cached prompt, as a fraction of an upstream's places.
    domain_cost : float
        Extra cost of another failure domain, as a fraction of an upstream's places.

    Notes
    -----
    The load of a candidate is the number of requests that this entry has outstanding there, which
    is always current, plus the load of other entries at the last report. With the age of the report
    the latter drifts to the mean over the sampled candidates: an old report no longer distinguishes
    slots, and entries that received the same old report do not all follow it. The random sample
    keeps entries that received the same recent report from choosing the same slot.

    The load per place is scaled by the step time relative to the median and divided by the health
    weight, which distributes work in proportion to the weights.
    """

    def __init__(
        self,
        sample: int = 4,
        age_s: float = 0.5,
        prefix_gain: float = 0.25,
        domain_cost: float = 0.05,
    ):
        self.sample = sample
        self.age_s = age_s
        self.prefix_gain = prefix_gain
        self.domain_cost = domain_cost

    def _choose(self, candidates, request, now, rng):
        sampled = rng.sample(candidates, min(self.sample, len(candidates)))
        others = [_load_of_others(one) / one.places for one in sampled]
        mean = sum(others) / len(others)
        steps = sorted(one.step_s for one in sampled if one.step_s > 0)
        median = steps[len(steps) // 2] if steps else 0.0
        costs = [
            self._cost(
                one, request, _drift_to_mean(other, mean, one.report_age_s / self.age_s), median
            )
            for one, other in zip(sampled, others, strict=True)
        ]
        return sampled[costs.index(min(costs))]

    def _cost(
        self, one: Candidate, request: PlacementRequest, others: float, median: float
    ) -> float:
        load = (one.outstanding + 1) / one.places + others
        slowness = one.step_s / median if one.step_s > 0 else 1.0
        cost = load * slowness / max(one.weight, 1e-3)
        if request.prefix_blocks:
            cost -= self.prefix_gain * one.prefix_overlap / request.prefix_blocks
        if one.failure_domain != request.failure_domain:
            cost += self.domain_cost
        return cost


def _load_of_others(one: Candidate) -> int:
    """Return the load of other entries on the candidate at its last report."""
    return max(0, one.reported - one.outstanding_at_report)


def _drift_to_mean(figure: float, mean: float, age: float) -> float:
    """Return the load after drifting to the mean; the age is in time constants."""
    return mean + (figure - mean) * math.exp(-max(0.0, age))
