"""Ways to find a prompt part that crashes upstreams, with many processes.

Simulated processes receive requests with one or two crashing parts, no two of them alike, beside
sound ones that share their other parts, while upstreams also crash for other reasons. The last line
is one JSON object with the worst figures of the way that the product uses, and of each other way
under its name.
"""

from __future__ import annotations

import itertools
import random
from collections.abc import Callable, Collection, Iterable, Sequence

import attrs
from _report import print_load_average, print_result, print_table

from burdockquay_coordination import CrashEvidence, Verdict
from burdockquay_coordination.tests.crash_fleet import CrashFleet
from burdockquay_protocol import PartEvidence

SIZES = (4, 28, 100, 300)
BAD_PER_S = (4, 20, 100)
SOUND_PER_S = 40
UPSTREAMS = 40
LOST_EVERY_S = 2.5
"""Time between crashes of an upstream for other reasons, seconds."""

QUIET_S = 5.0
"""Time before the first request with a crashing part, seconds."""

SECONDS = 25.0
SETTLED_S = 6.0
"""Time from the first crash after which sound requests must be served, seconds."""


class DigestCounts(CrashEvidence):
    """The former way: each request is known by its whole content, and no two are alike."""

    def record_crash(self, incarnation, waiting, now) -> list[PartEvidence]:
        """Record nothing that another request could be compared with."""
        return []


class CountsSinceAnswer(CrashEvidence):
    """Refuses each part with three crashes since its last answer, without trials or alibis."""

    def _has_alibi(self, part: str, parts: Collection[str]) -> bool:
        return False

    def _is_refused(self, part: str, now: float) -> bool:
        return len(self._suspects[part].crashes) >= 3

    def _is_trial_due(self, part: str, refused: int, delay_s: float, now: float) -> bool:
        return False


class Intersection(CrashEvidence):
    """Refuses requests with all parts that were there at each of the last three crashes."""

    def __init__(self):
        super().__init__()
        self._sets: list[frozenset[str]] = []

    def record_crash(
        self, incarnation: str, waiting: Iterable[Collection[str]], now: float
    ) -> list[PartEvidence]:
        """Record the parts at a crash."""
        waiting = [tuple(parts) for parts in waiting]
        self._sets.append(frozenset(itertools.chain(*waiting)))
        return super().record_crash(incarnation, waiting, now)

    def merge(self, reports: Iterable[PartEvidence], now: float) -> list[PartEvidence]:
        """Merge the evidence of a peer; one message is one crash."""
        new = super().merge(reports, now)
        crashed = frozenset(item.part for item in new if item.crashes)
        if crashed:
            self._sets.append(crashed)
        return new

    def verdict(self, parts: Collection[str], now: float) -> Verdict:
        """Return how to treat a request."""
        if len(self._sets) < 3:
            return Verdict.CLEAR
        common = frozenset.intersection(*self._sets[-3:])
        is_refused = bool(common) and common <= set(parts)
        return Verdict.QUARANTINED if is_refused else Verdict.CLEAR

    def is_trial_due(self, parts: Collection[str], delay_s: float, now: float) -> bool:
        """Return that there are no trials."""
        return False


WAYS: dict[str, Callable[[], CrashEvidence]] = {
    "kept": CrashEvidence,
    "digest": DigestCounts,
    "count": CountsSinceAnswer,
    "intersection": Intersection,
}


@attrs.frozen
class Outcome:
    """Figures of one way in one setting.

    Parameters
    ----------
    crashes : int
        Upstreams that a crashing part took down; the worst part.
    late_sends : int
        Sends with it later than three seconds after the fifth crash.
    sound_served : float
        Share of the sound requests served at the first try after the crashes, relative to before.
    wrongly_refused : int
        Sound requests that were refused.
    bytes_per_s_per_process : float
    """

    crashes: int
    late_sends: int
    sound_served: float
    wrongly_refused: int
    bytes_per_s_per_process: float


@attrs.frozen
class Setting:
    """One load.

    Parameters
    ----------
    processes : int
    bad_per_s : int
    bad_parts : int
        Number of crashing parts at once.
    loses_others : bool
        Whether upstreams also crash for other reasons.
    """

    processes: int
    bad_per_s: int
    bad_parts: int
    loses_others: bool


def simulate(way: str, setting: Setting, seed: int = 1) -> Outcome:
    """Run one setting and return its figures."""
    rng = random.Random(seed)
    fleet = CrashFleet(setting.processes, UPSTREAMS, seed, WAYS[way])
    fleet.bad = {f"bad{number}" for number in range(setting.bad_parts)}
    names = sorted(fleet.processes)
    sound: list[tuple[float, object]] = []
    plan = _plan(setting, rng)
    for at, kind in plan:
        fleet.advance(at - fleet.now)
        if kind == "lose":
            fleet.lose(rng.randrange(UPSTREAMS))
        elif kind == "bad":
            part = rng.choice(sorted(fleet.bad))
            fleet.ask(rng.choice(names), ("shared", part, f"tenant{rng.randrange(6)}"))
        else:
            parts = ("shared", f"tenant{rng.randrange(6)}")
            sound.append((at, fleet.ask(rng.choice(names), parts)))
    fleet.advance(2.0)
    before = [request for at, request in sound if at < QUIET_S]
    after = [request for at, request in sound if at > QUIET_S + SETTLED_S]
    worst = max(fleet.bad, key=lambda part: len(fleet.crashed_at.get(part, [])))
    return Outcome(
        len(fleet.crashed_at.get(worst, [])),
        max(fleet.late_sends(part) for part in fleet.bad),
        _served(after) / _served(before),
        sum(request.status == "refused" for _, request in sound),
        fleet.bytes_sent / SECONDS / setting.processes,
    )


def _plan(setting: Setting, rng: random.Random) -> Sequence[tuple[float, str]]:
    """Return when each event happens, in order."""
    end = QUIET_S + SECONDS
    plan = [(rng.uniform(0.0, end), "sound") for _ in range(int(SOUND_PER_S * end))]
    bad = int(setting.bad_per_s * SECONDS)
    plan += [(rng.uniform(QUIET_S, end), "bad") for _ in range(bad)]
    if setting.loses_others:
        plan += [(at * LOST_EVERY_S, "lose") for at in range(1, int(end / LOST_EVERY_S))]
    return sorted(plan)


def _served(requests: Sequence) -> float:
    return sum(item.status == "served" and item.sends == 1 for item in requests) / len(requests)


def main() -> None:
    columns = list(attrs.fields_dict(Outcome))
    outcomes: dict[str, list[Outcome]] = {way: [] for way in WAYS}
    for size, per_s in itertools.product(SIZES, BAD_PER_S):
        rows = []
        for parts, loses in ((1, False), (1, True), (2, True)):
            for way in WAYS:
                if way != "kept" and size > 28:
                    continue
                outcome = simulate(way, Setting(size, per_s, parts, loses))
                outcomes[way].append(outcome)
                rows.append((way, parts, loses, *attrs.astuple(outcome)))
        title = f"{size} processes, {per_s} such requests a second"
        print_table(title, ["way", "parts", "other crashes", *columns], rows)
    print_load_average()
    result: dict[str, float] = {}
    for way, found in outcomes.items():
        prefix = "" if way == "kept" else f"{way}_"
        result[f"{prefix}crashes"] = max(item.crashes for item in found)
        result[f"{prefix}late_sends"] = max(item.late_sends for item in found)
        result[f"{prefix}sound_served"] = min(item.sound_served for item in found)
        result[f"{prefix}wrongly_refused"] = sum(item.wrongly_refused for item in found)
        result[f"{prefix}bytes_per_s_per_process"] = max(
            item.bytes_per_s_per_process for item in found
        )
    print_result(result)


if __name__ == "__main__":
    main()
