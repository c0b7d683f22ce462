"""Model of the costs of each role at the planned size, from the measured lines."""

from __future__ import annotations

from typing import Any

import attrs

from burdockquay_state import GroupRecord
from burdockquay_transport._status_sender import STATUS_BYTES_PER_S

DAY_S = 86400.0


def format_value(value: float) -> str:
    """Return a figure with three significant digits, or as a whole number from a thousand."""
    return f"{value:,.0f}" if abs(value) >= 1000 else f"{value:.3g}"


@attrs.frozen
class Plan:
    """The planned size and quantities derived from it.

    Parameters
    ----------
    entries, slots : int
    requests_per_s, tokens_per_s : float
    classes, organisations, models, domains : int
    changes_a_day : int
    vm_changes_a_day : int
        Failures, restarts and replacements of VMs per day.
    """

    entries: int = 1900
    slots: int = 5700
    requests_per_s: float = 64_000.0
    tokens_per_s: float = 23e6
    classes: int = 4
    organisations: int = 5700
    models: int = 9
    domains: int = 14
    changes_a_day: int = 25_000
    vm_changes_a_day: int = 1340

    @property
    def subset(self) -> int:
        """Slots of one group that an entry connects to."""
        return GroupRecord("g").subset

    @property
    def entry_peers(self) -> int:
        """Connections of an entry: one subset of slots for each model."""
        return self.models * self.subset

    @property
    def slot_peers(self) -> float:
        """Mean number of connections of a slot."""
        return self.entries * self.entry_peers / self.slots

    @property
    def vms(self) -> int:
        """Entries of the VM list."""
        return self.entries + self.slots

    @property
    def records(self) -> int:
        """Number of records: organisations, classes and, for each model, a group, an order and one
        route per class."""
        return self.organisations + self.classes + self.models * (2 + self.classes)

    @property
    def changes_per_s(self) -> float:
        """Configuration changes per second, averaged over a day."""
        return self.changes_a_day / DAY_S


PLAN = Plan()


@attrs.frozen
class Part:
    """One component of a cost at the planned size.

    Parameters
    ----------
    name, mechanism : str
    formula : str
    slope : float
        Cost per unit.
    units : float
    reach : str
        Largest number of units measured; empty if the cost is not a measured slope.
    residual : float
        Residual of the fitted line, in the unit of the cost.
    """

    name: str
    mechanism: str
    formula: str
    slope: float
    units: float
    reach: str = ""
    residual: float = 0.0

    @property
    def total(self) -> float:
        """Cost at the planned size."""
        return self.slope * self.units


class Costs:
    """Costs of both roles at the planned size.

    Parameters
    ----------
    results : dict
        Content of ``benchmarks/results/control.json``.
    plan : Plan
    """

    def __init__(self, results: dict[str, Any], plan: Plan = PLAN):
        self.results = results
        self.plan = plan

    def line(self, role: str, stage: str, cost: str) -> dict[str, float]:
        """Return a fitted line; ``bytes_per_s`` and ``messages_per_s`` sum both directions."""
        fitted = self.results["lines"][f"{role}.{stage}"]
        both = {
            "bytes_per_s": ("read_bytes_per_s", "written_bytes_per_s"),
            "messages_per_s": ("messages_received_per_s", "messages_sent_per_s"),
        }.get(cost)
        if both is None:
            return fitted[cost]
        first, second = (fitted[name] for name in both)
        added = {name: first[name] + second[name] for name in ("slope", "intercept", "residual")}
        return first | added

    def peers(self, role: str) -> float:
        """Return the number of connections of a process of a role."""
        return {"entry": float(self.plan.entry_peers), "slot": self.plan.slot_peers}[role]

    def measured_peers(self, role: str) -> float:
        """Return the number of connections with which changes were measured."""
        return self.line(role, "peers", "cpu_share")["high"]

    def memory(self, role: str) -> list[Part]:
        """Return the components of a process's memory, MB."""
        parts = [
            self._base_part(role, "rss_mb"),
            self._slope_part("peers", role, "rss_mb", self.peers(role), "connection", "`_peer`"),
            self._slope_part(
                "organisations",
                role,
                "rss_mb",
                self.plan.records,
                "record",
                "`_configuration`: every process holds every record",
            ),
        ]
        if role == "entry":
            where = "`_platform_http`, `_membership`: every entry holds the whole list"
            parts.append(self._slope_part("vms", role, "rss_mb", self.plan.vms, "VM", where))
        return parts

    def processor(self, role: str) -> list[Part]:
        """Return the components of a process's processor time for control, cores."""
        where = "`_peer`: heartbeats on idle connections only"
        return [
            self._base_part(role, "cpu_share"),
            self._slope_part("peers", role, "cpu_share", self.peers(role), "connection", where),
            self._change_part(role, "cpu_share"),
        ]

    def traffic(self, role: str) -> list[Part]:
        """Return the components of a process's control traffic in both directions, bytes/s."""
        where = "`_peer`: heartbeats on idle connections only"
        parts = [
            self._polls_part(role),
            self._slope_part(
                "peers", role, "peer_bytes_per_s", self.peers(role), "connection", where
            ),
            self._change_part(role, "peer_bytes_per_s"),
            self._status_part(role),
        ]
        if role == "entry":
            parts.append(self._vm_list_part())
        return parts

    def messages(self, role: str) -> list[Part]:
        """Return the components of a process's control messages per second in both directions."""
        where = "`_peer`: heartbeats on idle connections only"
        return [
            self._slope_part(
                "peers", role, "messages_per_s", self.peers(role), "connection", where
            ),
            self._change_part(role, "messages_per_s"),
        ]

    def data(self, role: str) -> list[Part]:
        """Return the components of the processor time for requests, cores."""
        processes = {"entry": self.plan.entries, "slot": self.plan.slots}[role]
        tokens = self.line(role, "tokens", "cpu_share")["slope"]
        answer = self.results["short_answer_tokens"]
        requests = max(0.0, self.line(role, "requests", "cpu_share")["slope"] - answer * tokens)
        share = self.plan.requests_per_s / processes
        return [
            Part(
                "requests",
                "`_caller_http`, `_dispatcher`, `_slot_runner`",
                f"requests / {processes}",
                requests,
                share,
                *self._measured_range(role, "requests", "cpu_share"),
            ),
            Part(
                "tokens",
                "`_peer`: the streams of a slot to an entry share messages",
                f"tokens / {processes}",
                tokens,
                self.plan.tokens_per_s / processes,
                *self._measured_range(role, "tokens", "cpu_share"),
            ),
        ]

    def _base_part(self, role: str, cost: str) -> Part:
        intercept = self.line(role, "peers", cost)["intercept"]
        mechanism = "interpreter and libraries" if cost == "rss_mb" else "polls of the platform"
        return Part("process alone", mechanism, "", intercept, 1.0)

    def _polls_part(self, role: str) -> Part:
        samples = [
            sample
            for sample in self.results["samples"]
            if (sample["role"], sample["stage"]) == (role, "peers")
        ]
        socket = sum(s["read_bytes_per_s"] + s["written_bytes_per_s"] for s in samples)
        peers = sum(s["peer_bytes_per_s"] for s in samples)
        mean = (socket - peers) / len(samples)
        return Part("polls", "`_config_sync`, `_platform_http`, probes", "", mean, 1.0)

    def _slope_part(
        self, stage: str, role: str, cost: str, units: float, unit: str, mechanism: str
    ) -> Part:
        slope = self.line(role, stage, cost)["slope"]
        reach = self._measured_range(role, stage, cost)
        return Part(f"per {unit}", mechanism, f"{unit}s", slope, units, *reach)

    def _change_part(self, role: str, cost: str) -> Part:
        measured = self.measured_peers(role)
        slope = self.line(role, "changes", cost)["slope"] / measured
        reach, residual = self._measured_range(role, "changes", cost)
        return Part(
            "per change and connection",
            "`_config_sync`: revision on heartbeats, log from one peer",
            "changes/s × connections",
            slope,
            self.plan.changes_per_s * self.peers(role),
            f"{reach}/s × {measured:.0f}",
            residual,
        )

    def _status_part(self, role: str) -> Part:
        sent = STATUS_BYTES_PER_S
        received = sent * self.plan.entry_peers / self.plan.slot_peers
        return Part(
            "status under load",
            "`_status_sender.STATUS_BYTES_PER_S`: a limit, not measured",
            "limit" if role == "slot" else "limit × connections / connections of a slot",
            sent if role == "slot" else received,
            1.0,
        )

    def _vm_list_part(self) -> Part:
        return Part(
            "VM list",
            "`_platform_http`: the whole list after each change, else status 304",
            "VMs × changes of the list/s",
            self.results["vm_list_bytes"],
            self.plan.vms * self.plan.vm_changes_a_day / DAY_S,
        )

    def _measured_range(self, role: str, stage: str, cost: str) -> tuple[str, float]:
        line = self.line(role, stage, cost)
        return format_value(line["high"]), line["residual"]
