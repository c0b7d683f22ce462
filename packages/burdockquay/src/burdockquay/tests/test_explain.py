"""Tests of the timeline of a request that is collected from logs."""

import json

import pytest

from burdockquay._explain import collect_timeline, count_failures, describe_cold_wait, read_lines
from burdockquay.cli import app


def line(seconds, name, vm="edge-1", **fields):
    time = f"2026-03-01T08:30:{seconds:06.3f}Z"
    return json.dumps({"time": time, "level": "INFO", "name": name, "vm": vm} | fields)


LOG = [
    "a line of something else",
    line(1.0, "configuration_applied", revision=7),
    line(9.0, "configuration_applied", revision=8),
    line(9.5, "configuration_applied", vm="edge-2", revision=8),
    line(10.4, "send_failed", request="r1", upstream="i-1", reason="ClientOSError"),
    line(10.0, "call_sent", request="r1", upstream="i-1", sends=0),
    line(10.3, "send_failed", vm="edge-2", request="r2", upstream="i-1", reason="x"),
    line(10.5, "call_ended", request="r1", status=502, upstreams="i-1"),
    line(11.0, "upstreams_changed", removed="i-1"),
    line(11.1, "upstreams_changed", removed="i-3"),
    '{"time": "broken',
]


def test_timeline_holds_the_request_and_changes_around_it():
    timeline = collect_timeline(read_lines(LOG), "r1")
    assert [(item.name, item.request) for item in timeline] == [
        ("configuration_applied", None),
        ("call_sent", "r1"),
        ("send_failed", "r1"),
        ("call_ended", "r1"),
        ("upstreams_changed", None),
    ]


def test_timeline_names_the_evacuations_in_force():
    """Guards against a refusal whose cause lies so long before it that the timeline lacks it."""
    log = [
        line(1.0, "evacuation_began", domain="b", revision=4),
        line(1.1, "evacuation_began", domain="c", revision=5),
        line(2.0, "evacuation_ended", domain="c", revision=6),
        line(2.1, "evacuation_began", vm="edge-2", domain="d", revision=7),
        line(40.0, "call_refused", request="r1", kind="upstream_evacuated"),
        line(41.0, "evacuation_ended", domain="b", revision=9),
    ]
    timeline = collect_timeline(read_lines(log), "r1")
    assert [(item.name, item.fields.get("domain")) for item in timeline] == [
        ("evacuation_began", "b"),
        ("call_refused", None),
        ("evacuation_ended", "b"),
    ]


def test_timeline_includes_a_restore_of_the_store_long_before_the_request():
    """Guards against a request rejected because of a kept configuration, where the timeline does
    not show that it was kept."""
    log = [
        line(1.0, "store_returned", era=2),
        line(1.1, "configuration_kept", revision=4, shown=3),
        line(1.2, "upstreams_kept", withheld="i-2"),
        line(1.3, "member_rejoined", era=2),
        line(1.4, "store_returned", vm="edge-2", era=2),
        line(9.0, "call_refused", request="r1", kind="configuration_stale"),
    ]
    timeline = collect_timeline(read_lines(log), "r1")
    assert [item.name for item in timeline] == [
        "store_returned",
        "configuration_kept",
        "upstreams_kept",
        "call_refused",
    ]


def test_failures_between_a_restore_and_the_request_are_not_counted():
    log = [
        line(1.0, "store_returned", era=2),
        line(2.0, "send_failed", request="r0", upstream="i-1"),
        line(9.0, "send_failed", request="r1", upstream="i-1"),
        line(9.1, "send_failed", request="r2", upstream="i-1"),
        line(9.2, "call_ended", request="r1", upstreams="i-1"),
    ]
    lines = list(read_lines(log))
    assert count_failures(lines, collect_timeline(lines, "r1")) == {"i-1": 1}


def run(*words):
    with pytest.raises(SystemExit) as ended:
        app(["explain", *words])
    return ended.value.code


@pytest.fixture
def log_file(tmp_path):
    path = tmp_path / "edge.log"
    path.write_text("\n".join(LOG))
    return path


def test_command_prints_the_timeline_and_failures_of_other_requests(log_file, capsys):
    assert run("r1", str(log_file)) == 0
    text = capsys.readouterr().out
    assert "*    +0.000 s  edge-1  call_sent" in text
    assert "1 other sends failed at i-1" in text


def test_unknown_request_and_missing_file_have_separate_exit_codes(log_file, capsys):
    assert run("nobody", str(log_file)) == 7
    assert run("r1", str(log_file) + ".gone") == 2
    assert "cannot be read" in capsys.readouterr().err


@pytest.mark.parametrize(
    ("name", "fields"),
    [
        ("call_sent", {"upstream": "i-2", "held_back": "i-1:cold_start,i-3:rest"}),
        ("call_refused", {"detail": "1 upstreams take 11 ..., 1 of them since they are cold"}),
    ],
)
def test_cold_start_is_named_as_the_cause_of_a_wait(name, fields):
    """Guards against a wait without a cause in the timeline: the upstream turned cold long before,
    and the request was never sent to it."""
    cold = line(1.0, "upstream_cold", upstream="i-1@5", source="list")
    lines = [cold, line(30.0, name, request="r1", **fields)]
    timeline = collect_timeline(read_lines(lines), "r1")
    assert [item.name for item in timeline] == ["upstream_cold", name]
    assert "cold" in describe_cold_wait(timeline, "r1")


def test_timeline_of_an_entry_names_the_evacuation_that_is_in_force():
    """Guards against a refusal whose cause is not shown since the evacuation began long before."""
    log = [
        "2026-03-01T08:00:00.000000Z INFO E1002 process_listening role=entry vm=edge-1 port=1",
        "2026-03-01T08:01:00.000000Z NOTICE E1973 evacuation_began domain=north revision=7",
        "2026-03-01T08:02:00.000000Z NOTICE E1974 evacuation_ended domain=north revision=8",
        "2026-03-01T08:03:00.000000Z NOTICE E1973 evacuation_began domain=south revision=9",
        "2026-03-01T08:30:00.000000Z DEBUG E1964 refused_evacuated request=r1 domains=south",
    ]
    timeline = collect_timeline(read_lines(log), "r1")
    assert [(item.name, item.fields.get("domain")) for item in timeline] == [
        ("evacuation_began", "south"),
        ("refused_evacuated", None),
    ]
