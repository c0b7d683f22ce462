"""OpenAI-style request and answer bodies of the engine stand-in, with fast formatting of chunks."""

from __future__ import annotations

import json
from collections.abc import Mapping, Sequence
from typing import Any

import attrs

from burdockquay_state import Interval

from ._answers import answer_limit

DONE = b"data: [DONE]\n\n"
_LIMIT = Interval(int, 1)


@attrs.frozen
class ChatRequest:
    """A validated chat request.

    Parameters
    ----------
    model : str
    streamed : bool
    resume_tokens : list of str
        Tokens of the answer that the caller has received already.
    prompt_characters : int
        Length of the contents of all messages.
    """

    model: str
    streamed: bool
    resume_tokens: list[str]
    prompt_characters: int


def parse_chat(body: Mapping[str, Any]) -> ChatRequest:
    """Validate the body of a chat request.

    Raises
    ------
    ValueError
        If a field is missing or has the wrong type; the message has the expected and actual value.
    """
    model = body.get("model")
    messages = body.get("messages")
    resume = body.get("resume_tokens") or []
    limits = (answer_limit(body), body.get("min_tokens", 1))
    if not isinstance(model, str):
        raise ValueError(f"expected a string 'model', got {model!r}")
    if not isinstance(messages, list) or not all(isinstance(part, dict) for part in messages):
        raise ValueError("expected a list of objects 'messages'")
    if not all(_LIMIT.accepts(limit) for limit in limits):
        raise ValueError(f"max_tokens, min_tokens: expected {_LIMIT} each, got {limits!r}")
    if not isinstance(resume, list) or not all(isinstance(token, str) for token in resume):
        raise ValueError("expected a list of strings 'resume_tokens'")
    characters = sum(len(str(part.get("content", ""))) for part in messages)
    return ChatRequest(model, bool(body.get("stream")), resume, characters)


@attrs.frozen
class ChatFormat:
    """Formatter of the answer to one request.

    Parameters
    ----------
    request : str
        Request id.
    model : str
    created : int
        Seconds since 1970.
    """

    request: str
    model: str
    created: int

    def chunks(self, tokens: Sequence[str]) -> bytes:
        """Return one server-sent event per token."""
        prefix, suffix = self._split_chunk()
        return b"".join(prefix + token.encode() + suffix for token in tokens)

    def last_chunk(self, finish_reason: str, usage: Mapping[str, int]) -> bytes:
        """Return the final event of an answer, followed by the end marker of the stream."""
        choice = {"index": 0, "delta": {}, "finish_reason": finish_reason}
        chunk = self._make_object("chat.completion.chunk", choice) | {"usage": usage}
        return b"data: " + json.dumps(chunk).encode() + b"\n\n" + DONE

    def complete_answer(
        self, tokens: Sequence[str], finish_reason: str, usage: Mapping[str, int]
    ) -> dict[str, Any]:
        """Return the body of an answer that is not streamed."""
        message = {"role": "assistant", "content": "".join(tokens)}
        choice = {"index": 0, "message": message, "finish_reason": finish_reason}
        return self._make_object("chat.completion", choice) | {"usage": usage}

    def _make_object(self, kind: str, choice: Mapping[str, Any]) -> dict[str, Any]:
        return {
            "id": self.request,
            "object": kind,
            "created": self.created,
            "model": self.model,
            "choices": [choice],
        }

    def _split_chunk(self) -> tuple[bytes, bytes]:
        placeholder = "\x00"
        choice = {"index": 0, "delta": {"content": placeholder}, "finish_reason": None}
        text = json.dumps(self._make_object("chat.completion.chunk", choice))
        prefix, suffix = text.split(json.dumps(placeholder)[1:-1])
        return f"data: {prefix}".encode(), f"{suffix}\n\n".encode()


def finish_reason(body: Mapping[str, Any], tokens: Sequence[str]) -> str:
    """Return why an answer ended: ``"stop"`` or, limited by ``max_tokens``, ``"length"``."""
    return "length" if len(tokens) == answer_limit(body) else "stop"


def parse_stream(content: bytes) -> tuple[list[str], bool]:
    """Return the tokens of a streamed answer, and whether it ended properly.

    Examples
    --------
    >>> answer = ChatFormat("r", "m", 0)
    >>> parse_stream(answer.chunks(["a ", "b "]) + answer.last_chunk("stop", {}))
    (['a ', 'b '], True)
    """
    tokens: list[str] = []
    finished = False
    for line in content.split(b"\n"):
        if not line.startswith(b"data: {"):
            continue
        choices = json.loads(line[6:]).get("choices") or [{}]
        token = choices[0].get("delta", {}).get("content")
        if token:
            tokens.append(token)
        finished = finished or choices[0].get("finish_reason") is not None
    return tokens, finished and DONE.strip() in content
