"""Tests of settings files: the examples, and the messages about invalid files."""

import json
from pathlib import Path

import attrs
import pytest
from cyclopts import App
from hypothesis import given
from hypothesis import strategies as st

from burdockquay._settings_command import EXIT_FAULTS, EXIT_OK, settings_app
from burdockquay._settings_file import load_settings
from burdockquay._settings_source import MAX_FILE_BYTES
from burdockquay_state import find_faults
from burdockquay_transport import ColdStartSettings, EntrySettings, SlotSettings

EXAMPLES = Path(__file__).parents[5] / "examples"
URL = "http://127.0.0.1:1"
VALID = {
    "vm": "e1",
    "failure_domain": "medeu",
    "peer_key": "0" * 32,
    "platform": {"table_url": URL, "objects_url": URL, "vms_url": URL},
}


@pytest.fixture
def load(tmp_path):
    def load(text, role="entry", **options):
        path = tmp_path / "s.jsonc"
        content = text if isinstance(text, str | bytes) else json.dumps(text, indent=1)
        path.write_bytes(content if isinstance(content, bytes) else content.encode())
        result = load_settings(path, role, **options)
        if result.is_ok():
            return result.ok()
        return [str(fault).removeprefix(f"{path}") for fault in result.err()]

    return load


@pytest.mark.parametrize(
    ("name", "role"), [("entry", "entry"), ("slot-engine", "slot"), ("slot-service", "slot")]
)
def test_examples_are_valid(name, role):
    loaded = load_settings(EXAMPLES / f"{name}.jsonc", role)
    assert loaded.is_ok(), "\n".join(map(str, loaded.err()))
    assert isinstance(loaded.ok().settings, {"entry": EntrySettings, "slot": SlotSettings}[role])


def test_example_of_an_entry_names_every_key():
    text = (EXAMPLES / "entry.jsonc").read_text()
    assert [f.name for f in attrs.fields(EntrySettings) if f'"{f.name}":' not in text] == []


def test_all_faults_of_a_file_are_reported_at_once(load):
    """An operator with several typing errors in a file would otherwise need one start of the daemon
    to find each of them."""
    faults = load("""{
  // where we are
  "vm": "E 1", /* two
  lines */ "failure_domain": "medeu",
  "peer_key": "0123456789abcdef",
  "port": "80",
  "porrt": 80,
  "stop_limit_s": -1,
  "platform": {"table_url": "ftp://x", "objects_url": "http://a", "timeout_s": 1, "tabel": "x"}
}""")
    assert faults == [
        ":7: porrt: unknown key 'porrt'; did you mean 'port'? (known: "
        + ", ".join(sorted(field.name for field in attrs.fields(EntrySettings)))
        + ")",
        ":3: vm: expected a name of 1 to 63 lower-case letters, digits, '.', '_', '-', that starts"
        " with no sign, got 'E 1'",
        ":5: peer_key: expected 32 to 128 hexadecimal digits, got a value that is not shown",
        ":6: port: expected an integer from 0 to 65535, got '80'",
        ":8: stop_limit_s: expected a number from 0.001 to 86400, got -1",
        ":9: platform.tabel: unknown key 'tabel'; did you mean 'table'? (known: objects,"
        " objects_url, table, table_url, timeout_s, vms, vms_url)",
        ": platform.vms_url: expected a value, the key is missing",
        ":9: platform.table_url: expected an http:// or https:// URL, got 'ftp://x'",
    ]


@pytest.mark.parametrize(
    ("text", "fault"),
    [
        ('{"vm": "a" // b\n/* c\n\n*/ "x"}', ":4: expected JSON: Expecting ',' delimiter"),
        (" // nothing", ": expected an object, got nothing"),
        ("[1]", ": expected an object, got [1]"),
        (b"{\xff}", ": expected UTF-8, got byte 0xff at 1"),
        (" " * (MAX_FILE_BYTES + 1), f": expected at most {MAX_FILE_BYTES} bytes, got more"),
    ],
)
def test_file_that_is_no_object_is_rejected(load, text, fault):
    assert load(text) == [fault]


def test_missing_file_is_rejected(tmp_path):
    (fault,) = load_settings(tmp_path / "none", "entry").err()
    assert str(fault) == f"{tmp_path}/none: cannot be read: No such file or directory"


@pytest.mark.parametrize(
    ("change", "fault"),
    [
        ({"default_deadline_s": 700}, ":10: default_deadline_s: expected at most"),
        ({"platform": {**VALID["platform"], "table": "htpp"}}, ":9: platform.table: unknown table"),
        ({"platform": 3}, ":5: platform: expected an object, got 3"),
        ({"metrics": {"sink": "statsd", "port": True}}, ":12: metrics.port: expected an integer"),
        ({"seed_slots": ["10.0.0.1"]}, ":10: seed_slots: expected a list, each item IP address"),
    ],
)
def test_invalid_values_are_rejected(load, change, fault):
    (got,) = load({**VALID, **change})
    assert got.startswith(fault)


def test_duplicate_key_is_rejected(load):
    """Guards against a silently ignored value: the parser alone would keep only the second one."""
    text = json.dumps(VALID)[:-1] + ', "vm": "e2"}'
    assert load(text) == [":1: vm: expected once, got twice"]


def test_renamed_key_is_accepted_with_a_warning(load):
    renamed = {"drain_s": "stop_limit_s"}
    loaded = load({**VALID, "drain_s": 5}, renamed=renamed)
    assert loaded.settings.stop_limit_s == 5
    assert [fault.message for fault in loaded.renamed] == ["is now named 'stop_limit_s'"]
    (fault,) = load({**VALID, "drain_s": 5, "stop_limit_s": 6}, renamed=renamed)
    assert "given together with its new name" in fault


values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=5),
    lambda inner: st.lists(inner, max_size=2) | st.dictionaries(st.text(max_size=5), inner),
    max_leaves=4,
)


@given(
    changes=st.dictionaries(
        st.sampled_from([field.name for field in attrs.fields(SlotSettings)]), values, min_size=1
    )
)
def test_settings_are_either_valid_or_rejected(tmp_path_factory, changes):
    path = tmp_path_factory.mktemp("settings") / "s.jsonc"
    path.write_text(json.dumps({**VALID, "group": "g", "upstream_url": URL, **changes}))
    result = load_settings(path, "slot")
    if result.is_ok():
        settings = result.ok().settings
        assert find_faults(SlotSettings._constraints, settings) == []
        assert all(
            getattr(settings, name) == changes[name]
            for name in {*changes} - {"platform", "metrics"}
        )
    else:
        blamed = {fault.key.partition(".")[0] for fault in result.err()}
        assert blamed <= {*changes, "flush_interval_s"}


def test_check_command_prints_faults_and_returns_an_exit_code(tmp_path, capsys):
    app = App(name="burdockquay")
    app.command(settings_app)

    def run(path):
        return app(["settings", "check", "entry", str(path)], result_action="return_value")

    assert run(EXAMPLES / "entry.jsonc") == EXIT_OK
    assert "sound" in capsys.readouterr().out
    broken = tmp_path / "s.jsonc"
    broken.write_text('{"vmm": 1}')
    assert run(broken) == EXIT_FAULTS
    assert "did you mean 'vm'?" in capsys.readouterr().err


def test_faults_of_an_optional_group_of_settings_are_reported(load):
    """Guards against a cold start that a slot ignores, since one of its keys is mistyped."""
    slot = VALID | {"group": "desk", "upstream_url": URL}
    assert load(slot, "slot").settings.cold_start is None
    good = load(slot | {"cold_start": {"duration_s": 30, "per_s": 11}}, "slot")
    assert good.settings.cold_start == ColdStartSettings(30, 11)
    faults = load(slot | {"cold_start": {"duration_s": 0, "pers": 11}}, "slot")
    assert [fault.split(": ")[1] for fault in faults] == [
        "cold_start.pers",
        "cold_start.per_s",
        "cold_start.duration_s",
    ]
