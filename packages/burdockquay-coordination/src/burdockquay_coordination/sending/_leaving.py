"""The statement of an upstream that it leaves."""

from __future__ import annotations

from collections.abc import Iterable

from ._statements import (
    NOT_STATED,
    Binding,
    ProofNeed,
    StatementChange,
    StatementFault,
    StatementReading,
    register_statement,
    split_items,
)

_READINGS = {"1": StatementReading(1.0), "0": NOT_STATED}


@register_statement("leaving", Binding.ALL, is_relayed=True, proof=ProofNeed.ALWAYS)
def read_leaving(texts: Iterable[str]) -> StatementReading:
    """Return whether an answer says that its upstream leaves; the value is then 1.

    Examples
    --------
    >>> read_leaving(["1"]).value, read_leaving(["0"]).value, read_leaving([]).value
    (1.0, None, None)
    >>> read_leaving(["soon"]).fault
    <StatementFault.UNREADABLE: 'unreadable'>
    """
    items = split_items(texts)
    if "1" in items:
        return _READINGS["1"]
    if all(item in _READINGS for item in items):
        return NOT_STATED
    return StatementReading(None, StatementFault.UNREADABLE)


class Leaving:
    """Whether one run of an upstream has said that it leaves. It is never taken back.

    Attributes
    ----------
    unstated : int
        Answers in a row, to requests that were sent since, that did not say it.

    Examples
    --------
    >>> leaving = Leaving()
    >>> leaving.record_answer(StatementReading(1.0), sent_at=0.5, now=1.0).kind
    <StatementChangeKind.LEARNT: 'learnt'>
    >>> leaving.record_answer(NOT_STATED, sent_at=2.0, now=2.5) is None, leaving.in_force
    (True, True)
    """

    def __init__(self):
        self.unstated = 0
        self._since: float | None = None

    @property
    def in_force(self) -> bool:
        """Whether the upstream leaves."""
        return self._since is not None

    def binds(self, now: float) -> bool:
        """Return whether the upstream leaves; see :class:`StatementState`."""
        return self.in_force

    def age_s(self, now: float) -> float | None:
        """Return the time since this process learnt it, seconds; None if it does not leave."""
        return None if self._since is None else now - self._since

    def record_answer(
        self, reading: StatementReading, sent_at: float, now: float
    ) -> StatementChange | None:
        """Apply an answer of the upstream; see :class:`StatementState`."""
        if reading.value is None:
            self.unstated += self._since is not None and sent_at > self._since
            return None
        self.unstated = 0
        return self.learn(now)

    def learn(self, now: float) -> StatementChange | None:
        """Record that the upstream leaves; return the change, None if that was known."""
        if self.in_force:
            return None
        self._since = now
        return StatementChange.between(None, 1.0)
