"""Tests of the reference pages against the tables from which they are generated."""

import ast
import importlib.util
from pathlib import Path

import pytest

from burdockquay_protocol import ANSWERS, ErrorKind
from burdockquay_transport import Event, _metrics
from burdockquay_transport.forwarding._forwarder_metrics import ForwarderMetrics

ROOT = Path(__file__).parent.parent


def load_script(name):
    spec = importlib.util.spec_from_file_location(name, ROOT / "scripts" / f"{name}.py")
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


reference = load_script("make_reference")


@pytest.mark.parametrize("name", reference.PAGES)
def test_page_is_what_the_script_writes(name):
    committed = (ROOT / "docs" / name).read_text()
    assert committed == reference.PAGES[name](), "run python scripts/make_reference.py"


def test_every_error_kind_has_an_answer_and_a_line_on_the_page():
    page = (ROOT / "docs" / "errors.md").read_text()
    assert set(ANSWERS) == set(reference.CAUSES) == set(ErrorKind)
    assert [kind for kind in ErrorKind if f"| `{kind.value}` |" not in page] == []


def test_every_event_is_on_the_page():
    page = (ROOT / "docs" / "events.md").read_text()
    assert [event for event in Event if f"| E{event.number} |" not in page] == []


def metric_names(path):
    """Yield the literal prefix of every metric name that a source file counts, times or sets."""
    for node in ast.walk(ast.parse(path.read_text())):
        if not isinstance(node, ast.Call) or not node.args:
            continue
        called = getattr(node.func, "attr", "")
        if called not in ("count", "timing", "gauge") and getattr(node.func, "id", "") != "count":
            continue
        first = node.args[0]
        if isinstance(first, ast.JoinedStr):
            first = first.values[0]
        if isinstance(first, ast.Constant) and isinstance(first.value, str):
            yield first.value


def test_every_metric_is_on_the_page():
    page = (ROOT / "docs" / "metrics.md").read_text()
    sources = (ROOT / "packages" / "burdockquay-transport" / "src").glob("**/*.py")
    named = {name for path in sources if "tests" not in path.parts for name in metric_names(path)}
    constants = {_metrics.REQUESTS, _metrics.TOKENS, _metrics.TOKENS_WASTED}
    constants |= {_metrics.TIMINGS_DROPPED, _metrics.NAMES_DROPPED}
    timers = {
        getattr(_metrics.timers, name)("CLASS")
        for name in vars(_metrics.timers)
        if not name.startswith("_")
    }
    assert {"upstream.crashed", "peer.fault."} <= named
    assert sorted(name for name in named | constants | timers if f"`{name}" not in page) == []


def test_every_figure_of_a_forwarder_is_on_the_page():
    page = (ROOT / "docs" / "metrics.md").read_text()
    named = {family.name for family in ForwarderMetrics().registry.collect()}
    assert named
    assert sorted(name for name in named if f"`{name}" not in page) == []
