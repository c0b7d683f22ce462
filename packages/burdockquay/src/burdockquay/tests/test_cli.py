"""Tests of the operators' command against the platform stand-in."""

import asyncio
import json
import threading
from pathlib import Path

import pytest

from burdockquay._output import ExitCode
from burdockquay.cli import app, main
from burdockquay_standins import PlatformStandin
from burdockquay_state import VmEntry

GROUP = '{"kind": "group", "name": "desk", "schema": 1, "body": {"places": 4}} // small\n'
CLASSES = """[
  {"kind": "class", "name": "hold", "schema": 1, "body": {
    "priority": 100, "latency_target_s": 0.4, "patience_s": 5, "protected": true}},
  {"kind": "class", "name": "hold", "schema": 2, "body": {  // the new schema beside the old one
    "priority": 100, "first_token_target_s": 0.4, "between_tokens_target_s": 0.05,
    "patience_s": 5, "protected": true, "preemptible": false, "reserved_places": 1}},
  {"kind": "route", "name": "holds", "schema": 2, "body": {"class_name": "hold", "group": "desk"}}
]"""


EXAMPLES = Path(__file__).parents[5] / "examples" / "records"


@pytest.fixture
def platform():
    """Platform stand-in in a thread, because the command runs its own event loop."""
    loop = asyncio.new_event_loop()
    standin = PlatformStandin()
    thread = threading.Thread(target=loop.run_forever)
    thread.start()
    asyncio.run_coroutine_threadsafe(standin.start(), loop).result()
    yield standin
    asyncio.run_coroutine_threadsafe(standin.stop(), loop).result()
    loop.call_soon_threadsafe(loop.stop)
    thread.join()
    loop.close()


@pytest.fixture
def call(platform, tmp_path, capsys):
    url = f"http://127.0.0.1:{platform.port}"

    def run(*arguments, text=None):
        if text is not None:
            path = tmp_path / "input.jsonc"
            path.write_text(text)
            arguments = (*arguments, str(path))
        options = () if arguments[1] == "check" else ("--table-url", url)
        code = app([*arguments, *options], result_action="return_value", exit_on_error=False)
        captured = capsys.readouterr()
        return code, captured.out, captured.err

    return run


def test_record_can_be_put_read_edited_and_put_again(call):
    assert call("record", "put", text=GROUP)[0] == ExitCode.DONE
    assert call("record", "put", text=CLASSES)[0] == ExitCode.DONE
    code, out, _ = call("record", "get", "class", "hold")
    assert code == ExitCode.DONE
    edited = out.replace('"priority": 100', '"priority": 200')
    assert "accepted at revision 4" in call("record", "put", text=edited)[1]
    code, out, _ = call("record", "diff", "class", "hold")
    assert out.splitlines() == [
        "priority (schema 1): 100 -> 200",
        "priority (schema 2): 100 -> 200",
    ]
    rows = json.loads(call("record", "history", "class", "hold", "--json")[1])
    assert [row["revision"] for row in rows] == [4, 2]
    assert "group/desk" in call("record", "list")[1]
    assert call("record", "get", "class", "draft")[0] == ExitCode.NOT_FOUND


def test_conflicting_put_reports_who_changed_what_and_when(call):
    """Guards against a lost update when two operators edit the same revision of a record: the
    second put is rejected and reports the author, time and changes of the first one.
    """
    call("record", "put", text=GROUP)
    first = GROUP.replace("4", "6")
    done = call("record", "put", "--expected-revision", "1", "--author", "ada", text=first)
    assert done[0] == ExitCode.DONE
    second = GROUP.replace("4", "2")
    code, _, err = call("record", "put", "--expected-revision", "1", text=second)
    assert code == ExitCode.CHANGED
    assert "ada put it at revision 2 at 20" in err
    assert "places (schema 1): 4 -> 6" in err


def test_all_faults_are_reported_at_once(call):
    text = """[
      {"kind": "gruop", "name": "desk", "schema": 1},
      {"kind": "class", "name": "hold", "schema": 3, "body": {}},
      {"kind": "group", "name": "desk", "schema": 1, "body": {"plcaes": 4, "subset": 0}}
    ]"""
    code, _, err = call("record", "check", text=text)
    assert code == ExitCode.FAULTS
    for part in ("did you mean 'group'", "1 or 2", "did you mean 'places'", "subset: expected"):
        assert part in err


@pytest.mark.parametrize(
    "text", ["", "[]", "nothing", "[1]", '{"kind": "group", "kind": "class"}', '{"kind": []}']
)
def test_input_that_is_no_record_is_rejected_with_a_message(call, text):
    code, _, err = call("record", "check", text=text)
    assert code == ExitCode.FAULTS
    assert "expected" in err


def test_outage_and_lost_confirmation_are_distinguished(call, platform):
    """If the table is down, the command reports that nothing was written. If the table applies the
    change but its answer is lost, the command reads back and reports that it was accepted.
    """
    platform.faults.outage = True
    code, _, err = call("record", "put", text=GROUP)
    assert code == ExitCode.UNAVAILABLE
    assert "nothing was written" in err
    platform.faults.outage = False
    platform.faults.drop_next = 1
    code, out, _ = call("record", "put", text=GROUP)
    assert code == ExitCode.DONE
    assert "found by reading back" in out


def test_withdrawal_of_a_record_in_use_is_rejected(call):
    call("record", "put", text=GROUP)
    call("record", "put", text=CLASSES)
    code, _, err = call("record", "withdraw", "group", "desk", "--expected-revision", "1")
    assert code == ExitCode.FAULTS
    assert "route/holds with group" in err


def test_process_that_does_not_answer_is_named(call, platform):
    """Guards against a status that looks complete although the process of a listed VM is down."""
    platform.put_vm(VmEntry("e1", "entry", "127.0.0.1", 1, 1, "praha-hall"))
    code, out, err = call("status", "--json")
    assert code == ExitCode.INCOMPLETE
    assert json.loads(out)["processes"] == [{"vm": "e1", "listed": "live", "status": None}]
    assert "e1: http://127.0.0.1:1/status cannot be read" in err
    assert call("usage", "--json")[0] == ExitCode.INCOMPLETE


def test_examples_are_accepted_together(call):
    for name in ("classes", "routes", "organisation", "quarantine-withdrawal", "evacuation"):
        assert call("record", "put", text=(EXAMPLES / f"{name}.jsonc").read_text())[0] == 0
    assert len(list(EXAMPLES.iterdir())) == 5


def test_unknown_adapter_is_rejected_with_a_suggestion(monkeypatch, capsys):
    monkeypatch.setattr("sys.argv", ["burdockquay", "record", "list", "--table", "htpt"])
    with pytest.raises(SystemExit) as ended:
        main()
    assert ended.value.code == ExitCode.ARGUMENTS
    assert "did you mean 'http'" in capsys.readouterr().err
