"""Sums of the counts of all entries by organisation and class."""

from __future__ import annotations

from typing import Any

import attrs

from ._output import print_table


@attrs.define
class UsageRow:
    """Counts of one organisation in one class."""

    generated: int = 0
    wasted: int = 0
    refusals: dict[str, int] = attrs.field(factory=dict)


@attrs.define
class TargetCounts:
    """Number of requests that met and that missed a latency target."""

    met: int = 0
    missed: int = 0

    @property
    def attainment(self) -> float:
        """Share of the requests that met the target; 1 if there were no requests."""
        total = self.met + self.missed
        return self.met / total if total else 1.0


class UsageTotals:
    """Sums of the ``/usage`` pages of the entries."""

    def __init__(self):
        self._rows: dict[tuple[str, str], UsageRow] = {}
        self._targets: dict[tuple[str, str], TargetCounts] = {}

    def add(self, page: dict[str, Any]) -> None:
        """Add the counts of one entry."""
        for part in page.get("rows", []):
            row = self._rows.setdefault((part["organisation"], part["class_name"]), UsageRow())
            row.generated += part["generated"]
            row.wasted += part["wasted"]
            for kind, count in part["refusals"].items():
                row.refusals[kind] = row.refusals.get(kind, 0) + count
        for class_name, targets in page.get("attainment", {}).items():
            for target, counts in targets.items():
                total = self._targets.setdefault((class_name, target), TargetCounts())
                total.met += counts["met"]
                total.missed += counts["missed"]

    def describe(self) -> dict[str, Any]:
        """Return the sums in the format of a ``/usage`` page."""
        attainment: dict[str, dict[str, dict[str, int]]] = {}
        for (class_name, target), counts in sorted(self._targets.items()):
            attainment.setdefault(class_name, {})[target] = attrs.asdict(counts)
        rows = [
            {"organisation": organisation, "class_name": class_name, **attrs.asdict(row)}
            for (organisation, class_name), row in sorted(self._rows.items())
        ]
        return {"rows": rows, "attainment": attainment}

    def print(self) -> None:
        """Print the sums as two tables."""
        header = ("ORGANISATION", "CLASS", "GENERATED", "WASTED", "REFUSALS")
        print_table(
            header,
            (
                (*key, row.generated, row.wasted, _format_refusals(row.refusals))
                for key, row in sorted(self._rows.items())
            ),
        )
        print()
        print_table(
            ("CLASS", "TARGET", "MET", "MISSED", "ATTAINMENT"),
            (
                (*key, counts.met, counts.missed, f"{counts.attainment:.4f}")
                for key, counts in sorted(self._targets.items())
            ),
        )


def _format_refusals(refusals: dict[str, int]) -> str:
    return " ".join(f"{kind}:{count}" for kind, count in sorted(refusals.items())) or "-"
