"""Peers that violate the protocol, stall or disconnect."""

import asyncio
import json

import cbor2
import pytest
from websockets.asyncio.client import connect
from websockets.exceptions import ConnectionClosed, ConnectionClosedOK

from burdockquay_protocol import (
    MAX_FRAME_BYTES,
    PART_TOKEN,
    Cancel,
    Frame,
    Heartbeat,
    Hello,
    Run,
    SlotStatus,
    encode,
)
from burdockquay_standins import expected_answer
from burdockquay_transport import _peer, _peer_server
from burdockquay_transport._addresses import bind_socket
from burdockquay_transport._peer import (
    Identity,
    TrafficCounts,
    accept_handshake,
    initiate_handshake,
)
from burdockquay_transport._peer_server import PeerServer

from ._deployment import PEER_KEY, chat_body, is_answering, until

ROGUE = Identity("rogue", "north", "rogue-1")


async def open_peer(slot, key=PEER_KEY):
    websocket = await connect(f"ws://127.0.0.1:{slot.port}", proxy=None, compression=None)
    return websocket, await initiate_handshake(
        websocket, ROGUE, bytes.fromhex(key), TrafficCounts()
    )


@pytest.mark.parametrize(
    "data",
    [
        b"\xff\xff\xff",
        cbor2.dumps([999]),
        cbor2.dumps([8, "r", 1]),
        encode(SlotStatus(1, 0, 0, 0, 0.0, 0.0, True, False, 1, [])),
        encode(Heartbeat(1))[:-1],
        "text",
        bytes(MAX_FRAME_BYTES + 1),
    ],
    ids=["malformed", "unknown type", "missing fields", "out of order", "cut", "text", "oversized"],
)
async def test_protocol_violation_affects_no_other_peer(deployment, data):
    """An entry of a faulty release, or an attacker with the key, sends a slot invalid data.

    Its connection is closed. The answer to a caller of another entry continues.
    """
    async with deployment(engines=1, base_step_s=0.005) as running:
        body = chat_body("ceremony", stream=True, max_tokens=60)
        reading = asyncio.create_task(running.ask_stream(body))
        await until(lambda: is_answering(running.engines[0], 2))
        websocket, handshake = await open_peer(running.slots[0])
        assert handshake.is_ok()
        with pytest.raises(ConnectionClosed):
            await websocket.send(data)
            while True:
                await websocket.recv()
        text, complete, error = await reading
        assert (complete, error) == (True, None)
        assert text == "".join(expected_answer(body, seed=1))


async def test_peer_without_the_key_is_refused_by_both_sides(deployment):
    """A process with access to the network, but without the key, connects to a slot.

    It receives only the refusal and cannot run requests.
    """
    async with deployment(engines=1) as running:
        websocket, handshake = await open_peer(running.slots[0], key="cd" * 32)
        assert "peer key" in handshake.err()
        await websocket.close()
        assert len(running.slots[0].describe()["members"]) == 1


async def test_missing_frame_never_shortens_an_answer(deployment, monkeypatch):
    """One frame of an answer is lost between slot and entry.

    A caller would read a text with a missing token. The entry detects it by the sequence number of
    the next frame, and resumes the answer elsewhere after the tokens that the caller has.
    """
    async with deployment(base_step_s=0.002) as running:
        dropped = []
        for slot in running.slots:
            for peer in slot._connected_peers():
                original = peer.post_frame

                def post_frame(frame, original=original):
                    if frame.sequence == 5 and not dropped:
                        dropped.append(frame)
                    else:
                        original(frame)

                monkeypatch.setattr(peer, "post_frame", post_frame)
        body = chat_body("ceremony", stream=True, max_tokens=60)
        text, complete, error = await running.ask_stream(body)
        assert dropped
        assert (complete, error) == (True, None)
        assert text == "".join(expected_answer(body, seed=1))


async def test_frames_that_arrive_together_after_a_missing_one_fail_an_attempt_once(
    deployment, monkeypatch
):
    """One frame of an answer is lost, and the next ones arrive together, as under load.

    Each of them is out of order. If each counted as a failure, the first would cause a retry and
    the second would end the call, and its caller would get an incomplete answer although the retry
    continues it.
    """
    async with deployment(base_step_s=0.002) as running:
        held = []
        done = []
        for slot in running.slots:
            for peer in slot._connected_peers():
                original = peer.post_frame

                def post_frame(frame, original=original):
                    if done or frame.sequence < 5:
                        original(frame)
                        return
                    held.append(frame)
                    if len(held) == 6:
                        done.append(True)
                        for late in held[1:]:
                            original(late)

                monkeypatch.setattr(peer, "post_frame", post_frame)
        body = chat_body("ceremony", stream=True, max_tokens=60)
        text, complete, error = await running.ask_stream(body)
        assert done
        assert (complete, error) == (True, None)
        assert text == "".join(expected_answer(body, seed=1))


async def test_connection_lost_during_an_answer_is_invisible_to_the_caller(deployment):
    """The connection between entry and slot is lost during an answer.

    The caller sees neither an interruption nor a repeated token.
    """
    async with deployment(base_step_s=0.02) as running:
        body = chat_body("ceremony", stream=True, max_tokens=100)
        reading = asyncio.create_task(running.ask_stream(body))
        busy = await running.wait_for_answering_slot()
        for peer in list(busy._connected_peers()):
            peer.websocket.transport.abort()
        text, complete, error = await reading
        assert (complete, error) == (True, None)
        assert text == "".join(expected_answer(body, seed=1))
        await until(lambda: running.is_connected(running.entries[0]))


async def raise_closed(data):
    raise ConnectionClosedOK(None, None)


async def never_return(data):
    await asyncio.Event().wait()


@pytest.mark.parametrize("send", [raise_closed, never_return], ids=["closed", "not reading"])
async def test_disconnected_or_stalled_peer_does_not_block_a_shutdown(
    deployment, monkeypatch, send
):
    """Entry and slot are stopped together and the entry closes the connection first, or an entry
    is suspended and no longer reads.

    The slot would end with an error, or not at all, and leave its other connections open.
    """
    monkeypatch.setattr(_peer, "DRAIN_TIMEOUT_S", 0.01)
    async with deployment(engines=1) as running:
        slot = running.slots[0]
        port = slot.port
        (peer,) = slot._connected_peers()
        with monkeypatch.context() as patched:
            patched.setattr(peer.websocket, "send", send)
            await slot.stop()
        with pytest.raises(OSError):
            await connect(f"ws://127.0.0.1:{port}", proxy=None)


class DisconnectingWebsocket:
    """Peer that sends a hello and disconnects."""

    async def recv(self):
        return encode(Hello([1], "rogue", "north", "rogue-1", bytes(16)))

    async def send(self, data):
        await raise_closed(data)


async def test_peer_that_disconnects_during_the_handshake_is_refused():
    """Guards against a traceback in the log for every process that stops while it connects."""
    accepted = await accept_handshake(DisconnectingWebsocket(), ROGUE, b"key", 0.0, TrafficCounts())
    assert "closed the connection" in accepted.err()


async def test_peer_that_does_not_read_is_disconnected(deployment, monkeypatch):
    """An entry hangs and no longer reads, while a slot has answers for it.

    Without a bound they would fill the memory of the slot, and the answers for all other entries
    would fail with it.
    """
    monkeypatch.setattr("burdockquay_transport._peer.MAX_PENDING_BYTES", 8 << 20)
    async with deployment(engines=1) as running:
        slot = running.slots[0]
        websocket, handshake = await open_peer(slot)
        assert handshake.is_ok()
        await until(lambda: len(slot._connected_peers()) == 2)
        (stalled,) = (peer for peer in slot._connected_peers() if peer.peer.vm == "rogue")
        websocket.transport.pause_reading()
        for sequence in range(64):
            stalled.post_frame(Frame("r", 1, sequence, PART_TOKEN, bytes(1 << 20)))
        await until(lambda: stalled not in slot._connected_peers())
        status, _ = await running.ask("/v1/chat/completions", chat_body())
        assert status == 200
        websocket.transport.abort()


async def test_attempt_that_is_cancelled_at_once_releases_its_capacity(deployment):
    """A caller disconnects just when its request is sent, so that the attempt and its cancellation
    reach the slot together.

    If the slot released capacity only for attempts whose task has begun, it would leak here, and
    after a few such callers the upstream would serve no requests.
    """
    async with deployment(engines=1) as running:
        slot = running.slots[0]
        websocket, handshake = await open_peer(slot)
        peer = handshake.ok()
        body = json.dumps(chat_body("x", True, 600)).encode()
        for number in range(20):
            request = f"request-{number}"
            peer.post(
                Run(
                    request,
                    1,
                    0,
                    "parish",
                    "draft",
                    "POST",
                    "/v1/chat/completions",
                    [],
                    body,
                    True,
                    30.0,
                    True,
                    "",
                    0,
                    "d" * 32,
                )
            )
            peer.post(Cancel(request, 1))
        await peer.drain()
        await until(lambda: slot.traffic.messages_received >= 40)
        await until(lambda: slot.describe()["running"] == 0)
        assert slot._held() == 0
        websocket.transport.abort()


async def test_server_that_was_stopped_before_it_listened_is_closed(monkeypatch):
    """A process is stopped while it opens the port for its peers.

    Closing failed with an AttributeError, so that the process ended with a traceback, and the
    resources that it closes after its peers stayed open.
    """
    starting = asyncio.Event()

    async def serve_never(*_, **__):
        starting.set()
        await asyncio.Event().wait()

    monkeypatch.setattr(_peer_server, "serve", serve_never)
    server = PeerServer(ROGUE, b"", 0.0, TrafficCounts(), None, {}, None, None)
    with bind_socket("127.0.0.1", 0) as bound:
        listening = asyncio.create_task(server.listen(bound))
        await starting.wait()
        listening.cancel()
        await asyncio.gather(listening, return_exceptions=True)
        await server.close()
    assert server.all() == []
