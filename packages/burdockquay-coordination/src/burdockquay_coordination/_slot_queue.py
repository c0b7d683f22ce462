"""Work that a slot has accepted and that has no place yet."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from burdockquay_state import ClassRecord

from ._queues import queue_policies
from ._shares import Contender, ShareLedger
from ._types import Waiting, Work


def attempt_name(request: str, attempt: int) -> str:
    """Return the name of an attempt in the queue.

    Examples
    --------
    >>> attempt_name("r-1", 2)
    'r-1/2'
    """
    return f"{request}/{attempt}"


class SlotQueue:
    """A queue policy over work, and a line for suspects that must run apart.

    Parameters
    ----------
    policy_name : str
        Name of a registered queue policy.
    classes : mapping of str to ClassRecord
    weights : mapping of str to float
    """

    def __init__(
        self, policy_name: str, classes: Mapping[str, ClassRecord], weights: Mapping[str, float]
    ):
        self.policy_name = policy_name
        self._policy = queue_policies.get(policy_name)(classes, weights)
        self._works: dict[str, Work] = {}
        self._suspects: dict[str, Work] = {}

    def __len__(self) -> int:
        return len(self._works) + len(self._suspects)

    def __contains__(self, name: str) -> bool:
        return name in self._works or name in self._suspects

    @property
    def classes(self) -> set[str]:
        """Classes of the waiting work."""
        return self._policy.classes_waiting | {work.class_name for work in self._suspects.values()}

    def configure(
        self,
        policy_name: str,
        classes: Mapping[str, ClassRecord],
        weights: Mapping[str, float],
        now: float,
    ) -> None:
        """Take new records, and move what waits if another policy is to order it."""
        if policy_name == self.policy_name:
            self._policy.set_classes(classes, weights, now)
            return
        policy = queue_policies.get(policy_name)(classes, weights)
        while (waiting := self._policy.pop(now)) is not None:
            policy.push(waiting, now)
        self.policy_name, self._policy = policy_name, policy

    def add(self, work: Work, now: float) -> None:
        """Let work wait for a place."""
        name = attempt_name(work.request, work.attempt)
        waiting = Waiting(name, work.organisation, work.class_name, now, work.deadline)
        self._policy.push(waiting, now)
        self._works[name] = work

    def add_suspect(self, work: Work) -> None:
        """Let work wait until no other suspect is on the upstream."""
        self._suspects[attempt_name(work.request, work.attempt)] = work

    def pop(self, class_name: str, now: float) -> Work | None:
        """Take out the next work of a class."""
        waiting = self._policy.pop(now, class_name)
        return self._works.pop(waiting.request) if waiting else None

    def first_suspect(self) -> Work | None:
        """Return the suspect that waits longest."""
        return next(iter(self._suspects.values()), None)

    def discard(self, name: str, now: float) -> bool:
        """Take out one attempt by name; return whether it waited."""
        if self._suspects.pop(name, None) is not None:
            return True
        if self._works.pop(name, None) is None:
            return False
        self._policy.remove(name, now)
        return True

    def of_peer(self, peer: str) -> list[Work]:
        """Return the work of one entry."""
        everything = [*self._works.values(), *self._suspects.values()]
        return [work for work in everything if work.peer == peer]

    def expire(self, now: float) -> list[Work]:
        """Take out work whose deadline or patience has passed."""
        expired = [self._works.pop(waiting.request) for waiting in self._policy.expire(now)]
        late = [name for name, work in self._suspects.items() if work.deadline <= now]
        return expired + [self._suspects.pop(name) for name in late]

    def next_expiry(self) -> float | None:
        """Return when :meth:`expire` next has something to take out, seconds."""
        times = [work.deadline for work in self._suspects.values()]
        expiry = self._policy.next_expiry()
        return min(times if expiry is None else [*times, expiry], default=None)

    def waiting(self, class_name: str) -> int:
        """Return how much work of a class waits for a place."""
        return self._policy.waiting(class_name)

    def oldest_waits(self, now: float) -> dict[str, float]:
        """Return the longest wait of each class, seconds."""
        return {one.class_name: one.oldest_wait_s for one in self._policy.demand(now)}

    def charge(self, work: Work, tokens: float, now: float) -> None:
        """Account tokens that work generated."""
        self._policy.charge(work.class_name, work.organisation, tokens, now)

    def choose_class(self, contenders: Sequence[Contender], ledger: ShareLedger) -> str | None:
        """Return the class to serve next, in the order of the queue policy."""
        return self._policy.choose_class(contenders, ledger)
