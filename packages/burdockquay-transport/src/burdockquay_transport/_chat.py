"""OpenAI-style chat completions for callers: request parsing, streams and plain answers."""

from __future__ import annotations

import json
from typing import Any

import attrs
from result import Err, Ok, Result

from burdockquay_protocol import ErrorKind, RequestError

_ROLES = ("system", "developer", "user", "assistant", "tool")
DONE_EVENT = b"data: [DONE]\n\n"


@attrs.frozen
class ChatRequest:
    """Fields of a chat request that the entry uses; the body is forwarded unchanged.

    Parameters
    ----------
    model : str
    stream : bool
    prompt : str
        Texts of all messages, for prefix affinity.
    """

    model: str
    stream: bool
    prompt: str


def parse_chat(body: bytes) -> Result[ChatRequest, RequestError]:
    """Return the fields of a chat request that the entry uses, or the error in it.

    Examples
    --------
    >>> parse_chat(b'{"model": "m", "messages": []}').err().detail
    'messages: expected a list with at least one message, got []'
    """
    if not body:
        return _bad_request("expected a JSON object as body, got an empty body")
    try:
        request = json.loads(body)
    except (ValueError, RecursionError) as error:
        return _bad_request(f"expected JSON as body: {error}")
    if not isinstance(request, dict):
        return _bad_request(f"expected a JSON object as body, got {type(request).__name__}")
    faults = _find_faults(request)
    if faults:
        return _bad_request("; ".join(faults))
    prompt = "\n".join(_text_of(message) for message in request["messages"])
    return Ok(ChatRequest(request["model"], request.get("stream", False), prompt))


def _find_faults(request: dict[str, Any]) -> list[str]:
    faults = []
    model = request.get("model")
    if not isinstance(model, str) or not model:
        faults.append(f"model: expected a name, got {model!r}")
    messages = request.get("messages")
    if not isinstance(messages, list) or not messages:
        faults.append(f"messages: expected a list with at least one message, got {messages!r:.80}")
    else:
        faults += [
            f"messages[{index}]: expected an object with a role of {', '.join(_ROLES)}"
            for index, message in enumerate(messages)
            if not isinstance(message, dict) or message.get("role") not in _ROLES
        ]
    stream = request.get("stream", False)
    if not isinstance(stream, bool):
        faults.append(f"stream: expected true or false, got {stream!r:.80}")
    limit = request.get("max_tokens", 1)
    if isinstance(limit, bool) or not isinstance(limit, int) or limit < 1:
        faults.append(f"max_tokens: expected an integer of at least 1, got {limit!r:.80}")
    return faults


def _text_of(message: dict[str, Any]) -> str:
    content = message.get("content")
    return content if isinstance(content, str) else json.dumps(content)


def _bad_request(detail: str) -> Err[RequestError]:
    return Err(RequestError(ErrorKind.BAD_REQUEST, detail))


class ChunkWriter:
    """Writes the events of one streamed answer.

    Parameters
    ----------
    request : str
        Request id.
    model : str
    created : int
        Seconds since the epoch.
    """

    def __init__(self, request: str, model: str, created: int):
        self.request = request
        self.model = model
        self.created = created
        head = json.dumps(
            {
                "id": f"chatcmpl-{request}",
                "object": "chat.completion.chunk",
                "created": created,
                "model": model,
            }
        )
        # A stream has thousands of chunks that differ only in their text, so the rest is encoded
        # once.
        self._before = (
            f'data: {head[:-1]}, "choices": [{{"index": 0, "delta": {{"content": '.encode()
        )
        self._after = b'}, "finish_reason": null}]}\n\n'
        self._head = head

    def tokens(self, texts: list[str]) -> bytes:
        """Return one event for each token."""
        before, after = self._before, self._after
        return b"".join(before + json.dumps(text).encode() + after for text in texts)

    def end(self, finish_reason: str, prompt_tokens: int, generated: int) -> bytes:
        """Return the last chunk and the ``[DONE]`` event, which marks a complete answer."""
        choice = {"index": 0, "delta": {}, "finish_reason": finish_reason}
        usage = _usage(prompt_tokens, generated)
        tail = json.dumps({"choices": [choice], "usage": usage})
        return f"data: {self._head[:-1]}, {tail[1:]}\n\n".encode() + DONE_EVENT

    def error(self, body: dict[str, Any]) -> bytes:
        """Return the error event of an interrupted answer."""
        return f"data: {json.dumps(body)}\n\n".encode()

    def full_body(self, texts: list[str], finish_reason: str, prompt_tokens: int) -> dict[str, Any]:
        """Return the body of a plain answer."""
        message = {"role": "assistant", "content": "".join(texts)}
        return {
            "id": f"chatcmpl-{self.request}",
            "object": "chat.completion",
            "created": self.created,
            "model": self.model,
            "choices": [{"index": 0, "message": message, "finish_reason": finish_reason}],
            "usage": _usage(prompt_tokens, len(texts)),
        }


def _usage(prompt_tokens: int, generated: int) -> dict[str, int]:
    return {
        "prompt_tokens": prompt_tokens,
        "completion_tokens": generated,
        "total_tokens": prompt_tokens + generated,
    }
