"""Usage, waste, refusals and latency target attainment by organisation and class."""

from __future__ import annotations

import enum
from collections import Counter

import attrs

from burdockquay_protocol import ErrorKind


class LatencyTarget(enum.Enum):
    """The two latency targets of a class."""

    FIRST_TOKEN = "first_token"
    BETWEEN_TOKENS = "between_tokens"


@attrs.frozen
class UsageRow:
    """Usage of one organisation in one class.

    Parameters
    ----------
    organisation, class_name : str
    generated_tokens : int
        Number of generated tokens, including the wasted ones.
    wasted_tokens : int
        Number of generated tokens that no caller received as part of a complete answer.
    refusals : dict of str to int
        Number of refused or failed requests by error kind.
    """

    organisation: str
    class_name: str
    generated_tokens: int
    wasted_tokens: int
    refusals: dict[str, int]


@attrs.frozen
class AttainmentRow:
    """How often one latency target of a class was met.

    Parameters
    ----------
    class_name : str
    target : LatencyTarget
    met, missed : int
        Number of requests.
    """

    class_name: str
    target: LatencyTarget
    met: int
    missed: int

    @property
    def share(self) -> float:
        """Fraction of the requests that met the target; 1 if there were none."""
        total = self.met + self.missed
        return self.met / total if total else 1.0


class UsageLedger:
    """Counters of usage and attainment since the start of the process.

    Examples
    --------
    >>> ledger = UsageLedger()
    >>> ledger.add_generated("north", "drafts", 10)
    >>> ledger.add_wasted("north", "drafts", 4)
    >>> ledger.rows()[0].wasted_tokens
    4
    >>> ledger.add_attainment("drafts", met=True)
    >>> ledger.attainment()[0].share
    1.0
    """

    def __init__(self) -> None:
        self._generated: Counter[tuple[str, str]] = Counter()
        self._wasted: Counter[tuple[str, str]] = Counter()
        self._refusals: dict[tuple[str, str], Counter[str]] = {}
        self._attainment: Counter[tuple[str, LatencyTarget, bool]] = Counter()

    def add_generated(self, organisation: str, class_name: str, tokens: int) -> None:
        """Count tokens that were generated for an organisation."""
        self._generated[organisation, class_name] += tokens

    def add_wasted(self, organisation: str, class_name: str, tokens: int) -> None:
        """Count generated tokens that were wasted."""
        self._wasted[organisation, class_name] += tokens

    def add_refusal(self, organisation: str, class_name: str, kind: ErrorKind) -> None:
        """Count a refused or failed request."""
        counter = self._refusals.setdefault((organisation, class_name), Counter())
        counter[kind.value] += 1

    def add_attainment(
        self, class_name: str, met: bool, target: LatencyTarget = LatencyTarget.FIRST_TOKEN
    ) -> None:
        """Count whether a request met a latency target of its class."""
        self._attainment[class_name, target, met] += 1

    def rows(self) -> list[UsageRow]:
        """Return the usage by organisation and class, sorted."""
        keys = set(self._generated) | set(self._wasted) | set(self._refusals)
        return [
            UsageRow(
                organisation=key[0],
                class_name=key[1],
                generated_tokens=self._generated[key],
                wasted_tokens=self._wasted[key],
                refusals=dict(self._refusals.get(key, {})),
            )
            for key in sorted(keys)
        ]

    def attainment(self) -> list[AttainmentRow]:
        """Return the attainment of each target of each class, sorted."""
        keys = {(class_name, target) for class_name, target, _ in self._attainment}
        return [
            AttainmentRow(
                class_name=class_name,
                target=target,
                met=self._attainment[class_name, target, True],
                missed=self._attainment[class_name, target, False],
            )
            for class_name, target in sorted(keys, key=lambda key: (key[0], key[1].value))
        ]
