"""Keeps configuration and upstreams of a forwarder up to date."""

from __future__ import annotations

import asyncio

from result import Err

from burdockquay_coordination.forwarding import ForwardConfig, UpstreamBook, UpstreamChanges
from burdockquay_state import TableError

from .._events import Event, log_event
from ._state import ForwarderState

NEWS_WAIT_S = 1.7
"""How long the platform holds a question for news, seconds. Each answer confirms what is known, so
this is also the age that the configuration reaches on a calm day."""

FIRST_ERA = 1
"""Era of a store that has never come back from a copy."""

LIST_WAIT_S = 2.5
"""The same for the list of upstreams, seconds. Nothing lapses here; the end of the wait only shows
that the connection still lives."""

FIRST_PAUSE_S = 0.05
MAX_PAUSE_S = 0.6
"""Pauses after failed questions, seconds: doubled from the first to the last, with jitter. Keys are
honoured for 3.6 s after the last answer (of 5 s), so some questions fit in before they lapse."""

GATHER_S = 0.1
"""Pause after news of upstreams before the next question, seconds: when many start or leave
together, one answer brings the changes of a tenth of a second. Short beside the two seconds and
more that a leaving upstream still serves."""

SETTLE_S = 0.25
"""Time between two looks at upstreams that vanished from the list, seconds."""


class _Pauses:
    """Growing pauses between failed questions, and one log line for each loss and return."""

    def __init__(self, state: ForwarderState, lost: Event, regained: Event):
        self.state = state
        self.lost = lost
        self.regained = regained
        self._pause_s = FIRST_PAUSE_S
        self._failing = False

    async def after_failure(self, error: TableError) -> None:
        """Wait before the next question."""
        if not self._failing:
            log_event(self.lost, reason=error.kind, detail=error.detail)
        self._failing = True
        await asyncio.sleep(self._pause_s * self.state.rng.uniform(0.5, 1.0))
        self._pause_s = min(self._pause_s * 2, MAX_PAUSE_S)

    def note_success(self) -> None:
        """Begin with short pauses again."""
        if self._failing:
            log_event(self.regained)
        self._failing = False
        self._pause_s = FIRST_PAUSE_S


async def follow_configuration(state: ForwarderState) -> None:
    """Apply each new configuration and confirm the present one, until cancelled."""
    source = state.platform.configuration()
    pauses = _Pauses(state, Event.TABLE_UNAVAILABLE, Event.TABLE_RECOVERED)
    while True:
        read = await source.next(NEWS_WAIT_S)
        if isinstance(read, Err):
            await pauses.after_failure(read.err())
            continue
        pauses.note_success()
        reading = read.ok()
        if reading.config is not None:
            _take_configuration(state, reading.config, reading.as_of)
        state.confirm_configuration(reading.as_of)
        state.note_read("configuration")


def _take_configuration(state: ForwarderState, config: ForwardConfig, as_of: float) -> None:
    now = state.clock.now()
    state.standing.note_shown(config.version, now)
    if state.directory is None and state.platform.exchange.era.newest > FIRST_ERA:
        state.standing.note_unproven(now)
    if state.apply(config):
        log_event(
            Event.CONFIGURATION_APPLIED,
            revision=config.version,
            routes=len(config.routes),
            age_s=now - as_of,
        )
    if state.standing.is_behind:
        log_event(
            Event.CONFIGURATION_KEPT,
            revision=state.directory.config.version,
            shown=config.version,
            newest=state.standing.newest,
            age_s=state.lease.age(now),
        )


async def follow_upstreams(state: ForwarderState) -> None:
    """Apply each change of the list of upstreams, until cancelled."""
    source = state.platform.upstreams()
    pauses = _Pauses(state, Event.VM_LIST_UNREADABLE, Event.VM_LIST_RECOVERED)
    while True:
        read = await source.next(LIST_WAIT_S)
        now = state.clock.now()
        if isinstance(read, Err):
            state.book.note_trouble(now)
            await pauses.after_failure(read.err())
            continue
        pauses.note_success()
        changes = read.ok()
        over = state.book.apply(changes, now)
        state.note_read("upstreams")
        for incarnation in over:
            state.note_down(incarnation)
        if changes.after_return:
            _log_kept(state.book, changes)
        if changes.listed or changes.removed or changes.unreadable:
            log_event(
                Event.UPSTREAMS_CHANGED,
                listed=",".join(entry.incarnation for entry in changes.listed),
                leaving=",".join(entry.id for entry in changes.listed if entry.leaving),
                removed=",".join(changes.removed),
                unreadable=",".join(entry.id for entry in changes.unreadable),
                over=",".join(over),
                known=len(state.book),
            )
            await asyncio.sleep(GATHER_S)


def _log_kept(book: UpstreamBook, changes: UpstreamChanges) -> None:
    """Log what is known better than a store that came back from a copy shows it."""
    listed = {entry.id for entry in changes.listed if not entry.leaving}
    leaving = [item.id for item in book.all() if item.entry.leaving and item.id in listed]
    log_event(
        Event.UPSTREAMS_KEPT,
        leaving=",".join(leaving),
        withheld=",".join(book.withheld),
        missing=",".join(book.missing),
    )


async def settle_upstreams(state: ForwarderState) -> None:
    """Drop vanished upstreams once the list can be trusted again, until cancelled."""
    while True:
        await asyncio.sleep(SETTLE_S)
        state.book.settle(state.clock.now())
