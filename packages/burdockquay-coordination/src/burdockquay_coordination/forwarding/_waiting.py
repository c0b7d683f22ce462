"""How prompts wait for an upstream, and when one is refused instead."""

from __future__ import annotations

from collections.abc import Collection, Sequence
from typing import Any

import attrs

from ._placing import Placement, place_prompt
from ._prefill import PrefillModel
from ._prompts import Prompt
from ._upstreams import Upstream

WINDOW_SHARE = 0.5
"""Part of the tightest target of a service that unread prompts may take at an upstream before less
urgent work waits here. An urgent request that comes next then still meets its target, and what
waits here can go to whichever upstream is free first."""

URGENT_SHARE = 0.8
"""The same part for the most urgent work, of its own target."""

LATE_SHARE = 0.5
"""Part of the window up to which work that has missed its target is started."""

MARGIN = 0.9
"""Part of a target that a prediction must keep to count as in time."""

MAX_LOOKED_AT = 30
"""Waiting requests that one round looks at: those behind them would find no room either."""


@attrs.define(eq=False)
class WaitingPrompt:
    """A request that waits for an upstream.

    Parameters
    ----------
    prompt : Prompt
    urgency : int
        0 is the most urgent.
    target_at : float
        When the first token is due.
    give_up_at : float
        When it is refused if it has not started.
    tried : collection of str
        Upstreams it was sent to before.
    owner : object
        Whatever the caller of the queue wants to find it by.
    """

    prompt: Prompt
    urgency: int
    target_at: float
    give_up_at: float
    tried: Collection[str]
    owner: Any = None


@attrs.frozen
class Start:
    """A waiting request that may start now.

    Parameters
    ----------
    waiting : WaitingPrompt
    placement : Placement
    late : bool
        Whether its target cannot be met any more.
    """

    waiting: WaitingPrompt
    placement: Placement
    late: bool


class PromptQueue:
    """Requests of one service that wait for an upstream.

    Upstreams read the prompts that they have in the order they came, and a long prompt delays every
    first token behind it. Under a burst of long prompts, sending all at once makes all late, the
    short urgent ones first of all. So less urgent requests wait here while an upstream has much to
    read. Requests that have missed their target go last: serving them first would make the next
    ones late as well, and none would ever be in time until the burst is over.
    """

    def __init__(self):
        self._waiting: list[WaitingPrompt] = []

    def __len__(self) -> int:
        return len(self._waiting)

    @property
    def tokens(self) -> int:
        """Prompt tokens that wait."""
        return sum(item.prompt.own_tokens for item in self._waiting)

    def add(self, waiting: WaitingPrompt) -> None:
        """Let a request wait."""
        self._waiting.append(waiting)

    def remove(self, waiting: WaitingPrompt) -> None:
        """Take a request out, whether or not it still waits."""
        if waiting in self._waiting:
            self._waiting.remove(waiting)

    def take_all(self) -> list[WaitingPrompt]:
        """Take out every request."""
        taken, self._waiting = self._waiting, []
        return taken

    def take_expired(self, now: float) -> list[WaitingPrompt]:
        """Take out the requests that are to be refused now."""
        expired = [item for item in self._waiting if now >= item.give_up_at]
        for item in expired:
            self._waiting.remove(item)
        return expired

    def take_start(
        self,
        upstreams: Sequence[Upstream],
        model: PrefillModel,
        tightest_s: float,
        now: float,
    ) -> Start | None:
        """Take out the first request that may start, None if none may.

        Parameters
        ----------
        upstreams : sequence of Upstream
        model : PrefillModel
        tightest_s : float
            Tightest target for the first token among the routes of the service, seconds.
        now : float
        """
        ranked = sorted(self._waiting, key=lambda item: _rank(item, model, now))
        most_urgent = ranked[0].urgency if ranked else 0
        for item in ranked[:MAX_LOOKED_AT]:
            placement = place_prompt(upstreams, item.prompt, model, item.tried, now)
            if placement is None:
                return None
            late = _is_late(item, model, now)
            if placement.backlog_s <= _window(item, late, most_urgent, tightest_s, now):
                self._waiting.remove(item)
                return Start(item, placement, late)
        return None


def _is_late(item: WaitingPrompt, model: PrefillModel, now: float) -> bool:
    return now + MARGIN * model.predict(item.prompt.own_tokens) > item.target_at


def _rank(item: WaitingPrompt, model: PrefillModel, now: float) -> tuple[bool, int, float]:
    return (_is_late(item, model, now), item.urgency, item.target_at)


def _window(
    item: WaitingPrompt, late: bool, most_urgent: int, tightest_s: float, now: float
) -> float:
    """Return the longest reading of other prompts behind which a request is started, seconds."""
    if late:
        return LATE_SHARE * WINDOW_SHARE * tightest_s
    if item.urgency <= most_urgent:
        return max(URGENT_SHARE * (item.target_at - now), WINDOW_SHARE * tightest_s)
    return WINDOW_SHARE * tightest_s
