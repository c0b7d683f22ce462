"""Tests of the classification of late and failed requests in logs."""

import json

import pytest

from burdockquay._explain import read_lines
from burdockquay._losses import (
    IN_TIME,
    count_losses,
    find_cause,
    read_ended_requests,
    summarize_spans,
)
from burdockquay.cli import app


def ended(request, seconds=1.0, at=0.0, **fields):
    values = {
        "time": f"2026-03-01T08:30:{at:06.3f}Z",
        "name": "call_ended",
        "vm": "edge-1",
        "request": request,
        "route": "chat",
        "status": 200,
        "reason": "",
        "sends": 1,
        "seconds": seconds,
        "first_s": 0.2,
        "target_s": 0.5,
        "longest_pause_s": 0.1,
        "pause_target_s": 0.15,
    }
    return json.dumps(values | fields)


def sent(request, waited_s):
    return json.dumps(
        {
            "time": "2026-03-01T08:30:00.000Z",
            "name": "call_sent",
            "vm": "edge-1",
            "request": request,
            "waited_s": waited_s,
        }
    )


CASES = [
    ({}, IN_TIME),
    ({"status": 0, "reason": "caller left"}, "caller left"),
    ({"status": 504, "reason": "cut: outcome_unknown"}, "cut midway"),
    ({"status": 503, "reason": "overloaded", "sends": 0}, "refused"),
    ({"status": 503, "reason": "upstream_evacuated", "sends": 0}, "refused, evacuated"),
    ({"status": 502, "reason": "upstream_failed"}, "failed at upstreams"),
    ({"status": 401, "reason": "unauthenticated", "sends": 0}, "refused for good"),
    ({"first_s": 0.9}, "late at its upstream"),
    ({"longest_pause_s": 0.3}, "written too slowly"),
    ({"longest_pause_s": None, "pause_target_s": None}, IN_TIME),
    ({"first_s": None, "seconds": 0.9}, "late at its upstream"),
]


@pytest.mark.parametrize(("fields", "cause"), CASES)
def test_request_has_the_first_cause_that_matches(fields, cause):
    (item,) = read_ended_requests(read_lines([ended("r1", **fields)]))
    assert find_cause(item) == cause


def test_wait_in_the_forwarder_is_distinguished_from_a_wait_at_the_upstream():
    lines = [sent("r1", 0.6), sent("r1", 0.9), ended("r1", first_s=0.9)]
    (item,) = read_ended_requests(read_lines(lines))
    assert find_cause(item) == "late, waited here"


def test_rows_hold_counts_by_route_and_examples():
    lines = [ended(f"r{number}", status=503, sends=0, at=number) for number in range(5)]
    lines += [ended("r9", at=9)]
    refused, in_time = count_losses(read_ended_requests(read_lines(lines)))
    assert (refused.cause, refused.count, refused.examples) == ("refused", 5, ("r0", "r1", "r2"))
    assert (in_time.cause, in_time.count, in_time.examples) == (IN_TIME, 1, ())
    assert refused.share == pytest.approx(5 / 6)


def test_spans_show_when_and_why_requests_were_late():
    lines = [ended("r1", at=1.0), ended("r2", at=1.5, first_s=0.9), ended("r3", at=6.0)]
    first, second = summarize_spans(read_ended_requests(read_lines(lines)), 2.0)
    assert (first.start_s, first.count, first.in_time) == (0.0, 2, 0.5)
    assert first.worst == "late at its upstream"
    assert (second.start_s, second.in_time, second.worst) == (4.0, 1.0, "")


def run(*words):
    with pytest.raises(SystemExit) as left:
        app(["losses", *words])
    return left.value.code


def test_command_prints_both_tables(tmp_path, capsys):
    log = tmp_path / "edge.log"
    log.write_text(ended("r1") + "\n" + ended("r2", status=503, sends=0) + "\n")
    assert run(str(log)) == 0
    out = capsys.readouterr().out
    assert "refused" in out and "r2" in out and "from second" in out


@pytest.mark.parametrize(
    ("words", "code"), [(["/nonexistent.log"], 2), (["--span-s", "0", "{log}"], 2), (["{log}"], 7)]
)
def test_invalid_input_has_an_error_message_and_exit_code(words, code, tmp_path, capsys):
    log = tmp_path / "empty.log"
    log.write_text("nothing\n")
    assert run(*[word.format(log=log) for word in words]) == code
    assert capsys.readouterr().err.strip()
