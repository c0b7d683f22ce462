"""Catalogue of events and the format of log lines."""

import ast
import io
import json
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from burdockquay_transport import Event, log_event, setup_logging
from burdockquay_transport._events import (
    FORBIDDEN_FIELDS,
    LINE_FIELDS,
    MAX_VALUE_CHARACTERS,
    format_event,
)

PACKAGES = Path(__file__).parents[4]


@pytest.fixture
def stream():
    text = io.StringIO()
    handler = setup_logging("INFO", text)
    yield text
    handler.pop_application()


def test_numbers_are_unique_and_every_event_has_a_summary():
    numbers = [event.number for event in Event]
    assert len(set(numbers)) == len(numbers)
    assert all(event.summary.endswith(".") for event in Event)


def test_only_events_of_the_level_and_above_are_written(stream):
    log_event(Event.REQUEST_REFUSED, kind="no_place")
    log_event(Event.PEER_CONNECTED, vm="slot-1")
    (line,) = stream.getvalue().splitlines()
    assert line.endswith("Z INFO E1301 peer_connected vm=slot-1")


@given(st.text())
def test_a_value_is_one_word_of_one_line(value):
    """The name of a VM contains a line break followed by a forged event.

    Unescaped, it would appear in the log as an event of its own.
    """
    line = format_event(Event.PEER_CONNECTED, {"vm": value, "port": 1})
    assert line.isprintable() and line.isascii()
    start, end = "E1301 peer_connected vm=", " port=1"
    word = line.removeprefix(start).removesuffix(end)
    shown = json.loads(word) if word.startswith('"') else word
    assert shown == value or shown.startswith(value[:MAX_VALUE_CHARACTERS] + "...(")
    assert word.startswith('"') or " " not in word


def test_bytes_are_never_shown():
    assert "secret" not in format_event(Event.PEER_MALFORMED, {"frame": b"secret"})


@pytest.mark.parametrize("name", sorted(FORBIDDEN_FIELDS))
def test_fields_that_hold_secrets_or_content_are_refused(name):
    with pytest.raises(ValueError, match=name):
        log_event(Event.REQUEST_REFUSED, **{name: "x"})


@pytest.mark.parametrize("name", sorted(LINE_FIELDS - {"event"}))
def test_fields_that_would_replace_common_line_fields_are_refused(name):
    """A field that replaced the level of its line would hide the line from filters by level."""
    with pytest.raises(ValueError, match=name):
        log_event(Event.REQUEST_REFUSED, **{name: "x"})


def test_no_call_in_the_sources_names_a_forbidden_field():
    for path in PACKAGES.glob("*/src/**/*.py"):
        if "tests" in path.parts:
            continue
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.Call) and getattr(node.func, "id", "") == "log_event":
                named = {keyword.arg for keyword in node.keywords}
                assert not named & (FORBIDDEN_FIELDS | LINE_FIELDS), f"{path}:{node.lineno}"


def test_every_event_of_the_catalogue_is_logged_somewhere():
    """An event in the catalogue that no code writes would mislead operators."""
    paths = [*PACKAGES.glob("*/src/**/*.py"), *(PACKAGES.parent / "platform").glob("src/**/*.py")]
    sources = "".join(path.read_text() for path in paths if "tests" not in path.parts)
    assert [event.name for event in Event if f"Event.{event.name}" not in sources] == []
