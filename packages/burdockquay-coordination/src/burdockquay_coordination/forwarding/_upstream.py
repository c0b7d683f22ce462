"""State of one upstream of a forwarder: its listed entry and what was observed of it."""

from __future__ import annotations

from collections.abc import Callable

from ..sending._cold_start import ColdStart
from ..sending._evacuations import Evacuations
from ..sending._run_statements import RunStatements
from ..sending._shared_limit import SharedLimit
from ._linear import SpeedFactor
from ._listed_upstream import ListedUpstream
from ._pending import LoadShare, PendingPrompts
from ._prompts import Prompt, PromptMemory
from ._upstream_health import UpstreamHealth


class Upstream:
    """State of one upstream as observed by this process.

    Parameters
    ----------
    entry : ListedUpstream
    spread : float
        See :class:`UpstreamHealth`.
    evacuations : Evacuations or None
        Those of the registry, looked up at each decision; None if there are never any.
    """

    def __init__(
        self, entry: ListedUpstream, spread: float = 0.0, evacuations: Evacuations | None = None
    ):
        self.entry = entry
        self.evacuations = evacuations
        self.outstanding = 0
        self.pending = PendingPrompts()
        self.memory = PromptMemory()
        self.unsent_parts: dict[str, int] = {}
        self.reading = SpeedFactor()
        self.writing = SpeedFactor()
        self.is_removed = False
        self.ended = False
        self._run_cancellers: set[Callable[[], None]] = set()
        self.health = UpstreamHealth(spread)
        self.statements = RunStatements(SharedLimit(), spread)

    @property
    def limit(self) -> SharedLimit:
        """Its request rate limit."""
        return self.statements.limit

    @property
    def cold(self) -> ColdStart:
        """Its cold start."""
        return self.limit.cold

    @property
    def is_leaving(self) -> bool:
        """Whether it leaves, by the list or by its own statement."""
        return self.entry.leaving or self.statements.leaving.in_force

    @property
    def is_evacuated(self) -> bool:
        """Whether the operator has evacuated its failure domain."""
        evacuations = self.evacuations
        return evacuations is not None and evacuations.is_evacuated(self.entry.failure_domain)

    @property
    def id(self) -> str:
        """Id, which stays the same when the upstream restarts."""
        return self.entry.id

    @property
    def incarnation(self) -> str:
        """Name of the run of the upstream's process that this state belongs to."""
        return self.entry.incarnation

    @property
    def address(self) -> str:
        """Host and port."""
        host = f"[{self.entry.host}]" if ":" in self.entry.host else self.entry.host
        return f"{host}:{self.entry.port}"

    def share(self) -> LoadShare:
        """Return the load that this process has at the upstream."""
        return LoadShare(self.pending.own_tokens, self.outstanding)

    def running(self, now: float) -> int:
        """Return the number of requests that all processes have at the upstream."""
        return self.outstanding + self.pending.running_elsewhere(now)

    def has_place(self, now: float) -> bool:
        """Return whether the upstream runs fewer requests than it can run at once."""
        return self.running(now) < self.entry.places

    def record_sent(self, prompt: Prompt) -> None:
        """Record that a prompt was sent to the upstream."""
        for part, tokens in prompt.parts:
            self.memory.record_pending_read(part, tokens)

    def record_abandoned(self, prompt: Prompt) -> None:
        """Record that a request ended at the upstream before its first token."""
        for part, _ in prompt.parts:
            self.memory.record_abandoned(part)

    def record_prompt_read(self, prompt: Prompt) -> None:
        """Record that a prompt was read at the upstream, and queue its parts for peers."""
        for part, tokens in prompt.parts:
            self.memory.record_read(part, tokens)
            self.unsent_parts[part] = tokens

    def take_unsent_parts(self) -> dict[str, int]:
        """Return and clear the parts that have not been sent to peers yet."""
        unsent, self.unsent_parts = self.unsent_parts, {}
        return unsent

    def accepts_work(self) -> bool:
        """Return whether new requests may be sent, now or later."""
        return not (self.is_removed or self.is_leaving or self.is_evacuated)

    def may_start(self, now: float) -> bool:
        """Return whether its limit and its rest allow this process to send a request now."""
        statements = self.statements
        return statements.limit.may_start(now) and statements.rest.may_send(now)

    def is_restricted(self, now: float) -> bool:
        """Return whether it limits its requests, is cold, rests, or recovers from a rest."""
        return self.limit.binds(now) or self.statements.rest.binds(now)

    def held_back_by(self, now: float) -> str | None:
        """Return what allows no request of this process now, None if nothing does."""
        if self.is_evacuated:
            return "evacuation"
        statements = self.statements
        if statements.leaving.in_force:
            return "leaving"
        if not statements.rest.may_send(now):
            return "rest"
        if statements.limit.may_start(now):
            return None
        return "cold_start" if self.cold.binds(now) else "request_rate"

    def take_start(self, rank: int, now: float) -> None:
        """Count a request that is sent to it.

        Raises
        ------
        ValueError
            If its request rate limit does not allow it.
        """
        self.limit.take(rank, now)
        self.statements.rest.record_sent()

    def add_run(self, end: Callable[[], None]) -> None:
        """Record a running request, with a callback that ends it if the upstream restarts."""
        self._run_cancellers.add(end)

    def remove_run(self, end: Callable[[], None]) -> None:
        """Remove the callback of a request that has ended."""
        self._run_cancellers.discard(end)

    def record_ended(self) -> None:
        """Record that this run of the process is over because a later one has replaced it.

        The connections of its requests may stay open without sending anything, as behind a broken
        link. Without the callbacks, callers would wait until the kernel gives up, seconds later,
        for answers that cannot arrive any more.
        """
        self.is_removed = True
        self.ended = True
        cancellers, self._run_cancellers = self._run_cancellers, set()
        for end in cancellers:
            end()
