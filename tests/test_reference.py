"""The reference pages against the tables they are made from."""

import importlib.util
from pathlib import Path

import pytest

from burdockquay_protocol import ANSWERS, ErrorKind
from burdockquay_transport import Event

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
