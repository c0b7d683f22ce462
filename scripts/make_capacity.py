"""Write the tables of ``docs/CAPACITY.md`` from the results of ``make bench NAME=control``.

``python scripts/make_capacity.py`` replaces the text between ``<!-- table: NAME -->`` and
``<!-- end -->``. A test checks that the committed page equals the generated one.
"""

from __future__ import annotations

import json
import math
import re
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

import attrs
from capacity_model import Costs, Part, format_value

from burdockquay_transport import EntrySettings

ROOT = Path(__file__).parent.parent
PAGE = ROOT / "docs" / "CAPACITY.md"
RESULTS = ROOT / "benchmarks" / "results" / "control.json"

CPU_LIMIT_CORES = 0.011
MEMORY_LIMIT_MB = 32.0
TRAFFIC_LIMIT_BYTES_PER_S = 3000.0
TABLE_READS_PER_S = 2000.0
TABLE_WRITES_PER_S = 300.0
"""Writes per second of the table: several hundred, taken as three hundred."""
PAGE_ROWS = 1000
"""Rows returned by one read of a scan."""
CLAIM_WRITES = 2
"""Table writes per at-most-once request: one before it starts, and one for its outcome."""


@attrs.frozen
class Figure:
    """Unit and limit of the figures of one cost.

    Parameters
    ----------
    unit : str
    scale : float
    limit : float
        Limit in the unit of the measurement; infinite for none.
    """

    unit: str
    scale: float = 1.0
    limit: float = math.inf

    def format_value(self, value: float) -> str:
        """Return a value formatted in the unit."""
        return format_value(value * self.scale)


MEMORY = Figure("MB", 1.0, MEMORY_LIMIT_MB)
PROCESSOR = Figure("% of a core", 100.0, CPU_LIMIT_CORES)
TRAFFIC = Figure("B/s", 1.0, TRAFFIC_LIMIT_BYTES_PER_S)
MESSAGES = Figure("messages/s")
DATA = Figure("% of a core", 100.0, 1.0)


def make_cost_table(parts: Sequence[Part], figure: Figure) -> list[str]:
    """Return a table of cost components with their sum and the limit."""
    header = ("part", "carried by", "units", "slope", "measured to", f"at size, {figure.unit}")
    rows = [
        (
            part.name,
            part.mechanism,
            part.formula if part.units == 1.0 else f"{part.formula} = {format_value(part.units)}",
            figure.format_value(part.slope),
            part.reach and f"{part.reach}, ± {figure.format_value(part.residual)}",
            figure.format_value(part.total),
        )
        for part in parts
    ]
    total = sum(part.total for part in parts)
    rows.append(("**sum**", "", "", "", "", _format_with_limit(total, figure)))
    return make_table(header, rows)


def _format_with_limit(total: float, figure: Figure) -> str:
    if math.isinf(figure.limit):
        return figure.format_value(total)
    relation = "meets" if total <= figure.limit else "**breaks**"
    return f"{figure.format_value(total)}, {relation} {figure.format_value(figure.limit)}"


def make_table(header: Sequence[str], rows: Sequence[Sequence[str]]) -> list[str]:
    """Return the lines of a Markdown table."""
    lines = [header, ["---"] * len(header), *rows]
    return ["| " + " | ".join(line) + " |" for line in lines]


def make_plan_table(costs: Costs) -> list[str]:
    """Return the table of quantities derived from the planned size."""
    plan = costs.plan
    settings = EntrySettings.__attrs_attrs__
    budget = next(field.default for field in settings if field.name == "table_read_budget")
    rows = [
        ("connections of an entry", "models × subset of a group", f"{plan.entry_peers}"),
        (
            "connections of a slot",
            "entries × connections of an entry / slots",
            format_value(plan.slot_peers),
        ),
        ("records", "organisations + classes + 6 a model", format_value(plan.records)),
        ("changes a second", "25,000 / 86,400", format_value(plan.changes_per_s)),
        ("requests a second and entry", "64,000 / 1,900", format_value(64_000 / plan.entries)),
        ("tokens a second and entry", "23 million / 1,900", format_value(23e6 / plan.entries)),
        ("tokens a second and slot", "23 million / 5,700", format_value(23e6 / plan.slots)),
        ("reads of the head a second, budget", "`table_read_budget`", f"{budget:.0f}"),
    ]
    return make_table(("figure", "from", "value"), rows)


def make_platform_table(costs: Costs) -> list[str]:
    """Return the table of the table-service calls at the planned size."""
    plan = costs.plan
    fields = {field.name: field.default for field in EntrySettings.__attrs_attrs__}
    interval_s, budget = fields["poll_interval_s"], fields["table_read_budget"]
    entry_reads = plan.entries / max(interval_s, plan.vms / budget)
    slot_reads = plan.slots / (interval_s * (1 + plan.slot_peers))
    pages = math.ceil(plan.records / PAGE_ROWS)
    operator_reads = plan.changes_per_s * (1 + pages)
    restarted = plan.vms / plan.domains
    restart_reads = restarted * (1 + pages)
    claims = TABLE_WRITES_PER_S / CLAIM_WRITES
    rows = [
        (
            "reads of the head by entries",
            "entries / max(interval, VMs / budget)",
            f"{entry_reads:.3g}/s",
        ),
        (
            "reads of the head by slots",
            "slots / (interval × (1 + connections))",
            f"{slot_reads:.3g}/s",
        ),
        (
            "reads by operators' changes",
            "changes/s × (1 + records / 1,000)",
            f"{operator_reads:.3g}/s",
        ),
        (
            "**all reads**",
            "",
            _format_rate_with_limit(entry_reads + slot_reads + operator_reads, TABLE_READS_PER_S),
        ),
        ("writes by operators' changes", "changes/s × 1", f"{plan.changes_per_s:.3g}/s"),
        (
            "a failure domain starts at once",
            "VMs / domains × (1 + records / 1,000)",
            f"{format_value(restart_reads)} reads, "
            f"{format_value(restart_reads / TABLE_READS_PER_S)} s of the table",
        ),
        (
            "requests that run at most once",
            "writes/s / 2",
            f"{claims:.0f}/s, {100 * claims / plan.requests_per_s:.2g} % of all requests",
        ),
    ]
    return make_table(("what", "formula", "at size"), rows)


def _format_rate_with_limit(rate: float, limit: float) -> str:
    relation = "meets" if rate <= limit else "**breaks**"
    return f"{rate:.3g}/s, {relation} {limit:.0f}/s"


def make_calls_table(costs: Costs) -> list[str]:
    """Return the table of counted table-service calls."""
    header = ("records", "reads of a change", "writes of a change", "reads of a start", "of a poll")
    names = ("records", "change_reads", "change_writes", "start_reads", "poll_reads")
    rows = [[str(row[name]) for name in names] for row in costs.results["table_calls"]]
    return make_table(header, rows)


def make_changes_table(costs: Costs) -> list[str]:
    """Return the table of the processor time per change, with few and with many records."""
    rows = []
    for role in ("entry", "slot"):
        few = costs.line(role, "changes", "cpu_share")["slope"]
        many = costs.line(role, "changes_many_records", "cpu_share")["slope"]
        rows.append((role, f"{1000 * few:.3g} ms", f"{1000 * many:.3g} ms"))
    most = costs.line("entry", "organisations", "rss_mb")["high"]
    header = ("role", "few records", f"{most:.0f} organisations")
    return make_table(header, rows)


def make_imports_table(costs: Costs) -> list[str]:
    """Return the table of the memory that each import adds."""
    by_role: dict[str, dict[str, float]] = {}
    for row in costs.results["imports"]:
        name = "the role itself" if row["module"].endswith(row["role"]) else row["module"]
        by_role.setdefault(name, {})[row["role"]] = row["rss_mb"]
    rows = [
        (name, *(f"{values.get(role, 0.0):.1f}" for role in ("entry", "slot")))
        for name, values in by_role.items()
    ]
    sums = (
        f"{sum(values.get(role, 0.0) for values in by_role.values()):.1f}"
        for role in ("entry", "slot")
    )
    return make_table(("import", "entry, MB", "slot, MB"), [*rows, ("**sum**", *sums)])


def make_machine_table(costs: Costs) -> list[str]:
    """Return the table that describes the measurement machine."""
    rows = [(name, str(value)) for name, value in costs.results["machine"].items()]
    return make_table(("machine", ""), rows)


def _table_of(cost: str, role: str, figure: Figure) -> Callable[[Costs], list[str]]:
    return lambda costs: make_cost_table(getattr(costs, cost)(role), figure)


TABLES: dict[str, Callable[[Costs], list[str]]] = {
    "plan": make_plan_table,
    "platform": make_platform_table,
    "calls": make_calls_table,
    "changes": make_changes_table,
    "imports": make_imports_table,
    "machine": make_machine_table,
}
for _role in ("entry", "slot"):
    TABLES[f"{_role} memory"] = _table_of("memory", _role, MEMORY)
    TABLES[f"{_role} processor"] = _table_of("processor", _role, PROCESSOR)
    TABLES[f"{_role} traffic"] = _table_of("traffic", _role, TRAFFIC)
    TABLES[f"{_role} messages"] = _table_of("messages", _role, MESSAGES)
    TABLES[f"{_role} data"] = _table_of("data", _role, DATA)

_TABLE = re.compile(r"<!-- table: ([a-z ]+) -->\n.*?<!-- end -->", re.DOTALL)


def fill_page(page: str, results: dict[str, Any]) -> str:
    """Return the page with all its tables regenerated."""
    costs = Costs(results)

    def fill(match: re.Match) -> str:
        name = match.group(1)
        lines = [f"<!-- table: {name} -->", "", *TABLES[name](costs), "", "<!-- end -->"]
        return "\n".join(lines)

    return _TABLE.sub(fill, page)


def main() -> None:
    """Write ``docs/CAPACITY.md``."""
    PAGE.write_text(fill_page(PAGE.read_text(), json.loads(RESULTS.read_text())))


if __name__ == "__main__":
    main()
