"""Orders to an engine: execution, with an optional check of their fencing numbers."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from typing import Any

ORDERS = ("load_model", "load_adapter", "load_version", "change_role")


class OrderExecutor:
    """State of an engine that orders change, and counts of executed and rejected orders.

    Parameters
    ----------
    checks_fencing : bool
        Whether to reject an order whose fencing number is below the highest one received.
    """

    def __init__(self, checks_fencing: bool):
        self.checks_fencing = checks_fencing
        self.effects: Counter[str] = Counter()
        self.models: list[str] = []
        self.role = "serve"
        self.highest_fencing = 0
        self.refused = 0

    def execute(self, order_id: str, order: str, argument: str, fencing: int) -> bool:
        """Execute an order, also one that was executed before; false if it was rejected."""
        if self.checks_fencing and fencing < self.highest_fencing:
            self.refused += 1
            return False
        self.highest_fencing = max(self.highest_fencing, fencing)
        self.effects[order_id] += 1
        if order == "change_role":
            self.role = argument
        elif argument not in self.models:
            self.models.append(argument)
        return True


def parse_order(body: Mapping[str, Any]) -> tuple[str, str, str, int]:
    """Return id, name, argument and fencing number from the body of an order.

    Raises
    ------
    ValueError
        If a field is missing or has the wrong type, or the name is unknown.
    """
    texts = [body.get(name) for name in ("id", "order", "argument")]
    fencing = body.get("fencing")
    if not all(isinstance(text, str) for text in texts):
        raise ValueError("expected the strings 'id', 'order' and 'argument'")
    if texts[1] not in ORDERS:
        raise ValueError(f"expected an order out of {ORDERS}, got {texts[1]!r}")
    if not isinstance(fencing, int) or isinstance(fencing, bool):
        raise ValueError(f"expected an integer 'fencing', got {fencing!r}")
    return texts[0], texts[1], texts[2], fencing
