"""Times that the engines of one service take, estimated from the observed answers."""

from __future__ import annotations

from ..regions import SINGLE_REGION, RegionDelays, RegionMap
from ._linear import LinearModel
from ._mechanisms import ALL_ON, Mechanism, Switches
from ._reading import FirstTokenModel
from ._steady_reservation import SteadyReservation
from ._upstream import Upstream

FIRST_S = 0.03
TOKEN_S = 1 / 50_000
USUAL_TOKENS = 5000
"""Initial values for the first token: seconds for an empty prompt, seconds for each token that is
read, and a usual number of tokens. They are of the order of present accelerators; wrong ones are
outweighed after some thirty requests."""

USUAL_SHORT_TOKENS = 500
"""Usual number of tokens of prompts that overtake others."""

FETCH_S = 0.005
FETCH_TOKEN_S = 1 / 1_000_000
"""Initial values for fetching tokens from another engine: seconds for any fetch, seconds for each
token. They are low, so that fetches are tried; where fetching is slower than reading, or engines do
not support it, some thirty requests show that."""

EVENT_S = 0.03
EVENT_PER_RUNNING_S = 0.001
USUAL_RUNNING = 20
"""Initial values for the time between two events of an answer: seconds for an idle engine, seconds
for each running request, and a usual number of running requests."""

TOKENS_PER_EVENT = 4.0
"""Initial value of the number of answer tokens in one event."""

TOKENS_PER_EVENT_WEIGHT = 0.05
"""Weight of the newest complete answer in the tokens per event."""


class EngineModel:
    """Predicts first tokens and complete answers of the engines of one service.

    The time to the first token grows with the prompt tokens that are read before it, the time
    between two events with the number of running requests. Both are linear models common to all
    engines; a speed factor for each engine describes its deviation. Short prompts, which overtake
    the others, have a model of their own.

    Parameters
    ----------
    switches : Switches
        Switches of the mechanisms that use this model.
    delays : RegionDelays or None
        Distances of the regions; None where the settings name none.

    Attributes
    ----------
    processes : int
        Number of processes that place prompts, each with a model of its own.
    """

    def __init__(self, switches: Switches = ALL_ON, delays: RegionDelays | None = None):
        self.switches = switches
        self.delays = delays or RegionDelays(SINGLE_REGION)
        self.processes = 1
        self.steady_reservation = SteadyReservation()
        self.first_token = FirstTokenModel(FIRST_S, TOKEN_S)
        self.short_first_token = LinearModel(FIRST_S, TOKEN_S, USUAL_SHORT_TOKENS)
        self.fetch = LinearModel(FETCH_S, FETCH_TOKEN_S, USUAL_TOKENS)
        self.event = LinearModel(EVENT_S, EVENT_PER_RUNNING_S, USUAL_RUNNING)
        self.tokens_per_event = TOKENS_PER_EVENT

    @property
    def region_map(self) -> RegionMap:
        """The regions of the failure domains."""
        return self.delays.region_map

    def first_token_s(
        self, upstream: Upstream, tokens: float, now: float, is_short: bool = False
    ) -> float:
        """Return the predicted time to a first token, seconds.

        Parameters
        ----------
        upstream : Upstream
        tokens : float
            Prompt tokens that are read before it: those of requests ahead and the request's own.
        now : float
        is_short : bool
            Whether the request overtakes long prompts; ``tokens`` are then its own alone.
        """
        return self._first_token_model(is_short).predict(tokens) * self._reading_factor(
            upstream, now
        )

    def reading_s(self, upstream: Upstream, tokens: float, now: float) -> float:
        """Return how long an engine takes to read tokens, seconds."""
        return tokens * self.first_token.slope * self._reading_factor(upstream, now)

    def fetch_s(self, tokens: float) -> float:
        """Return how long an engine takes to fetch tokens from another one, seconds."""
        return self.fetch.predict(tokens)

    def answer_s(self, upstream: Upstream, tokens: float, now: float) -> float:
        """Return the predicted time from the first to the last token of an answer, seconds."""
        running = upstream.running(now)
        event_s = self.event.predict(running) * self._writing_factor(upstream, now)
        return tokens / self.tokens_per_event * event_s

    def update_first_token(
        self,
        upstream: Upstream,
        ahead: float,
        own: float,
        seconds: float,
        now: float,
        fetched: int = 0,
        is_short: bool = False,
    ) -> None:
        """Update the models with the time that a first token took.

        Parameters
        ----------
        upstream : Upstream
        ahead : float
            Prompt tokens of other requests that were to be read before it.
        own : float
            Prompt tokens of its own that were to be read.
        seconds : float
        now : float
        fetched : int
            Prompt tokens that were fetched; the time beyond the predicted reading is then taken as
            the time of the fetch.
        is_short : bool
            See :meth:`first_token_s`.
        """
        tokens = ahead + own
        if fetched:
            reading_s = self.first_token_s(upstream, tokens, now, is_short)
            self.fetch.add_sample(fetched, seconds - reading_s)
            return
        model = self._first_token_model(is_short)
        upstream.reading.add_sample(seconds / model.predict(tokens), now)
        model.add_sample(tokens, seconds)
        self.first_token.record_own_reading(own, seconds)

    def _reading_factor(self, upstream: Upstream, now: float) -> float:
        uses = self.switches.uses(Mechanism.SPEED_FACTORS)
        return upstream.reading.value(now) if uses else 1.0

    def _writing_factor(self, upstream: Upstream, now: float) -> float:
        uses = self.switches.uses(Mechanism.SPEED_FACTORS)
        return upstream.writing.value(now) if uses else 1.0

    def _first_token_model(self, is_short: bool) -> LinearModel | FirstTokenModel:
        return self.short_first_token if is_short else self.first_token

    def update_answer(
        self, upstream: Upstream, tokens: int, events: int, seconds: float, now: float
    ) -> None:
        """Update the models with an answer: the events after its first one, and their time."""
        if events < 1:
            return
        event_s = seconds / events
        running = upstream.running(now)
        upstream.writing.add_sample(event_s / self.event.predict(running), now)
        self.event.add_sample(running, event_s)
        if tokens:
            ratio = tokens / (events + 1)
            self.tokens_per_event += TOKENS_PER_EVENT_WEIGHT * (ratio - self.tokens_per_event)
