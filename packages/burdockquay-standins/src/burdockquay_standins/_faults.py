"""Fault switches of the engine stand-in."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from burdockquay_state import Constraint, InstanceOf, Interval, describe_unknown

_SWITCHES: dict[str, Constraint] = {
    "stall_s": Interval(float, 0.0, 3600.0),
    "slow_factor": Interval(float, 0.01, 1e6),
    "crash": InstanceOf(bool),
    "crash_after_tokens": Interval(int, 1, 1_000_000_000),
    "refuse": InstanceOf(bool),
}


class EngineFaults:
    """Faults of an engine that are active now.

    The switches of ``POST /faults``: ``stall_s`` suspends the steps for this many seconds,
    ``slow_factor`` multiplies the duration of each step, ``crash`` crashes the engine immediately
    and ``crash_after_tokens`` after this many more tokens, ``refuse`` answers new requests with
    503.
    """

    def __init__(self):
        self.stalled_until = 0.0
        self.slow_factor = 1.0
        self.refuse = False
        self._tokens_to_crash: int | None = None

    def set_switches(self, body: Mapping[str, Any], now: float) -> bool:
        """Set the switches that the body names; return whether the engine is to crash now.

        Raises
        ------
        ValueError
            If a switch is unknown or its value is out of range; no switch is set then.
        """
        check_switches(_SWITCHES, body)
        if "stall_s" in body:
            self.stalled_until = now + body["stall_s"]
        self.slow_factor = body.get("slow_factor", self.slow_factor)
        self.refuse = body.get("refuse", self.refuse)
        self._tokens_to_crash = body.get("crash_after_tokens", self._tokens_to_crash)
        return body.get("crash", False)

    def count_tokens(self, tokens: int) -> bool:
        """Count generated tokens; return whether the engine is to crash now."""
        if self._tokens_to_crash is None:
            return False
        self._tokens_to_crash -= tokens
        if self._tokens_to_crash > 0:
            return False
        self._tokens_to_crash = None
        return True


def check_switches(switches: Mapping[str, Constraint], body: Mapping[str, Any]) -> None:
    """Validate the names and values of fault switches.

    Raises
    ------
    ValueError
        If a switch is unknown or its value is out of range. The message has the expected and the
        actual value.
    """
    for name, value in body.items():
        if name not in switches:
            raise ValueError(describe_unknown("switch", name, switches))
        if not switches[name].accepts(value):
            raise ValueError(f"{name}: expected {switches[name]}, got {value!r}")
