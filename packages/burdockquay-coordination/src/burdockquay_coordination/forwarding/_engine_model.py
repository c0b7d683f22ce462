"""How long the engines of one service take, learned from what callers see."""

from __future__ import annotations

from ._linear import LinearModel
from ._mechanisms import ALL_ON, Mechanism, Switches
from ._pace import PaceGuard
from ._reading import ReadingLine
from ._upstreams import Upstream

FIRST_S = 0.03
TOKEN_S = 1 / 50_000
USUAL_TOKENS = 5000
"""First guesses for the first token: seconds for an empty prompt, seconds for each token that is
read, and a usual number of tokens. They are of the order of present accelerators; wrong ones are
forgotten after some thirty requests."""

USUAL_SHORT_TOKENS = 500
"""The same for prompts that overtake others."""

FETCH_S = 0.005
FETCH_TOKEN_S = 1 / 1_000_000
"""First guesses for the fetching of tokens from another engine: seconds for any fetch, seconds for
each token. They are low, so that fetches are tried; where fetching does not pay, or engines do not
know of it, some thirty requests show that."""

EVENT_S = 0.03
EVENT_PER_RUNNING_S = 0.001
USUAL_RUNNING = 20
"""First guesses for the time between two events of an answer: seconds where nothing else runs,
seconds for each running request, and a usual number of them."""

TOKENS_PER_EVENT = 4.0
"""First guess of the tokens of an answer that one event stands for."""

RATIO_WEIGHT = 0.05
"""Weight of the newest whole answer in that figure."""


class EngineModel:
    """Predicts first tokens and whole answers of the engines of one service.

    The time to the first token grows with the prompt tokens that are read before it, the time
    between two events with the requests that run. Both are lines common to all engines; a factor
    for each engine tells how far it is off them. Short prompts, which overtake the others, have a
    line of their own.

    Parameters
    ----------
    switches : Switches
        Mechanisms that decide by this model.

    Attributes
    ----------
    processes : int
        How many processes decide by such a model, each by itself.
    """

    def __init__(self, switches: Switches = ALL_ON):
        self.switches = switches
        self.processes = 1
        self.pace = PaceGuard()
        self.first_token = ReadingLine(FIRST_S, TOKEN_S)
        self.short_first_token = LinearModel(FIRST_S, TOKEN_S, USUAL_SHORT_TOKENS)
        self.fetch = LinearModel(FETCH_S, FETCH_TOKEN_S, USUAL_TOKENS)
        self.event = LinearModel(EVENT_S, EVENT_PER_RUNNING_S, USUAL_RUNNING)
        self.tokens_per_event = TOKENS_PER_EVENT

    def first_token_s(
        self, upstream: Upstream, tokens: float, now: float, is_short: bool = False
    ) -> float:
        """Return the predicted time to a first token, seconds.

        Parameters
        ----------
        upstream : Upstream
        tokens : float
            Prompt tokens that are read before it: those of others ahead and the request's own.
        now : float
        is_short : bool
            Whether it overtakes long prompts; ``tokens`` are then its own alone.
        """
        return self._line(is_short).predict(tokens) * self._reading_factor(upstream, now)

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

    def learn_first_token(
        self,
        upstream: Upstream,
        ahead: float,
        own: float,
        seconds: float,
        now: float,
        fetched: int = 0,
        is_short: bool = False,
    ) -> None:
        """Take in how long a first token took.

        Parameters
        ----------
        upstream : Upstream
        ahead : float
            Prompt tokens of others that were to be read before it.
        own : float
            Prompt tokens of its own that were.
        seconds : float
        now : float
        fetched : int
            Prompt tokens that were fetched; what is over the time of the reading is then the time
            of the fetch.
        is_short : bool
            See :meth:`first_token_s`.
        """
        tokens = ahead + own
        if fetched:
            reading_s = self.first_token_s(upstream, tokens, now, is_short)
            self.fetch.learn(fetched, seconds - reading_s)
            return
        line = self._line(is_short)
        upstream.reading.learn(seconds / line.predict(tokens), now)
        line.learn(tokens, seconds)
        self.first_token.note_read(own, seconds)

    def _reading_factor(self, upstream: Upstream, now: float) -> float:
        uses = self.switches.uses(Mechanism.SPEED_FACTORS)
        return upstream.reading.value(now) if uses else 1.0

    def _writing_factor(self, upstream: Upstream, now: float) -> float:
        uses = self.switches.uses(Mechanism.SPEED_FACTORS)
        return upstream.writing.value(now) if uses else 1.0

    def _line(self, is_short: bool) -> LinearModel | ReadingLine:
        return self.short_first_token if is_short else self.first_token

    def learn_answer(
        self, upstream: Upstream, tokens: int, events: int, seconds: float, now: float
    ) -> None:
        """Take in the pace of an answer: its events behind the first one, and their time."""
        if events < 1:
            return
        event_s = seconds / events
        running = upstream.running(now)
        upstream.writing.learn(event_s / self.event.predict(running), now)
        self.event.learn(running, event_s)
        if tokens:
            ratio = tokens / (events + 1)
            self.tokens_per_event += RATIO_WEIGHT * (ratio - self.tokens_per_event)
