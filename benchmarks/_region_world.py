"""Model of regions, the links between them, engines and callers, for ``bench_regions``."""

from __future__ import annotations

import heapq
import itertools
import random
from collections import defaultdict
from collections.abc import Callable, Iterator
from typing import Any

import attrs
import bench_policy

from burdockquay_coordination.forwarding import ListedUpstream, Prompt, Upstream
from burdockquay_coordination.forwarding._choice import rank_preferred_upstreams

WARM_S, SECONDS, DRAIN_S = 2.0, 6.0, 1.5
"""When a case begins and its requests are measured, when arrivals end, and time for the last ones,
seconds."""
WAY_S, NEAR_S, LINK_BYTES_PER_S = 0.03, 0.0009, 30e6 / 8
"""One way between two regions and within one, and capacity of a link in one direction, as in the
example deployment."""
UNLISTED_S, RETRANSMIT_S = 1.5, 0.25
"""Time after which lost upstreams leave the list, and by which a lost packet delays a message."""
LONG_PER_S, SHORT_PER_S, TARGETS = 8.0, 6.0, {True: 0.315, False: 0.635}
"""Requests per second for each engine, and targets of short and long prompts, seconds."""
HOME_SHARE = 0.2
"""Share of the requests that may only be served in the region of their process."""
CASES: dict[str, dict[str, Any]] = {
    "calm": {},
    "hot failure domain": {"hot_domain": 7.0},
    "hot region": {"hot_region": 3.6},
    "upstreams of a region lost": {"lost": True},
    "link full": {"hot_region": 3.6, "capacity": 0.1},
    "link lossy": {"hot_region": 3.6, "loss": 0.05},
    "link cut": {"hot_region": 3.6, "is_cut": True},
}


@attrs.define(eq=False)
class Request:
    """A request of a caller."""

    at: float
    process: int
    prompt: Prompt
    is_short: bool
    stays_home: bool
    first_at: float | None = None
    sends: int = 0

    @property
    def target_s(self) -> float:
        """Target for the first token."""
        return TARGETS[self.is_short]

    @property
    def in_time(self) -> bool:
        """Whether the first token arrived within the target."""
        return self.first_at is not None and self.first_at - self.at <= self.target_s


class Engine(bench_policy.Engine):
    """An engine in a failure domain."""

    def __init__(self, number: int, domain: str, region: str):
        super().__init__(number)
        self.entry = ListedUpstream(f"e{number}", "writers", "10.0.0.1", 80, domain, 64, False, 1)
        self.upstream = Upstream(self.entry)
        self.region = region


@attrs.define
class Link:
    """One direction between two regions."""

    rng: random.Random
    capacity: float = 1.0
    loss: float = 0.0
    is_cut: bool = False
    free_at: float = 0.0
    peers_at: float = 0.0
    peer_bytes: int = 0

    def queue_s(self, now: float) -> float:
        """Return the wait until the link is free."""
        return max(0.0, self.free_at - now)

    def way_s(self, size: int, now: float) -> float:
        """Return the time that a message takes, and occupy the link with it."""
        self.free_at = max(self.free_at, now) + size / (LINK_BYTES_PER_S * self.capacity)
        return self.free_at - now + WAY_S + (self.rng.random() < self.loss) * RETRANSMIT_S

    def peer_way_s(self, size: int, now: float) -> float:
        """Return the same for a message between processes; these stay in order."""
        self.peer_bytes += size if now >= WARM_S else 0
        self.peers_at = max(self.peers_at, now + self.way_s(size, now))
        return self.peers_at - now


class World:
    """The engines, links and requests of one case, in simulated time."""

    def __init__(self, regions: int, size: int, case: dict[str, Any], seed: int):
        self.rng, self.case, self.size, self.now = random.Random(seed), case, size, 0.0
        domains = 6 if regions == 2 else 14
        self.regions = {f"d{n}": f"r{n % regions}" for n in range(domains)}
        count = domains * (28 // domains // (1 if size >= 60 else 2))
        self.engines = [
            Engine(n, f"d{n % domains}", self.regions[f"d{n % domains}"]) for n in range(count)
        ]
        self.links: dict[tuple[str, str], Link] = defaultdict(lambda: Link(self.rng))
        self.domain_of = [f"d{n % domains}" for n in range(size)]
        self.region_of = [self.regions[domain] for domain in self.domain_of]
        self._events: list[tuple] = []
        self._numbers = itertools.count()
        self.requests = sorted(self._make_requests(), key=lambda item: item.at)
        self.cached = list(self._cache_parts())

    def after(self, seconds: float, action: Callable[..., None], *arguments: Any) -> None:
        """Do something later."""
        heapq.heappush(self._events, (self.now + seconds, next(self._numbers), action, arguments))

    def link(self, one: str, other: str) -> Link | None:
        """Return the link from one region to another, None within one."""
        return None if one == other else self.links[one, other]

    def run(self, policy: Any) -> None:
        """Let the case begin and the requests arrive."""
        self.after(WARM_S, self._begin_case, policy)
        for request in self.requests:
            self.after(request.at, policy.arrive, request)
        while self.now < SECONDS + DRAIN_S:
            while self._events and self._events[0][0] <= self.now:
                _, _, action, arguments = heapq.heappop(self._events)
                action(*arguments)
            policy.dispatch()
            self.now += bench_policy.STEP_S
            for engine in self.engines:
                for sent in engine.run(self.now) if engine.queue else ():
                    policy.read(engine, sent)

    def _begin_case(self, policy: Any) -> None:
        for pair in itertools.permutations(set(self.region_of), 2):
            for name in ("capacity", "loss", "is_cut"):
                setattr(
                    self.links[pair], name, self.case.get(name, getattr(self.links[pair], name))
                )
        if "lost" not in self.case:
            return
        for engine in self.engines:
            if engine.region == "r0":
                engine.is_removed = True
                lost, engine.queue = engine.queue, []
                for item in lost:
                    policy.lose(engine, item.request)
        self.after(UNLISTED_S, policy.unlist)

    def _make_requests(self) -> Iterator[Request]:
        per_process = len(self.engines) / self.size
        for process, domain in enumerate(self.domain_of):
            hot = self.case.get("hot_region", 1.0) if self.region_of[process] == "r0" else 1.0
            hot *= self.case.get("hot_domain", 1.0) if domain == "d0" else 1.0
            for is_short, per_s in ((True, SHORT_PER_S), (False, LONG_PER_S)):
                at = 0.0
                while (at := at + self.rng.expovariate(per_s * per_process * hot)) < SECONDS:
                    if at >= WARM_S or self.rng.random() < 1 / hot:
                        parts = self._make_parts(is_short)
                        prompt = Prompt(parts, 290 if is_short else 54)
                        stays_home = self.rng.random() < HOME_SHARE
                        yield Request(at, process, prompt, is_short, stays_home)

    def _make_parts(self, is_short: bool) -> tuple[tuple[str, int], ...]:
        own = f"{self.rng.getrandbits(64):016x}"
        shared = _shared_parts(is_short, self.rng.randrange(4 * len(self.engines)))
        return (*shared, (own, 630 if is_short else int(self.rng.lognormvariate(6.8, 0.8))))

    def _cache_parts(self) -> Iterator[tuple[Engine, str, int]]:
        """Cache each shared part at its preferred engine of each region, as after a long time."""
        for region in sorted(set(self.regions.values())):
            inside = {item.upstream: item for item in self.engines if item.region == region}
            for is_short, number in itertools.product((True, False), range(4 * len(self.engines))):
                parts = _shared_parts(is_short, number)
                engine = inside[rank_preferred_upstreams(list(inside), parts[-1][0], 1)[0]]
                engine.parts |= dict(parts)
                yield from ((engine, *part) for part in parts)


def _shared_parts(is_short: bool, number: int) -> tuple[tuple[str, int], tuple[str, int]]:
    if is_short:
        return (f"a{number % 40:015x}", 120), (f"b{number:015x}", 80)
    return (f"c{number % 4:015x}", 2500), (f"e{number:015x}", 3800)
