"""Log lines written to a pipe."""

import json
import os

import pytest

from burdockquay_transport import Event, log_event, setup_json_logging
from burdockquay_transport._log_pipe import LINES_PER_S, MAX_BUFFER_BYTES, LogPipe


@pytest.fixture
def pipe_ends():
    ends = os.pipe()
    yield ends
    for end in ends:
        os.close(end)


@pytest.fixture
def clock():
    return [0.0]


@pytest.fixture
def pipe(pipe_ends, clock):
    return LogPipe(pipe_ends[1], lambda: clock[0], lambda lines: json.dumps({"left_out": lines}))


def read_all(fd):
    os.set_blocking(fd, False)
    data = b""
    while True:
        try:
            piece = os.read(fd, 1 << 20)
        except BlockingIOError:
            return data.decode().splitlines()
        if not piece:
            return data.decode().splitlines()
        data += piece


async def test_stalled_reader_does_not_block_the_process(pipe, pipe_ends, clock):
    """The reader of the log stops reading.

    Each further line would block the process and all its requests.
    """
    line = "x" * 1000
    for second in range(20):
        clock[0] = float(second)
        for _ in range(100):
            pipe.write("E1", line)
    assert len(pipe._buffer) <= MAX_BUFFER_BYTES
    text = ""
    for _ in range(20):
        text += "\n".join(read_all(pipe_ends[0]))
        pipe.flush()
    reports = [json.loads(part) for part in text.split("\n") if part.startswith("{")]
    left_out = sum(report["left_out"]["E1"] for report in reports)
    assert 1500 < left_out < 2000


async def test_lines_of_one_event_are_limited_and_the_rest_is_counted(pipe, pipe_ends):
    for _ in range(LINES_PER_S + 50):
        pipe.write("E1", "a line")
    pipe.write("E2", "another")
    pipe.flush()
    pipe.flush()
    lines = read_all(pipe_ends[0])
    assert lines.count("a line") == LINES_PER_S
    assert "another" in lines
    assert json.loads(lines[-1]) == {"left_out": {"E1": 50}}


async def test_closed_reader_causes_no_error(pipe_ends, clock):
    read_end, write_end = os.pipe()
    pipe = LogPipe(write_end, lambda: clock[0], str)
    os.close(read_end)
    pipe.write("E1", "a line")
    pipe.flush()
    assert not pipe._buffer
    os.close(write_end)


async def test_events_are_json_lines_with_typed_fields(pipe_ends):
    handler = setup_json_logging("INFO", pipe_ends[1], vm="edge-1")
    try:
        log_event(Event.PROCESS_LISTENING, role="forwarder", port=80, nothing=None, share=0.25)
        handler.pipe.flush()
    finally:
        handler.pop_application()
    found = json.loads(read_all(pipe_ends[0])[0])
    assert found.pop("time").endswith("Z")
    assert found == {
        "level": "INFO",
        "event": "E1002",
        "name": "process_listening",
        "vm": "edge-1",
        "role": "forwarder",
        "port": 80,
        "share": 0.25,
    }


async def test_line_about_another_process_keeps_the_name_of_its_own(pipe_ends):
    """A process logs that a peer connected.

    If the name of the peer replaced its own name, the line would be attributed to the peer.
    """
    handler = setup_json_logging("INFO", pipe_ends[1], vm="edge-1")
    try:
        log_event(Event.PEER_CONNECTED, vm="edge-2")
        handler.pipe.flush()
    finally:
        handler.pop_application()
    found = json.loads(read_all(pipe_ends[0])[0])
    assert (found["vm"], found["peer_vm"]) == ("edge-1", "edge-2")
